package spreader

import (
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// NoAge is the age of a proof that does not exist.
const NoAge time.Duration = -1

// Digest is what two daemons tell each other in an exchange, both ways.
type Digest struct {
	// From is the sender.
	From Record
	// Revision is what the sender has in force.
	Revision banyanplank.Revision
	// Age is the time since the sender's newest proof that its revision was
	// the accepted one, or [NoAge].
	Age time.Duration
	// Reach is the share of neighbors that answer, averaged over the sender
	// and those around it.
	Reach float32
	// Root is the encoded root of the revision when the receiver is likely to
	// lack it.
	Root []byte
	// Updates are records that the receiver may lack.
	Updates []Record
	// Sum is a hash of all members that the sender knows.
	Sum uint64
	// Buckets are hashes of parts of the members. A request has them when the
	// sums of both sides differed before.
	Buckets []uint32
}

// FetchRequest asks a peer for parts of the configuration.
type FetchRequest struct {
	// Have is the revision of the sender. The answer has what changed since.
	Have banyanplank.Revision
	// Names are shards that the sender lacks.
	Names []sharder.Name
	// Members asks for all members.
	Members bool
}

// FetchReply answers a [FetchRequest].
type FetchReply struct {
	// Root is the encoded root of the peer's revision.
	Root    []byte
	Shards  []sharder.Shard
	Members []Record
}

// The messages of a [Model]. It also takes [banyanplank.TickMsg].
type (
	// DigestMsg is an exchange that a peer began. The answer goes to Answer,
	// which must have room for it.
	DigestMsg struct {
		Digest Digest
		Answer chan<- Digest
	}
	// ReplyMsg ends an exchange that the model began with [ExchangeCmd].
	ReplyMsg struct {
		Command ExchangeCmd
		Sent    time.Time
		Digest  Digest
		Err     error
	}
	// FetchedMsg ends a [FetchCmd].
	FetchedMsg struct {
		Command FetchCmd
		Reply   FetchReply
		Err     error
	}
	// RootMsg ends a [WatchCmd] or a [ReadCmd]. Value is empty when a watch
	// ended early or there is no root.
	RootMsg struct {
		Watch   bool
		Sent    time.Time
		Version banyanplank.Version
		Value   []byte
		Err     error
	}
	// ShardsMsg ends a [ShardsCmd].
	ShardsMsg struct {
		Shards []sharder.Shard
		Err    error
	}
	// InstancesMsg ends an [InstancesCmd].
	InstancesMsg struct {
		Instances []banyanplank.Instance
		Err       error
	}
	// SeedsMsg adds addresses at which peers may be found.
	SeedsMsg struct{ Addresses []netip.AddrPort }
	// LeaveMsg announces that this daemon leaves.
	LeaveMsg struct{}
)

// The commands of a [Model].
type (
	// ExchangeCmd sends a digest to a peer. ID is empty for a seed.
	ExchangeCmd struct {
		ID     banyanplank.DaemonID
		To     netip.AddrPort
		Digest Digest
	}
	// AnswerCmd answers a [DigestMsg].
	AnswerCmd struct {
		Answer chan<- Digest
		Digest Digest
	}
	// FetchCmd asks a peer for shards or members.
	FetchCmd struct {
		From    netip.AddrPort
		Request FetchRequest
	}
	// WatchCmd waits for a version of the root object above After.
	WatchCmd struct{ After banyanplank.Version }
	// ReadCmd reads the root object.
	ReadCmd struct{}
	// ShardsCmd reads shards from the object API.
	ShardsCmd struct{ Names []sharder.Name }
	// InstancesCmd reads the platform's list of instances.
	InstancesCmd struct{}
)
