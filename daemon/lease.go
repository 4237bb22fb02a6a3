package daemon

import (
	"context"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
)

// groupLease is a [GroupLease] stored in the platform's object API.
type groupLease struct {
	leaser *leaser.Leaser
}

func newGroupLease(store banyanplank.ObjectStore, member banyanplank.Member) GroupLease {
	return groupLease{leaser: leaser.New(store, "group/"+string(member.Group), member)}
}

// updateCandidacy sets whether self requests the lease. Only a few of the group's
// agents do.
func (g groupLease) updateCandidacy(self banyanplank.Member, members []banyanplank.Member) {
	var peers []banyanplank.Member
	for _, m := range members {
		if m.Group == self.Group {
			peers = append(peers, m)
		}
	}
	g.leaser.SetCandidate(leaser.IsCandidate(string(self.Group), self.ID, peers))
}

// Run implements [GroupLease].
func (g groupLease) Run(ctx context.Context) (err error) { return g.leaser.Run(ctx) }

// Fence implements [GroupLease].
func (g groupLease) Fence(now time.Time) (fence uint64, held bool) {
	lease := g.leaser.Lease()
	return lease.Fence, lease.IsHeld(now)
}
