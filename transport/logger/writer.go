package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxBufferedBytes bounds the buffer. Once it holds maxInfoBytes, only
	// warnings and errors are accepted, because refusals and failures are more
	// useful than successful calls.
	maxBufferedBytes = 512 << 10
	maxInfoBytes     = 384 << 10
	// closeTimeout limits the last write, since the output may be blocked.
	closeTimeout = 500 * time.Millisecond
	// flushInterval is the time between two writes to the output.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines and writes them to a slow output in one goroutine. It
// drops lines when the buffer is full, and logs how many.
type Writer struct {
	out             io.Writer
	mutex           sync.Mutex
	buffer          bytes.Buffer
	unreportedDrops int
	totalDropped    atomic.Uint64
	flushing        conc.WaitGroup
	closing         conc.WaitGroup
	cancel          context.CancelFunc
}

// NewWriter returns a writer to out. Close it to write the buffered lines.
func NewWriter(out io.Writer) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{out: out, cancel: cancel}
	w.flushing.Go(func() { w.run(ctx) })
	return w
}

// Write buffers or drops one line. It never blocks on the output and never fails.
func (w *Writer) Write(line []byte) (n int, err error) { return w.enqueue(line, maxBufferedBytes) }

// infoWriter accepts the lines of a writer that are dropped first.
type infoWriter struct{ *Writer }

// Write buffers or drops one line. It never blocks on the output and never fails.
func (w infoWriter) Write(line []byte) (n int, err error) { return w.enqueue(line, maxInfoBytes) }

// enqueue buffers a line, or drops it if the buffer would exceed limit bytes.
func (w *Writer) enqueue(line []byte, limit int) (n int, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.buffer.Len()+len(line) > limit {
		w.unreportedDrops++
		w.totalDropped.Add(1)
		return len(line), nil
	}
	return w.buffer.Write(line)
}

// Dropped returns the number of dropped lines and failed writes.
func (w *Writer) Dropped() (lines uint64) { return w.totalDropped.Load() }

// run flushes the buffer at every interval and once more when ctx ends.
func (w *Writer) run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes the buffered lines and the number of dropped ones.
func (w *Writer) flush() {
	w.mutex.Lock()
	text := bytes.Clone(w.buffer.Bytes())
	dropped := w.unreportedDrops
	w.buffer.Reset()
	w.unreportedDrops = 0
	w.mutex.Unlock()
	if dropped > 0 {
		text = fmt.Appendf(text, "time=%s level=warn event=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(text) == 0 {
		return
	}
	if _, err := w.out.Write(text); err != nil {
		// The error can only be counted, since the log itself fails.
		w.totalDropped.Add(1)
	}
}

// Close writes the buffered lines and stops the goroutine. It returns an error if
// the output is still blocked after closeTimeout.
func (w *Writer) Close() (err error) {
	w.cancel()
	done := make(chan struct{})
	w.closing.Go(func() {
		defer close(done)
		w.flushing.Wait()
	})
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errors.Newf("output accepted no lines for %s", closeTimeout)
	}
}
