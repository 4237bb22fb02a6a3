package daemon

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
)

// groupLease is a group's lease in the platform's object API.
type groupLease struct {
	leaser *leaser.Leaser
}

func newGroupLease(store banyanplank.ObjectStore, member banyanplank.Member) GroupLease {
	return groupLease{leaser: leaser.New(store, "group/"+string(member.Group), member)}
}

// Run implements [GroupLease].
func (g groupLease) Run(ctx context.Context) (err error) { return g.leaser.Run(ctx) }

// Fence implements [GroupLease].
func (g groupLease) Fence(now time.Time) (fence uint64, held bool) {
	lease := g.leaser.Lease()
	return lease.Fence, lease.Held(now)
}
