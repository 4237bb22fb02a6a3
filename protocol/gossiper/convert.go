package gossiper

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/spreader"
	"github.com/banyanplank/banyanplank/state/sharder"
)

// ErrMalformed means that a message has no valid sender record, which every
// version sends.
var ErrMalformed = errors.New("malformed gossip message")

// EncodeDigest returns the message for a digest. The age of the proof is
// rounded up to whole milliseconds, and left unset without a proof.
func EncodeDigest(d spreader.Digest) (message *Digest) {
	message = &Digest{From: encodeRecord(d.From), Revision: uint64(d.Revision), Sum: d.MembersHash, Buckets: d.BucketHashes, Root: d.Root, Reach: d.ReachableShare}
	if d.ProofAge != spreader.NoProof {
		age := uint64((d.ProofAge + time.Millisecond - 1) / time.Millisecond)
		message.Age = &age
	}
	message.Updates = encodeRecords(d.Updates)
	return message
}

// DecodeDigest returns the digest in a message. It omits updates that are not
// valid in this version, and returns [ErrMalformed] if the record of the sender
// is not valid.
func DecodeDigest(message *Digest) (d spreader.Digest, err error) {
	from, ok := decodeRecord(message.GetFrom())
	if !ok {
		return spreader.Digest{}, errors.Wrap(ErrMalformed, "sender")
	}
	d = spreader.Digest{
		From: from, Revision: banyanplank.Revision(message.GetRevision()), ProofAge: spreader.NoProof,
		Updates: decodeRecords(message.GetUpdates()), MembersHash: message.GetSum(), BucketHashes: message.GetBuckets(), Root: message.GetRoot(), ReachableShare: message.GetReach(),
	}
	if message.Age != nil {
		d.ProofAge = max(0, time.Duration(min(message.GetAge(), maxAgeMillis))*time.Millisecond)
	}
	return d, nil
}

// maxAgeMillis limits a received age in milliseconds, so that it fits a
// [time.Duration].
const maxAgeMillis = 1 << 40

func encodeRecords(records []spreader.Record) (messages []*Record) {
	for _, r := range records {
		messages = append(messages, encodeRecord(r))
	}
	return messages
}

// decodeRecords omits the records that are not valid in this version.
func decodeRecords(messages []*Record) (records []spreader.Record) {
	for _, message := range messages {
		if r, ok := decodeRecord(message); ok {
			records = append(records, r)
		}
	}
	return records
}

func encodeRecord(r spreader.Record) (message *Record) {
	m := r.Member
	return &Record{
		Id: string(m.ID), Incarnation: uint64(m.Incarnation), Beat: r.Sequence, Role: encodeRole(m.Role),
		State: uint32(m.State), Instance: string(m.Instance), Zone: string(m.Zone),
		Peer: encodeAddress(m.PeerAddress), Caller: encodeAddress(m.CallerAddress),
		Service: string(m.Service), Group: string(m.Group), Rank: uint32(m.Rank),
	}
}

// decodeRecord returns the record in a message and reports whether it is valid:
// it has an ID, a state that this version recognizes, and well-formed addresses.
func decodeRecord(message *Record) (r spreader.Record, ok bool) {
	if message.GetId() == "" || message.GetState() > uint32(banyanplank.MemberGone) {
		return spreader.Record{}, false
	}
	r = spreader.Record{Sequence: message.GetBeat(), Member: banyanplank.Member{
		ID: banyanplank.DaemonID(message.GetId()), Incarnation: banyanplank.Incarnation(message.GetIncarnation()),
		Role: decodeRole(message.GetRole()), State: banyanplank.MemberState(message.GetState()),
		Instance: banyanplank.InstanceID(message.GetInstance()), Zone: banyanplank.Zone(message.GetZone()),
		Service: banyanplank.ServiceName(message.GetService()), Group: banyanplank.GroupName(message.GetGroup()),
		Rank: int(message.GetRank()),
	}}
	var peerOK, callerOK bool
	r.Member.PeerAddress, peerOK = decodeAddress(message.GetPeer())
	r.Member.CallerAddress, callerOK = decodeAddress(message.GetCaller())
	return r, peerOK && callerOK
}

func encodeRole(role banyanplank.Role) (message Role) {
	switch role {
	case banyanplank.RoleEntry:
		return Role_ENTRY
	case banyanplank.RoleAgent:
		return Role_AGENT
	default:
		return Role_UNKNOWN
	}
}

func decodeRole(message Role) (role banyanplank.Role) {
	switch message {
	case Role_ENTRY:
		return banyanplank.RoleEntry
	case Role_AGENT:
		return banyanplank.RoleAgent
	default:
		return ""
	}
}

// encodeAddress returns nil for an address that is not set.
func encodeAddress(address netip.AddrPort) (value []byte) {
	if !address.IsValid() {
		return nil
	}
	value, _ = address.MarshalBinary()
	return value
}

// decodeAddress returns the zero address for an empty value, as encodeAddress
// writes it.
func decodeAddress(value []byte) (address netip.AddrPort, ok bool) {
	if len(value) == 0 {
		return netip.AddrPort{}, true
	}
	err := address.UnmarshalBinary(value)
	return address, err == nil
}

// EncodeFetchRequest returns the message for a fetch request.
func EncodeFetchRequest(r spreader.FetchRequest) (message *FetchRequest) {
	message = &FetchRequest{Have: uint64(r.Have), Members: r.Members}
	for _, name := range r.Names {
		message.Names = append(message.Names, string(name))
	}
	return message
}

// DecodeFetchRequest returns the fetch request in a message.
func DecodeFetchRequest(message *FetchRequest) (r spreader.FetchRequest) {
	r = spreader.FetchRequest{Have: banyanplank.Revision(message.GetHave()), Members: message.GetMembers()}
	for _, name := range message.GetNames() {
		r.Names = append(r.Names, sharder.Name(name))
	}
	return r
}

// EncodeFetchReply returns the message for a fetch reply.
func EncodeFetchReply(r spreader.FetchReply) (message *FetchReply) {
	message = &FetchReply{Root: r.Root, Members: encodeRecords(r.Members)}
	for _, s := range r.Shards {
		message.Shards = append(message.Shards, &Shard{Name: string(s.Name), Value: s.Value})
	}
	return message
}

// DecodeFetchReply returns the fetch reply in a message. It omits members that are
// not valid in this version.
func DecodeFetchReply(message *FetchReply) (r spreader.FetchReply) {
	r = spreader.FetchReply{Root: message.GetRoot(), Members: decodeRecords(message.GetMembers())}
	for _, s := range message.GetShards() {
		r.Shards = append(r.Shards, sharder.Shard{Name: sharder.Name(s.GetName()), Value: s.GetValue()})
	}
	return r
}
