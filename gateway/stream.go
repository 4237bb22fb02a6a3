package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// The times of a stream.
const (
	// streamPatience is how long an endpoint may be silent while others of its
	// service go on. Callers leave after two seconds of silence.
	streamPatience = 800 * time.Millisecond
	// aliveAge is how long ago another stream of the service went on, at most,
	// for the service to count as alive.
	aliveAge = 300 * time.Millisecond
	// readSize is the size of the buffer for events in bytes.
	readSize = 4096
	// maxEvent bounds an event in bytes.
	maxEvent = 256 << 10
)

// stream is the state of an answer that is passed on event by event.
type stream struct {
	// begun tells that the caller has the head.
	begun bool
	// last is the id of the last event that the caller has.
	last   string
	events int
	at     time.Time
	// pause is the longest time between two events.
	pause time.Duration
}

// errSlow means that the endpoint holds up its group of ranks as long as it has
// streams.
var errSlow = errors.New("the endpoint holds up its group")

// errCaller marks errors of the caller's connection.
var errCaller = errors.New("the caller's connection")

// pump passes on the events of an answer. It reports false when the answer
// broke off and another endpoint may go on with it.
func (f *flow) pump(exchange *requester.Exchange) (done bool) {
	if !exchange.Reply.Sealed {
		return f.broken(errors.New("answer without seal"))
	}
	err := f.copyEvents(exchange)
	if err == nil {
		exchange.Whole()
		f.gateway.witness.Completed(time.Now(), f.lastRun())
		f.lease.Finish(balancer.Result{Kind: balancer.Served})
		f.ensureHead(exchange)
		return true
	}
	return f.broken(err)
}

// ensureHead passes on the head of an answer that has not begun yet.
func (f *flow) ensureHead(exchange *requester.Exchange) {
	if !f.stream.begun {
		f.stream.begun = true
		f.result.first = time.Since(f.arrived)
		f.writeHead(exchange.Response, -1)
	}
}

// copyEvents passes on whole events until the answer ends. An error means that
// it broke off.
func (f *flow) copyEvents(exchange *requester.Exchange) (err error) {
	if err := f.held.take(readSize); err != nil {
		return err
	}
	buffer, progress := make([]byte, 0, readSize), time.Now()
	for {
		rest, err := f.forward(exchange, buffer)
		if err != nil {
			return err
		}
		if len(rest) < len(buffer) {
			progress = time.Now()
		}
		// An endpoint that sends bytes but no events is as silent as one that sends
		// nothing.
		if time.Since(progress) > streamPatience && f.isStalled() {
			return requester.ErrSilent
		}
		buffer = append(buffer[:0], rest...)
		if buffer, err = f.makeRoom(buffer); err != nil {
			return err
		}
		if f.sends < f.route.Attempts && f.route.Resumable && f.gateway.balancer.IsSlow(f.lease.Backend.ID) {
			return errSlow
		}
		if err := exchange.Await(f.ctx, streamPatience, f.isStalled); err != nil {
			return err
		}
		n, err := exchange.Response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			rest, err := f.forward(exchange, buffer)
			if err == nil && len(rest) > 0 {
				err = errors.Newf("answer ends within an event, after %d bytes of it", len(rest))
			}
			return err
		}
		if err != nil {
			return errors.Wrap(err, "read events")
		}
	}
}

// makeRoom returns the buffer with room for more of an event.
func (f *flow) makeRoom(buffer []byte) (grown []byte, err error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	if cap(buffer) >= maxEvent {
		return nil, errors.Newf("event of over %d bytes", maxEvent)
	}
	if err := f.held.take(int64(cap(buffer))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, 2*cap(buffer)), buffer...), nil
}

// eventEnd separates events.
var eventEnd = []byte("\n\n")

// forward passes on the whole events in text and returns what is left.
func (f *flow) forward(exchange *requester.Exchange, text []byte) (rest []byte, err error) {
	end := bytes.LastIndex(text, eventEnd)
	if end < 0 {
		return text, nil
	}
	events, rest := text[:end+len(eventEnd)], text[end+len(eventEnd):]
	events = f.accept(events)
	if len(events) == 0 {
		return rest, nil
	}
	f.ensureHead(exchange)
	if _, err := f.writer.Write(events); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "write to caller"), errCaller)
	}
	if err := http.NewResponseController(f.writer).Flush(); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "write to caller"), errCaller)
	}
	return rest, nil
}

// accept notes the ids of events, and leaves out those that the caller has.
func (f *flow) accept(events []byte) (fresh []byte) {
	now := time.Now()
	for len(events) > 0 {
		end := bytes.Index(events, eventEnd) + len(eventEnd)
		event := events[:end]
		events = events[end:]
		id := eventID(event)
		if id != "" && isSeen(id, f.stream.last) {
			continue
		}
		if id != "" {
			f.stream.last = id
		}
		fresh = append(fresh, event...)
		f.stream.events++
	}
	if len(fresh) == 0 {
		return nil
	}
	if f.stream.at.IsZero() {
		f.lease.Begun()
	} else {
		gap := now.Sub(f.stream.at)
		f.stream.pause = max(f.stream.pause, gap)
		f.lease.Event(gap)
	}
	f.stream.at = now
	return fresh
}

// idField begins the line with an event's id.
var idField = []byte("id:")

// eventID returns the id of an event, or "".
func eventID(event []byte) (id string) {
	for line := range bytes.Lines(event) {
		if rest, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}

// isSeen reports whether the event id comes no later than last. Ids increase.
func isSeen(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA == nil && errB == nil && a <= b
}
