package gateway

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/transport/requester"
)

// Times and sizes of a stream.
const (
	// streamSilenceTimeout is how long an endpoint may be silent while other streams
	// of its group make progress. Callers leave after two seconds of silence.
	streamSilenceTimeout = 800 * time.Millisecond
	// maxProgressAge is the longest time since the last event of any stream of the
	// endpoint's group for the group to count as alive.
	maxProgressAge = 300 * time.Millisecond
	// mediaTypeEvents is the media type of event streams.
	mediaTypeEvents = "text/event-stream"
	// readBufferBytes is the initial size of the buffer for events.
	readBufferBytes = 4096
	// maxEventBytes bounds a single event.
	maxEventBytes = 256 << 10
)

// stream is the state of a response that is forwarded event by event.
type stream struct {
	// headerSent reports whether the caller has the status and header, and mediaType is the
	// type of the body that the header names.
	headerSent bool
	mediaType  string
	// lastID is the id of the last event sent to the caller.
	lastID      string
	events      int
	lastEventAt time.Time
	// longestGap is the longest time between two events.
	longestGap time.Duration
}

// errSlowRank means that the endpoint delays its group of ranks while it has streams.
var errSlowRank = errors.New("endpoint delays its group of ranks")

// errCallerConnection marks errors of writing to the caller.
var errCallerConnection = errors.New("connection to the caller failed")

// forwardStream forwards the events of a response. It returns false if the response
// broke off and another endpoint may resume it.
func (f *forwarder) forwardStream(exchange *requester.Exchange) (done bool) {
	if !exchange.Reply.Sealed {
		return f.handleBroken(errors.New("response has no server seal"))
	}
	if got := mediaTypeOf(exchange.Response.Header); f.stream.headerSent && got != f.stream.mediaType && got != mediaTypeEvents {
		return f.handleBroken(errors.Newf("body of type %q instead of the rest of the stream", got))
	}
	err := f.copyEvents(exchange)
	if err == nil {
		exchange.MarkComplete()
		f.gateway.crashTracker.RecordCompleted(time.Now(), f.lastRun())
		f.lease.Finish(balancer.Result{Kind: balancer.Served})
		f.ensureHeader(exchange)
		return true
	}
	return f.handleBroken(err)
}

// ensureHeader forwards the status and header unless they are already sent.
func (f *forwarder) ensureHeader(exchange *requester.Exchange) {
	if !f.stream.headerSent {
		f.stream.headerSent, f.stream.mediaType = true, mediaTypeOf(exchange.Response.Header)
		f.result.timeToFirst = time.Since(f.arrivedAt)
		f.writeHeader(exchange.Response, -1)
	}
}

// mediaTypeOf returns the type of the body that a header names, without parameters.
func mediaTypeOf(header http.Header) (mediaType string) {
	mediaType, _, _ = strings.Cut(header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(mediaType))
}

// copyEvents forwards whole events until the response ends. An error means that it
// broke off.
func (f *forwarder) copyEvents(exchange *requester.Exchange) (err error) {
	if err := f.buffered.reserve(readBufferBytes); err != nil {
		return err
	}
	buffer, progress, earlierEvents := make([]byte, 0, readBufferBytes), time.Now(), f.stream.events
	for {
		rest, err := f.writeEvents(exchange, buffer)
		if err != nil {
			return err
		}
		if len(rest) < len(buffer) {
			progress = time.Now()
		}
		// An endpoint that sends bytes but no whole events counts as silent.
		if time.Since(progress) > streamSilenceTimeout && f.mayGiveUpStream() {
			return requester.ErrSilent
		}
		buffer = append(buffer[:0], rest...)
		if buffer, err = f.growBuffer(buffer); err != nil {
			return err
		}
		// One stream at a slow rank delays all streams of the group. Without another
		// attempt it is cut, and its caller can resume it.
		if f.route.Resumable && f.gateway.balancer.IsSlow(f.lease.Backend.ID) {
			return errSlowRank
		}
		// An empty body has no bytes to wait for.
		if exchange.Response.ContentLength != 0 {
			if err := exchange.Await(f.ctx, streamSilenceTimeout, f.mayGiveUpStream); err != nil {
				return err
			}
		}
		n, err := exchange.Response.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			rest, err := f.writeEvents(exchange, buffer)
			switch {
			case err != nil:
				return err
			case !isBlank(rest):
				return errors.Newf("response ends within an event, after %d bytes of it", len(rest))
			case f.stream.events == earlierEvents && !exchange.IsFramed():
				return errors.New("connection ends before the first event of the response")
			case len(rest) > 0:
				return f.writeToCaller(exchange, rest)
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read events")
		}
	}
}

// growBuffer returns the buffer with room for at least one more byte. It fails if the
// event is longer than maxEventBytes or if no memory is left.
func (f *forwarder) growBuffer(buffer []byte) (grown []byte, err error) {
	if len(buffer) < cap(buffer) {
		return buffer, nil
	}
	if cap(buffer) >= maxEventBytes {
		return nil, errors.Newf("event is over %d bytes", maxEventBytes)
	}
	if err := f.buffered.reserve(int64(cap(buffer))); err != nil {
		return nil, err
	}
	return append(make([]byte, 0, 2*cap(buffer)), buffer...), nil
}

// writeEvents writes the whole events in data to the caller and returns the remaining
// bytes.
func (f *forwarder) writeEvents(exchange *requester.Exchange, data []byte) (rest []byte, err error) {
	fresh, rest := f.filterEvents(data)
	if len(fresh) == 0 {
		return rest, nil
	}
	f.recordEvents(exchange)
	return rest, f.writeToCaller(exchange, fresh)
}

// writeToCaller writes a part of the stream to the caller at once.
func (f *forwarder) writeToCaller(exchange *requester.Exchange, part []byte) (err error) {
	f.ensureHeader(exchange)
	_, err = f.writer.Write(part)
	if err == nil {
		err = http.NewResponseController(f.writer).Flush()
	}
	if err != nil {
		return errors.Mark(errors.Wrap(err, "write to caller"), errCallerConnection)
	}
	return nil
}

// filterEvents returns the whole events in data that the caller does not have yet, and the
// bytes after the last whole event. It records the ids of the events.
func (f *forwarder) filterEvents(data []byte) (fresh, rest []byte) {
	rest = data
	for {
		end := eventEnd(rest)
		if end == 0 {
			return fresh, rest
		}
		event := rest[:end]
		rest = rest[end:]
		id := eventID(event)
		if id != "" && isSeen(id, f.stream.lastID) {
			continue
		}
		if id != "" {
			f.stream.lastID = id
		}
		fresh = append(fresh, event...)
		f.stream.events++
	}
}

// recordEvents records that events have arrived.
func (f *forwarder) recordEvents(exchange *requester.Exchange) {
	now := time.Now()
	if f.stream.lastEventAt.IsZero() {
		f.countRun(exchange)
		f.lease.RecordFirstEvent()
		f.recordAnswered()
	} else {
		gap := now.Sub(f.stream.lastEventAt)
		f.stream.longestGap = max(f.stream.longestGap, gap)
		f.lease.RecordEvent(gap)
	}
	f.stream.lastEventAt = now
}
