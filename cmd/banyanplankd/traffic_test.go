package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/sourcegraph/conc/pool"

	"github.com/banyanplank/banyanplank/standin/engine"
)

// streamed is one streamed call in the background.
type streamed struct {
	tokens atomic.Int64
	// last is the id of the latest event.
	last  atomic.Pointer[string]
	first chan struct{}
	ended chan struct{}
	whole bool
	// failure is what the entry said of a cut answer.
	failure string
}

// openStream sends a streamed model call.
func openStream(ctx context.Context, ts *testscript.TestScript, entry, tokens, last string) (response *http.Response, err error) {
	body := fmt.Sprintf(`{"model":"guide","stream":true,"max_tokens":%s,"messages":[{"role":"user","content":"marmots"}]}`, tokens)
	url := "http://" + ts.Getenv(entry+"_CALLER") + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	if last != "" {
		request.Header.Set("Last-Event-ID", last)
	}
	return http.DefaultClient.Do(request)
}

func startStream(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	last := ""
	if len(args) > 3 {
		last = *w.streams[args[3]].last.Load()
	}
	s := &streamed{first: make(chan struct{}), ended: make(chan struct{})}
	w.streams[args[0]] = s
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	ts.Defer(cancel)
	response, err := openStream(ctx, ts, args[1], args[2], last)
	ts.Check(err)
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		ts.Fatalf("stream %s: %d %s", args[0], response.StatusCode, body)
	}
	w.group.Go(func() { s.read(response.Body) })
	select {
	case <-s.first:
	case <-s.ended:
		ts.Fatalf("stream %s ended before its first token", args[0])
	}
}

// read follows the events until the connection ends.
func (s *streamed) read(body io.ReadCloser) {
	defer close(s.ended)
	defer body.Close()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.last.Store(&id)
		}
		switch {
		case line == "data: [DONE]":
			s.whole = true
		case strings.HasPrefix(line, "event: error"):
			lines.Scan()
			s.failure = lines.Text()
			return
		case strings.HasPrefix(line, "data: "):
			if s.tokens.Add(1) == 1 {
				close(s.first)
			}
		}
	}
}

func awaitStream(ts *testscript.TestScript, _ bool, args []string) {
	s := worldOf(ts).streams[args[0]]
	<-s.ended
	got := "cut"
	if s.whole {
		got = "whole " + strconv.FormatInt(s.tokens.Load(), 10)
	}
	if want := strings.Join(args[1:], " "); got != want {
		ts.Fatalf("stream %s: %s after %d tokens, want %s: %s", args[0], got, s.tokens.Load(), want, s.failure)
	}
}

func checkResumed(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	s, from := w.streams[args[0]], w.streams[args[1]]
	<-s.ended
	total := strconv.FormatInt(s.tokens.Load()+from.tokens.Load(), 10)
	if !s.whole || from.whole || total != args[2] {
		ts.Fatalf("whole=%v after %s tokens in both, want %s", s.whole, total, args[2])
	}
}

func breakEngine(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	e := w.engines[args[0]]
	if args[0] == "busy" {
		e = w.busy(ts)
	}
	switch args[1] {
	case "crash":
		e.Crash()
	case "freeze", "thaw":
		e.Freeze(args[1] == "freeze")
	default:
		ts.Fatalf("there is no fault %q", args[1])
	}
}

// busy returns an engine that runs a request.
func (w *world) busy(ts *testscript.TestScript) (e *engine.Engine) {
	for _, e := range w.engines {
		if e.Running() > 0 {
			return e
		}
	}
	ts.Fatalf("no engine runs a request")
	return nil
}

// load is a group of callers that call all the time.
type load struct {
	stop  context.CancelFunc
	calls context.Context
	group *pool.Pool
	whole atomic.Int64
	cut   atomic.Int64
}

// loadCallers is the number of callers at a time, and loadTokens the length of
// their answers.
const (
	loadCallers = 4
	loadTokens  = "20"
	// loadLimit bounds the whole load.
	loadLimit = time.Minute
)

func startLoad(ts *testscript.TestScript, _ bool, entries []string) {
	ctx, cancel := context.WithCancel(context.Background())
	calls, abandon := context.WithTimeout(context.Background(), loadLimit)
	l := &load{stop: cancel, calls: calls, group: pool.New()}
	worldOf(ts).load = l
	ts.Defer(cancel)
	ts.Defer(abandon)
	for i := range loadCallers {
		l.group.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				l.call(ts, entries[n%len(entries)])
			}
		})
	}
}

// call makes one call. A refusal or a failure to connect is no cut answer: the
// caller takes another entry, as its list of entries tells it to.
func (l *load) call(ts *testscript.TestScript, entry string) {
	response, err := openStream(l.calls, ts, entry, loadTokens, "")
	if err != nil {
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return
	}
	if describe(response) == "whole "+loadTokens {
		l.whole.Add(1)
		return
	}
	l.cut.Add(1)
}

func stopLoad(ts *testscript.TestScript, _ bool, args []string) {
	l := worldOf(ts).load
	l.stop()
	l.group.Wait()
	ts.Logf("whole=%d cut=%d", l.whole.Load(), l.cut.Load())
	if l.whole.Load() == 0 {
		ts.Fatalf("no answer arrived whole")
	}
	if got := strconv.FormatInt(l.cut.Load(), 10); got != args[0] {
		ts.Fatalf("%s answers were cut, want %s", got, args[0])
	}
}
