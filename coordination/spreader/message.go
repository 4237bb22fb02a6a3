package spreader

import (
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// NoProof is the [Digest] age that stands for "no proof".
const NoProof time.Duration = -1

// Digest is the message that both sides of an exchange send.
type Digest struct {
	// From is the record of the sender.
	From Record
	// Revision is the revision that the sender has installed.
	Revision banyanplank.Revision
	// ProofAge is the time since the sender's newest proof that its revision was the
	// accepted one, or [NoProof].
	ProofAge time.Duration
	// ReachableShare is the estimated share of members that the sender can reach, in the
	// range 0 to 1, averaged over the sender and its neighbors.
	ReachableShare float32
	// Root is the encoded root of the revision. It is set when the receiver
	// probably lacks it.
	Root []byte
	// Updates are records that the receiver may lack.
	Updates []Record
	// MembersHash is a hash over all members that the sender knows.
	MembersHash uint64
	// BucketHashes are the hashes of the member buckets. A request carries them
	// when MembersHash of both sides differed in earlier exchanges.
	BucketHashes []uint32
}

// FetchRequest requests parts of the configuration from a peer.
type FetchRequest struct {
	// Have is the sender's installed revision. The reply carries the shards that
	// changed since.
	Have banyanplank.Revision
	// Names are further shards that the sender lacks.
	Names []sharder.Name
	// Members requests the full member list.
	Members bool
}

// FetchReply answers a [FetchRequest].
type FetchReply struct {
	// Root is the encoded root of the peer's revision.
	Root    []byte
	Shards  []sharder.Shard
	Members []Record
}

// The messages of a [Model], which also handles [banyanplank.TickMsg].
type (
	// DigestMsg is the request of an exchange that a peer started. Answer
	// receives the reply and must be buffered.
	DigestMsg struct {
		Digest Digest
		Answer chan<- Digest
	}
	// ReplyMsg is the result of an [ExchangeCmd].
	ReplyMsg struct {
		Command ExchangeCmd
		Sent    time.Time
		Digest  Digest
		Err     error
	}
	// FetchedMsg is the result of a [FetchCmd].
	FetchedMsg struct {
		Command FetchCmd
		Reply   FetchReply
		Err     error
	}
	// RootMsg is the result of a [WatchRootCmd] or a [ReadRootCmd]. Value is
	// empty when a watch ended without a change or there is no root.
	RootMsg struct {
		FromWatch bool
		Sent      time.Time
		Version   banyanplank.Version
		Value     []byte
		Err       error
	}
	// ShardsMsg is the result of a [ReadShardsCmd].
	ShardsMsg struct {
		Shards []sharder.Shard
		Err    error
	}
	// InstancesMsg is the result of a [ListInstancesCmd].
	InstancesMsg struct {
		Instances []banyanplank.Instance
		Err       error
	}
	// SeedsMsg adds addresses at which peers may be reached.
	SeedsMsg struct{ Addresses []netip.AddrPort }
	// LeaveMsg announces that this daemon is leaving.
	LeaveMsg struct{}
)

// The commands of a [Model].
type (
	// ExchangeCmd sends a digest to a peer. ID is empty for a seed address.
	ExchangeCmd struct {
		ID     banyanplank.DaemonID
		To     netip.AddrPort
		Digest Digest
	}
	// AnswerCmd sends the reply to a [DigestMsg].
	AnswerCmd struct {
		Answer chan<- Digest
		Digest Digest
	}
	// FetchCmd requests shards or members from a peer.
	FetchCmd struct {
		From    netip.AddrPort
		Request FetchRequest
	}
	// WatchRootCmd waits for a version of the root object above After.
	WatchRootCmd struct{ After banyanplank.Version }
	// ReadRootCmd reads the root object.
	ReadRootCmd struct{}
	// ReadShardsCmd reads shards from the object API.
	ReadShardsCmd struct{ Names []sharder.Name }
	// ListInstancesCmd reads the platform's list of instances.
	ListInstancesCmd struct{}
)
