package spreader

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// Bounds on what a daemon may not know while it serves.
const (
	// FreshFor is how long a proof that the revision is the accepted one lets
	// a daemon serve.
	FreshFor = 10 * time.Second
	// ContactFor is how long word from a peer lets a daemon serve while nobody
	// has news from the object API.
	ContactFor = 5 * time.Second
	// BehindFor is how long a daemon serves after it heard of a revision that
	// it does not have.
	BehindFor = 5 * time.Second
)

// Status tells whether a daemon may take new work, and why not.
type Status string

// The statuses of a daemon.
const (
	// StatusFresh means that the revision was proved to be the accepted one.
	StatusFresh Status = "fresh"
	// StatusOutage means that the object API is out of reach for most of the
	// members, who agree. The daemon serves.
	StatusOutage Status = "outage"
	// StatusStarting means that the daemon has not yet caught up.
	StatusStarting Status = "starting"
	// StatusBehind means that a newer revision is known and not at hand.
	StatusBehind Status = "behind"
	// StatusIsolated means that the daemon hears neither the object API nor
	// most of the members, so that it may have missed a revision.
	StatusIsolated Status = "isolated"
	// StatusReplaced means that a later run of the same daemon exists.
	StatusReplaced Status = "replaced"
)

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	Self          banyanplank.Member
	Members       []banyanplank.Member
	Configuration *banyanplank.Configuration

	started   bool
	replaced  bool
	alone     bool
	majority  bool
	proof     time.Time
	contact   time.Time
	behind    time.Time
	rootValue []byte
	values    map[sharder.Name][]byte
	log       []change
	records   []Record
}

// change lists the shards that a revision brought.
type change struct {
	revision banyanplank.Revision
	names    []sharder.Name
}

// Status returns the status at now. It depends on the time since the last news,
// so that a process that was paused finds out before it acts.
func (s *Snapshot) Status(now time.Time) (status Status) {
	switch {
	case s.replaced:
		return StatusReplaced
	case !s.started || s.Configuration == nil:
		return StatusStarting
	case !s.behind.IsZero() && now.Sub(s.behind) > BehindFor:
		return StatusBehind
	case !s.proof.IsZero() && now.Sub(s.proof) <= FreshFor:
		return StatusFresh
	case s.majority && s.behind.IsZero() && (s.alone || now.Sub(s.contact) <= ContactFor):
		return StatusOutage
	default:
		return StatusIsolated
	}
}

// Serves reports whether the daemon may take new work at now, its availability
// zone aside.
func (s *Snapshot) Serves(now time.Time) (serves bool) {
	status := s.Status(now)
	return status == StatusFresh || status == StatusOutage
}

// IsZoneOut reports whether the daemon's own availability zone is out.
func (s *Snapshot) IsZoneOut() (out bool) {
	return s.Configuration != nil && s.Configuration.IsZoneOut(s.Self.Zone)
}

// Proof returns when the revision was last proved to be the accepted one.
func (s *Snapshot) Proof() (at time.Time) { return s.proof }

// replyLimit bounds the shards in one [FetchReply], in bytes.
const replyLimit = 1 << 20

// Fetch answers a peer.
func (s *Snapshot) Fetch(request FetchRequest) (reply FetchReply) {
	if request.Members {
		reply.Members = s.records
	}
	if s.Configuration == nil || (s.Configuration.Revision <= request.Have && len(request.Names) == 0) {
		return reply
	}
	reply.Root = s.rootValue
	size := 0
	for _, name := range append(s.changedSince(request.Have), request.Names...) {
		value, ok := s.values[name]
		if !ok || size+len(value) > replyLimit {
			continue
		}
		size += len(value)
		reply.Shards = append(reply.Shards, sharder.Shard{Name: name, Value: value})
	}
	return reply
}

// changedSince returns the shards that later revisions brought, as far as they
// are remembered.
func (s *Snapshot) changedSince(have banyanplank.Revision) (names []sharder.Name) {
	if len(s.log) == 0 || s.log[0].revision > have+1 {
		return nil
	}
	for _, c := range s.log {
		if c.revision > have {
			names = append(names, c.names...)
		}
	}
	return names
}
