package switcher

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/protocol/orderer"
)

// EncodeRecord returns the bytes of a group's record.
func EncodeRecord(record Record) (value []byte, err error) {
	message := &orderer.Record{
		Group:   string(record.Group),
		Fence:   record.Fence,
		Current: uint64(record.Current),
		Pending: uint64(record.Pending),
	}
	for _, m := range record.Maps {
		message.Maps = append(message.Maps, orderer.FromMap(m))
	}
	return proto.Marshal(message)
}

// DecodeRecord returns the record of the bytes.
func DecodeRecord(value []byte) (record Record, err error) {
	defer func() { err = errors.Wrap(err, "record of expert maps") }()
	message := &orderer.Record{}
	if err := proto.Unmarshal(value, message); err != nil {
		return Record{}, err
	}
	record = Record{
		Group:   banyanplank.GroupName(message.Group),
		Fence:   message.Fence,
		Current: banyanplank.MapID(message.Current),
		Pending: banyanplank.MapID(message.Pending),
	}
	for _, encoded := range message.Maps {
		m, err := orderer.ToMap(encoded)
		if err != nil {
			return Record{}, err
		}
		record.Maps = append(record.Maps, m)
	}
	return record, nil
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
