package switcher

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// encodeRecord encodes a record. Of the maps it includes only the ids.
func encodeRecord(record Record) (value []byte, err error) {
	message := &orderer.Record{
		Group:   string(record.Group),
		Fence:   record.Fence,
		Current: uint64(record.Current),
		Pending: uint64(record.Pending),
	}
	for _, m := range record.Maps {
		message.Kept = append(message.Kept, uint64(m.ID))
	}
	return proto.Marshal(message)
}

// decodeRecord decodes a record without its maps, and the ids of the maps.
func decodeRecord(value []byte) (record Record, mapIDs []banyanplank.MapID, err error) {
	message := &orderer.Record{}
	if err := proto.Unmarshal(value, message); err != nil {
		return Record{}, nil, errors.Wrap(err, "decode expert map record")
	}
	for _, id := range message.Kept {
		mapIDs = append(mapIDs, banyanplank.MapID(id))
	}
	return Record{
		Group:   banyanplank.GroupName(message.Group),
		Fence:   message.Fence,
		Current: banyanplank.MapID(message.Current),
		Pending: banyanplank.MapID(message.Pending),
	}, mapIDs, nil
}

func encodeMap(m banyanplank.ExpertMap) (value []byte, err error) {
	return proto.Marshal(orderer.EncodeMap(m))
}

// decodeMap decodes and validates a map.
func decodeMap(value []byte) (m banyanplank.ExpertMap, err error) {
	message := &orderer.Map{}
	if err := proto.Unmarshal(value, message); err != nil {
		return m, errors.Wrap(err, "decode expert map")
	}
	return orderer.DecodeMap(message)
}

// errorByRefusal holds the errors of a [Gate] that have a code of their own on
// the wire.
var errorByRefusal = map[orderer.Refusal]error{
	orderer.Refusal_OLD_FENCE: ErrOldFence,
	orderer.Refusal_OLD_ORDER: ErrOldOrder,
	orderer.Refusal_LEARNING:  ErrFenceUnknown,
	orderer.Refusal_BUSY:      ErrBusy,
}

// FromAnswer converts the answer of a [Gate] to its wire message.
func FromAnswer(answer AnswerCmd) (message *orderer.GiveReply) {
	message = &orderer.GiveReply{Status: orderer.EncodeStatus(answer.Status)}
	if answer.Err == nil {
		return message
	}
	message.Refusal = orderer.Refusal_FAILED
	message.Detail = answer.Err.Error()
	for refusal, err := range errorByRefusal {
		if errors.Is(answer.Err, err) {
			message.Refusal = refusal
		}
	}
	return message
}

// ToReply converts the wire message from the agent of a rank to a [ReplyMsg].
// The error of a refusal matches the error of the gate, such as [ErrOldFence].
func ToReply(rank int, serial uint64, message *orderer.GiveReply) (reply ReplyMsg) {
	reply = ReplyMsg{Rank: rank, Serial: serial, Status: orderer.DecodeStatus(message.Status)}
	if message.Refusal == orderer.Refusal_NONE {
		return reply
	}
	reply.Err = errors.New(message.Detail)
	if err, ok := errorByRefusal[message.Refusal]; ok {
		reply.Err = errors.Wrap(err, message.Detail)
	}
	return reply
}
