package spreader

import (
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// Staleness bounds within which a daemon takes new work.
const (
	// MaxProofAge is the maximum age of a proof that the installed revision is
	// the accepted one.
	MaxProofAge = 10 * time.Second
	// MaxContactAge is the maximum time since a peer last answered, while no
	// proof is recent enough.
	MaxContactAge = 5 * time.Second
	// MaxTimeBehind is the maximum time for which a daemon serves after it
	// learned of a revision that it has not installed.
	MaxTimeBehind = 5 * time.Second
)

// Status states whether a daemon may take new work and, if not, the reason.
type Status string

// The statuses of a daemon.
const (
	// StatusFresh means that a recent proof shows the installed revision to be
	// the accepted one. The daemon serves.
	StatusFresh Status = "fresh"
	// StatusOutage means that the object API is unreachable for most of the
	// members, which agree on the revision. The daemon serves.
	StatusOutage Status = "outage"
	// StatusStarting means that the daemon has not yet caught up.
	StatusStarting Status = "starting"
	// StatusBehind means that a newer revision is known but could not be
	// installed in time.
	StatusBehind Status = "behind"
	// StatusIsolated means that the daemon reaches neither the object API nor
	// most of the members, and so may have missed a revision.
	StatusIsolated Status = "isolated"
	// StatusReplaced means that a later incarnation of the same daemon exists.
	StatusReplaced Status = "replaced"
)

// Snapshot is an immutable view of the control state.
type Snapshot struct {
	Self          banyanplank.Member
	Members       []banyanplank.Member
	Configuration *banyanplank.Configuration

	ready       bool
	replaced    bool
	isAlone     bool
	hasMajority bool
	provenAt    time.Time
	lastContact time.Time
	behindSince time.Time
	rootValue   []byte
	values      map[sharder.Name][]byte
	changeLog   []revisionChange
	records     []Record
}

// revisionChange lists the shards that a revision introduced.
type revisionChange struct {
	revision banyanplank.Revision
	names    []sharder.Name
}

// Status returns the status at now. It depends on the time since the last
// contact, so that a process that was paused detects its staleness before it
// takes new work.
func (s *Snapshot) Status(now time.Time) (status Status) {
	switch {
	case s.replaced:
		return StatusReplaced
	case !s.ready || s.Configuration == nil:
		return StatusStarting
	case !s.behindSince.IsZero() && now.Sub(s.behindSince) > MaxTimeBehind:
		return StatusBehind
	case !s.provenAt.IsZero() && now.Sub(s.provenAt) <= MaxProofAge:
		return StatusFresh
	case s.hasMajority && s.behindSince.IsZero() && (s.isAlone || now.Sub(s.lastContact) <= MaxContactAge):
		return StatusOutage
	default:
		return StatusIsolated
	}
}

// Serves reports whether the daemon may take new work at now, regardless of
// whether its availability zone is out.
func (s *Snapshot) Serves(now time.Time) (serves bool) {
	status := s.Status(now)
	return status == StatusFresh || status == StatusOutage
}

// IsZoneOut reports whether the daemon's own availability zone is out.
func (s *Snapshot) IsZoneOut() (out bool) {
	return s.Configuration != nil && s.Configuration.IsZoneOut(s.Self.Zone)
}

// Proof returns the latest time at which the installed revision was known to be
// the accepted one, or zero.
func (s *Snapshot) Proof() (at time.Time) { return s.provenAt }

// replyLimit bounds the shards in one [FetchReply], in bytes.
const replyLimit = 1 << 20

// Fetch returns the parts of the configuration that a peer requests.
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

// changedSince returns the shards that revisions after have introduced, or none
// if the change log does not reach back that far.
func (s *Snapshot) changedSince(have banyanplank.Revision) (names []sharder.Name) {
	if len(s.changeLog) == 0 || s.changeLog[0].revision > have+1 {
		return nil
	}
	for _, c := range s.changeLog {
		if c.revision > have {
			names = append(names, c.names...)
		}
	}
	return names
}
