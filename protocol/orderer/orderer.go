// Package orderer defines the messages between the agents of a group of ranks
// and the group's coordinator, and converts them to and from the domain types.
//
// An expert map is sent as the slots that differ from a base map that the
// receiver has, so that a plan of a few hundred moves takes a few hundred bytes.
// The generated code comes from orderer.proto.
package orderer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative orderer.proto

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/banyanplank/banyanplank"
)

// maxTokenUnits is the largest number of units in which a slot's tokens are
// reported; it fits one byte.
const maxTokenUnits = 255

// EncodeLoad returns the message for a load report. Token counts are rounded to
// 1/255 of the busiest slot, so that each takes one byte. Times are in whole
// microseconds.
func EncodeLoad(load banyanplank.RankLoad) (message *Load) {
	message = &Load{
		Group:       string(load.Group),
		Rank:        uint32(load.Rank),
		Incarnation: uint64(load.Incarnation),
		Sequence:    load.Sequence,
		Map:         uint64(load.Map),
		Span:        uint64(load.Span.Microseconds()),
		Arrived:     load.Arrived,
		Busy:        uint64(load.BusyTime.Microseconds()),
		Late:        uint64(load.Lateness.Microseconds()),
		Steps:       load.Steps,
	}
	if len(load.Tokens) == 0 {
		return message
	}
	message.Scale = tokenScale(load.Tokens)
	message.Tokens = make([]byte, len(load.Tokens))
	for i, tokens := range load.Tokens {
		message.Tokens[i] = byte((uint64(tokens) + message.Scale/2) / message.Scale)
	}
	return message
}

// tokenScale returns the smallest number of tokens per unit with which every
// count fits one byte.
func tokenScale(tokens []uint32) (scale uint64) {
	maxTokens := uint64(0)
	for _, count := range tokens {
		maxTokens = max(maxTokens, uint64(count))
	}
	return max(1, (maxTokens+maxTokenUnits-1)/maxTokenUnits)
}

// DecodeLoad returns the load report in a message. It returns an error if a
// duration or the scale of the tokens is out of range.
func DecodeLoad(message *Load) (load banyanplank.RankLoad, err error) {
	load = banyanplank.RankLoad{
		Group:       banyanplank.GroupName(message.Group),
		Rank:        int(message.Rank),
		Incarnation: banyanplank.Incarnation(message.Incarnation),
		Sequence:    message.Sequence,
		Map:         banyanplank.MapID(message.Map),
		Arrived:     message.Arrived,
		Steps:       message.Steps,
	}
	for _, field := range []struct {
		to   *time.Duration
		from uint64
	}{{&load.Span, message.Span}, {&load.BusyTime, message.Busy}, {&load.Lateness, message.Late}} {
		if field.from > uint64(maxDuration/time.Microsecond) {
			return banyanplank.RankLoad{}, errors.Newf("load report of rank %d: duration of %d µs is out of range", load.Rank, field.from)
		}
		*field.to = time.Duration(field.from) * time.Microsecond
	}
	if len(message.Tokens) == 0 {
		return load, nil
	}
	if message.Scale == 0 || message.Scale > (1<<32-1)/maxTokenUnits+1 {
		return banyanplank.RankLoad{}, errors.Newf("load report of rank %d: token scale %d is out of range", load.Rank, message.Scale)
	}
	load.Tokens = make([]uint32, len(message.Tokens))
	for i, units := range message.Tokens {
		load.Tokens[i] = uint32(min(uint64(units)*message.Scale, 1<<32-1))
	}
	return load, nil
}

// maxDuration limits the durations in a received message.
const maxDuration = 365 * 24 * time.Hour

// LoadSize returns the size of a load report on the wire in bytes, including the
// overhead of the call and its packets.
func LoadSize(load banyanplank.RankLoad) (bytes int) {
	return proto.Size(EncodeLoad(load)) + callOverheadBytes
}

// callOverheadBytes is what a small call takes besides its message: the frames of
// the call and the headers of one packet in each direction.
const callOverheadBytes = 120

// EncodeStatus returns the message for a rank's status.
func EncodeStatus(status banyanplank.RankStatus) (message *Status) {
	return &Status{
		Boot:     status.Boot,
		Map:      uint64(status.Map),
		Step:     status.Step,
		Prepared: uint64(status.Prepared),
		Armed:    uint64(status.Armed),
		Loading:  uint64(status.Loading),
	}
}

// DecodeStatus returns the rank's status in a message.
func DecodeStatus(message *Status) (status banyanplank.RankStatus) {
	return banyanplank.RankStatus{
		Boot:     message.GetBoot(),
		Map:      banyanplank.MapID(message.GetMap()),
		Step:     message.GetStep(),
		Prepared: banyanplank.MapID(message.GetPrepared()),
		Armed:    banyanplank.MapID(message.GetArmed()),
		Loading:  banyanplank.MapID(message.GetLoading()),
	}
}

// orderKinds maps the kinds of orders in messages to those of the domain. A query
// is not an order and has none.
var orderKinds = map[Kind]banyanplank.OrderKind{
	Kind_PREPARE: banyanplank.OrderPrepare,
	Kind_SWITCH:  banyanplank.OrderSwitch,
	Kind_ABORT:   banyanplank.OrderAbort,
}

// unknownKind is sent for a kind of order that messages can't hold. Receivers reject it.
const unknownKind Kind = -1

// EncodeOrder returns the message for an order to a rank, without a change of the
// map. An order without a kind becomes a query of the status.
func EncodeOrder(group banyanplank.GroupName, rank int, serial uint64, order banyanplank.Order) (message *GiveRequest) {
	message = &GiveRequest{
		Group:  string(group),
		Rank:   uint32(rank),
		Fence:  order.Fence,
		Serial: serial,
		Map:    order.Map,
		Step:   order.Step,
	}
	if order.Kind != "" {
		message.Kind = unknownKind
	}
	for messageKind, domainKind := range orderKinds {
		if domainKind == order.Kind {
			message.Kind = messageKind
		}
	}
	return message
}

// DecodeOrder returns the order in a message, with the encoded change as its
// payload. If query is true, the message only requests the rank's status. It
// returns an error for an unknown kind of order.
func DecodeOrder(message *GiveRequest) (order banyanplank.Order, query bool, err error) {
	order = banyanplank.Order{
		Kind:  orderKinds[message.Kind],
		Fence: message.Fence,
		Map:   message.Map,
		Step:  message.Step,
	}
	if message.Kind == Kind_QUERY {
		return order, true, nil
	}
	if order.Kind == "" {
		return banyanplank.Order{}, false, errors.Newf("unknown order kind %d", message.Kind)
	}
	if message.Change != nil {
		if order.Payload, err = proto.Marshal(message.Change); err != nil {
			return banyanplank.Order{}, false, errors.Wrap(err, "marshal order payload")
		}
	}
	return order, false, nil
}
