package logger

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"
)

// output takes lines unless it is blocked.
type output struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	blocked chan struct{}
}

func (o *output) Write(text []byte) (n int, err error) {
	if o.blocked != nil {
		<-o.blocked
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.text.Write(text)
}

func (o *output) lines() (lines []string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return strings.Split(strings.TrimSuffix(o.text.String(), "\n"), "\n")
}

// flood logs count served calls, and a refused one in each hundred.
func flood(l *log.Logger, count int) {
	for i := range count {
		l.Info().Str("id", fmt.Sprint(i)).Str("outcome", "served").Str("pad", strings.Repeat("x", 200)).Msg("call")
		if i%100 == 0 {
			l.Warn().Str("id", fmt.Sprint(i)).Str("outcome", "refused").Msg("call")
		}
	}
}

// count counts the lines with a word.
func count(lines []string, word string) (found int) {
	for _, line := range lines {
		if strings.Contains(line, word) {
			found++
		}
	}
	return found
}

// TestFlood logs more between two writes than may wait. The refusals all come
// through, the bound holds, and the number of lost lines is told.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{}
		w := NewWriter(out)
		flood(New(w), 10_000)
		is.NoErr(w.Close())
		lines := out.lines()
		is.True(out.text.Len() <= maxWaiting+200)
		is.Equal(count(lines, "outcome=refused"), 100)
		served := count(lines, "outcome=served")
		is.True(served > 1000)
		is.Equal(count(lines, fmt.Sprintf("lines=%d", 10_000-served)), 1)
		is.Equal(w.Dropped(), uint64(10_000-served))
	})
}

// TestBlockedOutput has an output that takes nothing. Lines are taken at once, and
// the end does not wait for it.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &output{blocked: make(chan struct{})}
		w := NewWriter(out)
		began := time.Now()
		for range 20 {
			flood(New(w), 500)
			time.Sleep(flushInterval)
		}
		is.Equal(time.Since(began), 20*flushInterval)
		began = time.Now()
		is.True(w.Close() != nil)
		is.Equal(time.Since(began), closeTimeout)
		close(out.blocked)
	})
}

// TestLines reads lines as documented.
func TestLines(t *testing.T) {
	is := is.New(t)
	out := &output{}
	l := New(out)
	l.Warn().Str("id", "a b").Int("sends", 2).Msg("call")
	line := out.lines()[0]
	_, rest, _ := strings.Cut(line, " ")
	is.Equal(rest, `level=warn event=call id="a b" sends=2`)
}
