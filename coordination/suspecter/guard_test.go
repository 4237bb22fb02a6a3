package suspecter_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/admitter"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
)

// fake is an endpoint that dies when it runs a request whose body is "bad".
type fake struct {
	mu   sync.Mutex
	boot int
	dead chan struct{}
	most int
	now  int
}

func (f *fake) Run(_ context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now++
	f.most = max(f.most, f.now)
	return &words{fake: f, bad: bytes.Equal(request.Body, []byte("bad")), dead: f.dead}, nil
}

// peak returns the most requests that ran at once since the last call.
func (f *fake) peak() (most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, f.most = f.most, f.now
	return most
}

func (f *fake) Cancel(context.Context, banyanplank.AttemptID) error { return nil }

func (f *fake) Report(context.Context) (report banyanplank.EndpointReport, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return banyanplank.EndpointReport{Boot: fmt.Sprint(f.boot), Capacity: 16_000}, nil
}

func (f *fake) Order(context.Context, banyanplank.Order) error { return nil }

// words is an answer of one part after a second, or a crash after half of one.
type words struct {
	fake *fake
	bad  bool
	dead chan struct{}
	done bool
}

func (w *words) Head() (head banyanplank.Head) { return head }

func (w *words) Close() error {
	w.fake.mu.Lock()
	defer w.fake.mu.Unlock()
	w.fake.now--
	return nil
}

func (w *words) Next() (part banyanplank.Part, err error) {
	if w.done {
		return part, io.EOF
	}
	length := time.Second
	if w.bad {
		length /= 2
	}
	select {
	case <-w.dead:
		return part, errors.New("connection reset")
	case <-time.After(length):
	}
	if w.bad {
		w.fake.mu.Lock()
		defer w.fake.mu.Unlock()
		w.fake.boot++
		w.fake.dead = make(chan struct{})
		close(w.dead)
		return part, errors.New("connection reset")
	}
	w.done = true
	return part, nil
}

// newGuard returns a guard before a fake endpoint.
func newGuard(name string, share func(banyanplank.Finding)) (g *suspecter.Guard, f *fake) {
	f = &fake{dead: make(chan struct{})}
	g = suspecter.NewGuard(banyanplank.DaemonID(name), admitter.New(banyanplank.DaemonID(name), 1, admitter.WithColdShare(1)), f,
		suspecter.WithShare(share))
	report, _ := f.Report(context.Background())
	g.Observe(report)
	return g, f
}

// run runs a request as an agent does.
func run(ctx context.Context, g *suspecter.Guard, attempt, account, body string) (err error) {
	request := &banyanplank.Request{
		Attempt: banyanplank.AttemptID(attempt),
		Account: banyanplank.AccountID(account),
		Body:    []byte(body),
		Demand:  banyanplank.Demand{Prompt: 50, Longest: 50},
	}
	grant, err := g.Admit(ctx, request)
	if err != nil {
		return err
	}
	healthy := false
	defer func() { grant.Release(healthy) }()
	answer, err := g.Endpoint().Run(ctx, request)
	if err != nil {
		return err
	}
	defer answer.Close()
	for {
		_, err = answer.Next()
		if errors.Is(err, io.EOF) {
			healthy = true
			return nil
		}
		if err != nil {
			return err
		}
		grant.Progress(1)
	}
}

// reasonOf returns the reason of a refusal, or none.
func reasonOf(err error) banyanplank.Reason {
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Reason
}

func TestCrashingRequestSentAgainAndAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var guards []*suspecter.Guard
		var fakes []*fake
		share := func(finding banyanplank.Finding) {
			for _, g := range guards {
				// The own guard holds its lock while it shares.
				var group conc.WaitGroup
				group.Go(func() { g.Learn(finding) })
				t.Cleanup(group.Wait)
			}
		}
		for i := range 6 {
			g, f := newGuard(fmt.Sprint(i), share)
			guards, fakes = append(guards, g), append(fakes, f)
		}
		var crashed, refused int
		for i := range 6 {
			var group conc.WaitGroup
			for j := range 5 {
				group.Go(func() {
					err := run(t.Context(), guards[i], fmt.Sprintf("good-%d-%d", i, j), "a", fmt.Sprintf("good-%d", j))
					is.True(reasonOf(err) != banyanplank.ReasonSuspect) // innocent
				})
			}
			synctest.Wait()
			group.Go(func() {
				err := run(t.Context(), guards[i], fmt.Sprintf("bad-%d", i), "a", "bad")
				if reasonOf(err) == banyanplank.ReasonSuspect {
					refused++
				}
			})
			group.Wait()
			report, _ := fakes[i].Report(t.Context())
			guards[i].Observe(report)
			crashed += fakes[i].boot
		}
		is.Equal(crashed, 2)
		is.Equal(refused, 4)
	})
}

func TestSuspectRunsAloneAndIsCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, f := newGuard("one", func(banyanplank.Finding) {})
		var group conc.WaitGroup
		for _, body := range []string{"good", "bad"} {
			group.Go(func() { is.True(run(t.Context(), g, body, "a", body) != nil) })
			synctest.Wait()
		}
		group.Wait()
		report, _ := f.Report(t.Context())
		g.Observe(report)
		f.peak()
		for i, body := range []string{"good", "other", "good", "other"} {
			group.Go(func() { is.NoErr(run(t.Context(), g, fmt.Sprint(i), "a", body)) })
			synctest.Wait()
			if i == 1 {
				is.Equal(f.peak(), 1) // the suspect keeps the other one waiting
				time.Sleep(2 * time.Second)
			}
		}
		group.Wait()
		is.Equal(f.peak(), 2) // it was cleared
	})
}

func TestFindingsTravelWithReportsAndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		relay := suspecter.NewRelay()
		bad := &banyanplank.Request{Account: "a", Body: []byte("bad")}
		for i, want := range []banyanplank.Reason{"", "", banyanplank.ReasonSuspect} {
			g, _ := newGuard(fmt.Sprint(i), func(banyanplank.Finding) {})
			for _, finding := range relay.About(time.Now(), bad.Fingerprint()) {
				g.Learn(finding)
			}
			is.Equal(reasonOf(run(t.Context(), g, fmt.Sprint(i), "a", "bad")), want)
			relay.Learn(time.Now(), g.Load().Findings)
		}
		time.Sleep(time.Hour)
		is.Equal(len(relay.About(time.Now(), bad.Fingerprint())), 0)
	})
}

func TestSuspectWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, f := newGuard("one", func(banyanplank.Finding) {})
		var group conc.WaitGroup
		for i := range 161 { // one more than fit
			group.Go(func() { is.NoErr(run(t.Context(), g, fmt.Sprint(i), "a", "good")) })
		}
		synctest.Wait()
		is.Equal(f.peak(), 160)
		fingerprint := (&banyanplank.Request{Account: "a", Body: []byte("good")}).Fingerprint()
		g.Learn(banyanplank.Finding{Death: 1, Requests: []banyanplank.Fingerprint{fingerprint}})
		time.Sleep(1500 * time.Millisecond)
		f.peak()
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.peak(), 1)
		group.Wait()
	})
}

func TestBrokenAnswerIsNoDeath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var findings []banyanplank.Finding
		g, f := newGuard("one", func(finding banyanplank.Finding) { findings = append(findings, finding) })
		is.True(run(t.Context(), g, "1", "a", "bad") != nil)
		f.boot = 0 // the endpoint broke the answer off but lives on
		report, _ := f.Report(t.Context())
		g.Observe(report)
		is.Equal(len(findings), 2)
		is.Equal(findings[1].Kind, banyanplank.FindingWithdrawn)
		f.boot = 1 // the report was late
		report, _ = f.Report(t.Context())
		g.Observe(report)
		is.Equal(len(findings), 3)
		is.Equal(findings[2].Kind, banyanplank.FindingDeath)
	})
}

// ticker is an answer with a part every 20 ms, buffered like by a connection.
type ticker struct {
	fake
	began time.Time
	read  int
}

func (a *ticker) Run(context.Context, *banyanplank.Request) (answer banyanplank.Answer, err error) {
	a.began, a.read = time.Now(), 0
	return a, nil
}

func (a *ticker) Head() (head banyanplank.Head) { return head }

func (a *ticker) Close() error { return nil }

func (a *ticker) Next() (part banyanplank.Part, err error) {
	a.read++
	time.Sleep(time.Until(a.began.Add(time.Duration(a.read) * 20 * time.Millisecond)))
	return part, nil
}

// warm raises an admitter's limit to 16,000 tokens by finished work.
func warm(t *testing.T, a *admitter.Admitter) {
	is := is.New(t)
	for range 100 {
		grant, err := a.Admit(t.Context(), &banyanplank.Request{Demand: banyanplank.Demand{Prompt: 500}})
		is.NoErr(err)
		grant.Progress(1)
		grant.Release(true)
	}
	is.Equal(a.Load().Limit, 16_000)
}

// TestSlowReaderIsNoSlowEndpoint reads an answer fast, then slowly.
func TestSlowReaderIsNoSlowEndpoint(t *testing.T) {
	tests := map[string]struct {
		pause time.Duration
		want  time.Duration
	}{
		"fast": {0, 20 * time.Millisecond},
		"slow": {time.Second, 20 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				endpoint := &ticker{}
				a := admitter.New("one", 1)
				g := suspecter.NewGuard("one", a, endpoint)
				g.Observe(banyanplank.EndpointReport{Boot: "one", Capacity: 16_000})
				warm(t, a)
				request := &banyanplank.Request{Attempt: "1", Stream: true, Demand: banyanplank.Demand{Prompt: 50, Longest: 500}}
				grant, err := g.Admit(t.Context(), request)
				is.NoErr(err)
				answer, err := g.Endpoint().Run(t.Context(), request)
				is.NoErr(err)
				for i := range 200 {
					_, err := answer.Next()
					is.NoErr(err)
					if i > 50 {
						time.Sleep(test.pause)
					}
					grant.Progress(1)
				}
				is.Equal(g.Load().Limit, 16_000) // no turn to cold
				is.Equal(g.Load().Step, test.want)
			})
		})
	}
}

func TestLostEntryIsNoDeath(t *testing.T) {
	is := is.New(t)
	g, _ := newGuard("one", func(banyanplank.Finding) { t.Error("nothing died") })
	before := g.Load().Limit
	request := &banyanplank.Request{Attempt: "1", Account: "a"}
	grant, err := g.Admit(t.Context(), request)
	is.NoErr(err)
	_, err = g.Endpoint().Run(t.Context(), request)
	is.NoErr(err)
	grant.Release(false)
	is.Equal(g.Load().Limit, before)
}
