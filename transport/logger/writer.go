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

// The bounds of a Writer.
const (
	// maxWaiting bounds the bytes that wait for the output, and maxLesser those
	// beyond which only warnings and errors are taken: refusals and failures tell
	// more than calls that were served.
	maxWaiting = 512 << 10
	maxLesser  = 384 << 10
	// closeTimeout bounds the last write, into an output that may take nothing.
	closeTimeout = 500 * time.Millisecond
	// flushInterval is how long lines are collected into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer hands lines to a slow output from one goroutine. Lines that find the
// buffer full are dropped, counted, and the count is written.
type Writer struct {
	out     io.Writer
	mutex   sync.Mutex
	waiting bytes.Buffer
	dropped int
	total   atomic.Uint64
	work    conc.WaitGroup
	last    conc.WaitGroup
	cancel  context.CancelFunc
}

// NewWriter returns a writer to out. Close it to write what waits.
func NewWriter(out io.Writer) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{out: out, cancel: cancel}
	w.work.Go(func() { w.run(ctx) })
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (n int, err error) { return w.take(line, maxWaiting) }

// lesser takes the lines of a writer that may be dropped first.
type lesser struct{ *Writer }

// Write takes one line. It never blocks and never fails.
func (l lesser) Write(line []byte) (n int, err error) { return l.take(line, maxLesser) }

// take takes a line unless more than most bytes would wait.
func (w *Writer) take(line []byte, most int) (n int, err error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.waiting.Len()+len(line) > most {
		w.dropped++
		w.total.Add(1)
		return len(line), nil
	}
	return w.waiting.Write(line)
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() (lines uint64) { return w.total.Load() }

// run writes at every interval until ctx ends.
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

// flush writes what waits.
func (w *Writer) flush() {
	w.mutex.Lock()
	text := bytes.Clone(w.waiting.Bytes())
	dropped := w.dropped
	w.waiting.Reset()
	w.dropped = 0
	w.mutex.Unlock()
	if dropped > 0 {
		text = fmt.Appendf(text, "time=%s level=warn event=\"log lines dropped\" lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), dropped)
	}
	if len(text) == 0 {
		return
	}
	if _, err := w.out.Write(text); err != nil {
		// Nobody is left to tell but the count.
		w.total.Add(1)
	}
}

// Close writes what waits and stops. It doesn't wait for an output that takes
// nothing; the error tells so.
func (w *Writer) Close() (err error) {
	w.cancel()
	done := make(chan struct{})
	w.last.Go(func() {
		defer close(done)
		w.work.Wait()
	})
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errors.Newf("the output took no lines for %s", closeTimeout)
	}
}
