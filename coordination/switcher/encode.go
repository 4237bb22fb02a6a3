package switcher

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// encodeRecord returns the bytes of a record, without the places of its maps.
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

// decodeRecord returns the record of the bytes, and the ids of its maps.
func decodeRecord(value []byte) (record Record, kept []banyanplank.MapID, err error) {
	message := &orderer.Record{}
	if err := proto.Unmarshal(value, message); err != nil {
		return Record{}, nil, errors.Wrap(err, "record of expert maps")
	}
	for _, id := range message.Kept {
		kept = append(kept, banyanplank.MapID(id))
	}
	return Record{
		Group:   banyanplank.GroupName(message.Group),
		Fence:   message.Fence,
		Current: banyanplank.MapID(message.Current),
		Pending: banyanplank.MapID(message.Pending),
	}, kept, nil
}

// encodeMap returns the bytes of a map.
func encodeMap(m banyanplank.ExpertMap) (value []byte, err error) {
	return proto.Marshal(orderer.FromMap(m))
}

// decodeMap returns the checked map of the bytes.
func decodeMap(value []byte) (m banyanplank.ExpertMap, err error) {
	message := &orderer.Map{}
	if err := proto.Unmarshal(value, message); err != nil {
		return m, errors.Wrap(err, "expert map")
	}
	return orderer.ToMap(message)
}

// refusals lists the errors of a gate that have a message.
var refusals = map[orderer.Refusal]error{
	orderer.Refusal_OLD_FENCE: ErrOldFence,
	orderer.Refusal_OLD_ORDER: ErrOldOrder,
	orderer.Refusal_LEARNING:  ErrLearning,
	orderer.Refusal_BUSY:      ErrBusy,
}

// FromAnswer returns the message for a gate's answer.
func FromAnswer(answer AnswerCmd) (message *orderer.GiveReply) {
	message = &orderer.GiveReply{Status: orderer.FromStatus(answer.Status)}
	if answer.Err == nil {
		return message
	}
	message.Refusal = orderer.Refusal_FAILED
	message.Detail = answer.Err.Error()
	for refusal, err := range refusals {
		if errors.Is(answer.Err, err) {
			message.Refusal = refusal
		}
	}
	return message
}

// ToReply returns the coordinator's message for an agent's answer.
func ToReply(rank int, serial uint64, message *orderer.GiveReply) (reply ReplyMsg) {
	reply = ReplyMsg{Rank: rank, Serial: serial, Status: orderer.ToStatus(message.Status)}
	if message.Refusal == orderer.Refusal_NONE {
		return reply
	}
	reply.Err = errors.New(message.Detail)
	if err, ok := refusals[message.Refusal]; ok {
		reply.Err = errors.Wrap(err, message.Detail)
	}
	return reply
}
