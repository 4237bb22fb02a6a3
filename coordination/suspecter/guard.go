package suspecter

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// Admitter is an admitter that can also let a request run alone.
type Admitter interface {
	banyanplank.Admitter
	// AdmitAlone waits until the endpoint runs nothing and holds it whole.
	AdmitAlone(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error)
	// Fail tells that the endpoint was lost or not reached.
	Fail()
}

// Guard stands before an admitter and an endpoint. It observes which requests
// run when the endpoint dies, lets suspects run only alone, and refuses those
// that crash endpoints. It implements [banyanplank.Admitter].
type Guard struct {
	Admitter
	daemon   banyanplank.DaemonID
	endpoint banyanplank.Endpoint
	share    func(banyanplank.Finding)

	mu       sync.Mutex
	suspects *Suspects
	boot     string
	// running lists the grants, the latest started first.
	running []*guarded
	// recent holds the own findings that load reports carry, told at told.
	recent []banyanplank.Finding
	told   time.Time
	// doubt is a death that no report has confirmed yet, or that one has
	// denied.
	doubt  *banyanplank.Finding
	denied bool
}

// Option configures a [Guard].
type Option func(*Guard)

// WithShare hands each own finding to share, which passes it to the other
// daemons. Share must not wait. The default keeps findings to itself.
func WithShare(share func(banyanplank.Finding)) Option {
	return func(g *Guard) { g.share = share }
}

// NewGuard returns a guard for the endpoint beside the named daemon.
func NewGuard(daemon banyanplank.DaemonID, admitter Admitter, endpoint banyanplank.Endpoint, options ...Option) *Guard {
	g := &Guard{
		Admitter: admitter,
		daemon:   daemon,
		endpoint: endpoint,
		share:    func(banyanplank.Finding) {},
		suspects: NewSuspects(),
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// The findings that load reports carry.
const (
	// recentTime is how long they do after the newest.
	recentTime = 10 * time.Second
	// mostRecent bounds them.
	mostRecent = 4
)

// Load implements [banyanplank.Admitter]. Its report carries the newest
// findings.
func (g *Guard) Load() (report banyanplank.LoadReport) {
	report = g.Admitter.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.told) < recentTime {
		report.Findings = slices.Clone(g.recent)
	}
	return report
}

// Learn takes in a finding of another daemon.
func (g *Guard) Learn(finding banyanplank.Finding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Observe(time.Now(), finding)
}

// Admit implements [banyanplank.Admitter]. A request that becomes a suspect
// while it waits is admitted anew, alone.
func (g *Guard) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	for _, finding := range request.Findings {
		g.Learn(finding)
	}
	fingerprint := request.Fingerprint()
	verdict, retry := g.judge(fingerprint)
	for {
		if verdict == VerdictRefused {
			return nil, refused(retry)
		}
		grant, err = g.admit(ctx, request, verdict)
		if err != nil {
			return nil, err
		}
		admitted := verdict
		if verdict, retry = g.judge(fingerprint); verdict <= admitted {
			return g.start(grant, request.Attempt, fingerprint), nil
		}
		grant.Release(true)
	}
}

// admit asks the admitter as the verdict demands.
func (g *Guard) admit(ctx context.Context, request *banyanplank.Request, verdict Verdict) (grant banyanplank.Grant, err error) {
	if verdict == VerdictAlone {
		return g.AdmitAlone(ctx, request)
	}
	return g.Admitter.Admit(ctx, request)
}

// judge returns the verdict on a request and how long it stays.
func (g *Guard) judge(fingerprint banyanplank.Fingerprint) (verdict Verdict, retry time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.suspects.Judge(now, fingerprint), g.suspects.Retry(now, fingerprint)
}

func refused(retry time.Duration) error {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonSuspect,
		RetryAfter: retry,
		Detail:     "endpoints failed while they ran this request",
	}
}

// start counts in a request that runs from now on.
func (g *Guard) start(grant banyanplank.Grant, attempt banyanplank.AttemptID, fingerprint banyanplank.Fingerprint) *guarded {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &guarded{Grant: grant, guard: g, attempt: attempt, fingerprint: fingerprint}
	g.running = slices.Insert(g.running, 0, r)
	return r
}

// staller is a grant that can be told of a slow reader.
type staller interface {
	// Stall tells that the answer was not read for a while.
	Stall()
}

// guarded is the grant of a request that the guard watches.
type guarded struct {
	banyanplank.Grant
	guard       *Guard
	attempt     banyanplank.AttemptID
	fingerprint banyanplank.Fingerprint
	began       bool
	failed      bool
	released    bool
}

// Progress implements [banyanplank.Grant]. It does nothing, because the guard
// sees the parts as they come from the endpoint.
func (r *guarded) Progress(int) {}

// received counts a part as it comes from the endpoint.
func (r *guarded) received() {
	if r != nil {
		r.Grant.Progress(1)
	}
}

// stall tells the grant of a slow reader.
func (r *guarded) stall() {
	if r == nil {
		return
	}
	if s, ok := r.Grant.(staller); ok {
		s.Stall()
	}
}

// Release implements [banyanplank.Grant]. Whether the endpoint survived is
// what the guard saw of it: an answer that broke off on its way to the entry
// tells nothing of the endpoint.
func (r *guarded) Release(healthy bool) {
	failed := r.guard.finish(r, healthy)
	r.Grant.Release(!failed)
}

// finish counts out a request, and clears it when it ended well.
func (g *Guard) finish(r *guarded, healthy bool) (failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.released {
		return r.failed
	}
	r.released = true
	g.running = slices.DeleteFunc(g.running, func(other *guarded) bool { return other == r })
	now := time.Now()
	endedWell := healthy && r.began && !r.failed
	if endedWell && g.suspects.Judge(now, r.fingerprint) == VerdictAlone {
		g.tell(now, banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{r.fingerprint}})
	}
	return r.failed
}

// tell takes in an own finding and shares it.
func (g *Guard) tell(now time.Time, finding banyanplank.Finding) {
	if !g.suspects.Observe(now, finding) {
		return
	}
	if now.Sub(g.told) >= recentTime {
		g.recent = nil
	}
	g.told = now
	g.recent = append(g.recent, finding)
	g.recent = slices.Delete(g.recent, 0, max(0, len(g.recent)-mostRecent))
	g.share(finding)
}

// begin marks an attempt as begun at the endpoint and returns its grant, or
// nil when it has none.
func (g *Guard) begin(attempt banyanplank.AttemptID) *guarded {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.running {
		if r.attempt == attempt {
			r.began = true
			return r
		}
	}
	return nil
}

// fail takes in that the endpoint broke off an attempt. What runs beside it is
// suspect at once, until a report shows that the endpoint lives on.
func (g *Guard) fail(attempt banyanplank.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.running {
		if r.attempt == attempt {
			r.failed = true
		}
	}
	if g.doubt != nil && !g.denied {
		return
	}
	death := banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: banyanplank.NewDeathID(string(g.daemon), g.boot)}
	for _, r := range g.running {
		if r.began {
			death.Requests = append(death.Requests, r.fingerprint)
		}
	}
	g.doubt, g.denied = &death, false
	g.tell(time.Now(), death)
}

// Observe implements [banyanplank.Admitter].
func (g *Guard) Observe(report banyanplank.EndpointReport) {
	g.confirm(report.Boot)
	g.Admitter.Observe(report)
}

// confirm settles a doubt. The same boot means that the endpoint lives on;
// because reports lag, a later change of boot confirms the death after all.
func (g *Guard) confirm(boot string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	restarted := g.boot != boot
	g.boot = boot
	if g.doubt == nil {
		return
	}
	switch {
	case restarted:
		g.tell(time.Now(), *g.doubt)
		g.doubt = nil
	case !g.denied:
		g.denied = true
		g.tell(time.Now(), banyanplank.Finding{Kind: banyanplank.FindingWithdrawn, Death: g.doubt.Death, Requests: g.doubt.Requests})
	}
}

// Endpoint returns the endpoint, watched by the guard.
func (g *Guard) Endpoint() banyanplank.Endpoint {
	return &watched{Endpoint: g.endpoint, guard: g}
}

// watched is an endpoint whose failures the guard sees.
type watched struct {
	banyanplank.Endpoint
	guard *Guard
}

// Run implements [banyanplank.Endpoint].
func (w *watched) Run(ctx context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	grant := w.guard.begin(request.Attempt)
	answer, err = w.Endpoint.Run(ctx, request)
	if err != nil {
		w.observe(ctx, request.Attempt, err)
		return nil, err
	}
	return &watchedAnswer{Answer: answer, ctx: ctx, watched: w, attempt: request.Attempt, grant: grant}, nil
}

// observe takes in an error of the endpoint, unless it comes from the caller's
// giving up.
func (w *watched) observe(ctx context.Context, attempt banyanplank.AttemptID, err error) {
	if ctx.Err() != nil {
		return
	}
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != banyanplank.NotRun {
		w.guard.fail(attempt)
		return
	}
	if refusal.Reason == banyanplank.ReasonEndpoint {
		w.guard.Fail() // it was not reached, so it may be about to boot
	}
}

// stallTime is how long the reader of an answer may take with a part before it
// counts as slow.
const stallTime = 5 * time.Millisecond

// watchedAnswer is an answer whose pace and breaking off the guard sees.
type watchedAnswer struct {
	banyanplank.Answer
	ctx     context.Context
	watched *watched
	attempt banyanplank.AttemptID
	grant   *guarded
	// passed is when the latest part was handed on.
	passed time.Time
}

// Next implements [banyanplank.Answer].
func (a *watchedAnswer) Next() (part banyanplank.Part, err error) {
	if !a.passed.IsZero() && time.Since(a.passed) > stallTime {
		a.grant.stall()
	}
	part, err = a.Answer.Next()
	a.passed = time.Now()
	switch {
	case err == nil:
		a.grant.received()
	case !errors.Is(err, io.EOF):
		a.watched.observe(a.ctx, a.attempt, err)
	}
	return part, err
}
