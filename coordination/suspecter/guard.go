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

// Admitter is a [banyanplank.Admitter] that can also admit a request exclusively.
type Admitter interface {
	banyanplank.Admitter
	// AdmitAlone waits until the endpoint is idle and reserves its whole capacity.
	AdmitAlone(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error)
	// ResetToCold reports that the endpoint was lost or not reached.
	ResetToCold()
}

// Guard wraps the admitter and the endpoint of one daemon. It observes which
// requests run when the endpoint dies, admits suspects only alone, and refuses
// requests that crash endpoints. It implements [banyanplank.Admitter] and is
// safe for concurrent use.
type Guard struct {
	Admitter
	daemon   banyanplank.DaemonID
	endpoint banyanplank.Endpoint
	share    func(banyanplank.Finding)

	mu       sync.Mutex
	suspects *Suspects
	boot     string
	// running lists the grants, the latest started first.
	running []*trackedGrant
	// recentFindings holds this daemon's findings that load reports carry, the
	// newest of which was published at sharedAt.
	recentFindings []banyanplank.Finding
	sharedAt       time.Time
	// presumedDeath is a death that no report has confirmed. It is withdrawn once a
	// report shows the same boot.
	presumedDeath *banyanplank.Finding
	withdrawn     bool
}

// Option configures a [Guard].
type Option func(*Guard)

// WithShare calls share with each finding of this daemon to pass it to the other
// daemons. Share runs with the lock held and must not block. By default, findings
// are passed on in load reports only.
func WithShare(share func(banyanplank.Finding)) Option {
	return func(g *Guard) { g.share = share }
}

// NewGuard returns a guard for the endpoint of the named daemon.
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

// Limits on the findings that load reports carry.
const (
	// reportDuration is how long findings are reported after the newest.
	reportDuration    = 10 * time.Second
	maxRecentFindings = 4
)

// Load implements [banyanplank.Admitter]. The report includes the newest
// findings.
func (g *Guard) Load() (report banyanplank.LoadReport) {
	report = g.Admitter.Load()
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.sharedAt) < reportDuration {
		report.Findings = slices.Clone(g.recentFindings)
	}
	return report
}

// AddFinding adds a finding of another daemon.
func (g *Guard) AddFinding(finding banyanplank.Finding) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Add(time.Now(), finding)
}

// Admit implements [banyanplank.Admitter]. A request that becomes a suspect
// while it is queued releases its grant and is admitted again, alone.
func (g *Guard) Admit(ctx context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	for _, finding := range request.Findings {
		g.AddFinding(finding)
	}
	fingerprint := request.Fingerprint()
	verdict, retryAfter := g.verdict(fingerprint)
	for {
		if verdict == VerdictRefused {
			return nil, suspectRefusal(retryAfter)
		}
		grant, err = g.admit(ctx, request, verdict)
		if err != nil {
			return nil, err
		}
		admitted := verdict
		if verdict, retryAfter = g.verdict(fingerprint); verdict <= admitted {
			return g.track(grant, request.Attempt, fingerprint), nil
		}
		grant.Release(true)
	}
}

// admit admits the request alone or along with others, depending on the verdict.
func (g *Guard) admit(ctx context.Context, request *banyanplank.Request, verdict Verdict) (grant banyanplank.Grant, err error) {
	if verdict == VerdictAlone {
		return g.AdmitAlone(ctx, request)
	}
	return g.Admitter.Admit(ctx, request)
}

// verdict returns the current verdict on a request and for how much longer it holds.
func (g *Guard) verdict(fingerprint banyanplank.Fingerprint) (verdict Verdict, retryAfter time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.suspects.Verdict(now, fingerprint), g.suspects.RetryAfter(now, fingerprint)
}

func suspectRefusal(retryAfter time.Duration) error {
	return &banyanplank.Refusal{
		Outcome:    banyanplank.NotRun,
		Reason:     banyanplank.ReasonSuspect,
		RetryAfter: retryAfter,
		Detail:     "endpoints failed while they ran this request",
	}
}

// track adds a request to those that run.
func (g *Guard) track(grant banyanplank.Grant, attempt banyanplank.AttemptID, fingerprint banyanplank.Fingerprint) *trackedGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &trackedGrant{Grant: grant, guard: g, attempt: attempt, fingerprint: fingerprint}
	g.running = slices.Insert(g.running, 0, t)
	return t
}

// staller is a grant that accepts reports of a slow reader.
type staller interface {
	// MarkStalled reports that the answer was not read for a while.
	MarkStalled()
}

// trackedGrant is the grant of a request that runs under a guard.
type trackedGrant struct {
	banyanplank.Grant
	guard       *Guard
	attempt     banyanplank.AttemptID
	fingerprint banyanplank.Fingerprint
	began       bool
	failed      bool
	released    bool
}

// Progress implements [banyanplank.Grant]. It does nothing, because the guard
// counts the parts as they arrive from the endpoint.
func (t *trackedGrant) Progress(int) {}

// recordPart counts a part that arrived from the endpoint. The grant may be nil.
func (t *trackedGrant) recordPart() {
	if t != nil {
		t.Grant.Progress(1)
	}
}

// reportStall reports a slow reader to the wrapped grant. The grant may be nil.
func (t *trackedGrant) reportStall() {
	if t == nil {
		return
	}
	if s, ok := t.Grant.(staller); ok {
		s.MarkStalled()
	}
}

// Release implements [banyanplank.Grant]. It reports the endpoint as healthy
// unless the guard recorded a failure: an answer that broke off between the agent
// and the entry says nothing about the endpoint.
func (t *trackedGrant) Release(healthy bool) {
	failed := t.guard.untrack(t, healthy)
	t.Grant.Release(!failed)
}

// untrack removes a request from those that run, and clears a suspect that
// completed. It reports whether the endpoint failed during the run.
func (g *Guard) untrack(t *trackedGrant, healthy bool) (failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.released {
		return t.failed
	}
	t.released = true
	g.running = slices.DeleteFunc(g.running, func(other *trackedGrant) bool { return other == t })
	now := time.Now()
	completed := healthy && t.began && !t.failed
	if completed && g.suspects.Verdict(now, t.fingerprint) == VerdictAlone {
		g.publish(now, banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{t.fingerprint}})
	}
	return t.failed
}

// publish adds a finding of this daemon and, if it is new, shares it. The caller
// holds the lock.
func (g *Guard) publish(now time.Time, finding banyanplank.Finding) {
	if !g.suspects.Add(now, finding) {
		return
	}
	if now.Sub(g.sharedAt) >= reportDuration {
		g.recentFindings = nil
	}
	g.sharedAt = now
	g.recentFindings = append(g.recentFindings, finding)
	g.recentFindings = slices.Delete(g.recentFindings, 0, max(0, len(g.recentFindings)-maxRecentFindings))
	g.share(finding)
}

// markBegun marks an attempt as begun at the endpoint and returns its grant, or
// nil if it has none.
func (g *Guard) markBegun(attempt banyanplank.AttemptID) *trackedGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.running {
		if t.attempt == attempt {
			t.began = true
			return t
		}
	}
	return nil
}

// recordFailure records that the endpoint broke off an attempt. All requests that run
// there become suspect immediately, until a report shows that the endpoint is still
// alive.
func (g *Guard) recordFailure(attempt banyanplank.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, t := range g.running {
		if t.attempt == attempt {
			t.failed = true
		}
	}
	if g.presumedDeath != nil && !g.withdrawn {
		return
	}
	death := banyanplank.Finding{Kind: banyanplank.FindingDeath, Death: banyanplank.NewDeathID(string(g.daemon), g.boot)}
	for _, t := range g.running {
		if t.began {
			death.Requests = append(death.Requests, t.fingerprint)
		}
	}
	g.presumedDeath, g.withdrawn = &death, false
	g.publish(time.Now(), death)
}

// Observe implements [banyanplank.Admitter].
func (g *Guard) Observe(report banyanplank.EndpointReport) {
	g.resolvePresumedDeath(report.Boot)
	g.Admitter.Observe(report)
}

// resolvePresumedDeath confirms or withdraws a presumed death. The same boot means that
// the endpoint is still alive. Because reports lag, a later change of boot confirms the
// death even after it was withdrawn.
func (g *Guard) resolvePresumedDeath(boot string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	restarted := g.boot != boot
	g.boot = boot
	if g.presumedDeath == nil {
		return
	}
	switch {
	case restarted:
		g.publish(time.Now(), *g.presumedDeath)
		g.presumedDeath = nil
	case !g.withdrawn:
		g.withdrawn = true
		g.publish(time.Now(), banyanplank.Finding{Kind: banyanplank.FindingWithdrawn, Death: g.presumedDeath.Death, Requests: g.presumedDeath.Requests})
	}
}

// Endpoint returns the endpoint, wrapped so that the guard observes its runs.
func (g *Guard) Endpoint() banyanplank.Endpoint {
	return &observedEndpoint{Endpoint: g.endpoint, guard: g}
}

// observedEndpoint is an endpoint whose failures are reported to the guard.
type observedEndpoint struct {
	banyanplank.Endpoint
	guard *Guard
}

// Run implements [banyanplank.Endpoint].
func (o *observedEndpoint) Run(ctx context.Context, request *banyanplank.Request) (answer banyanplank.Answer, err error) {
	grant := o.guard.markBegun(request.Attempt)
	answer, err = o.Endpoint.Run(ctx, request)
	if err != nil {
		o.handleError(ctx, request.Attempt, err)
		return nil, err
	}
	return &observedAnswer{Answer: answer, ctx: ctx, endpoint: o, attempt: request.Attempt, grant: grant}, nil
}

// handleError records an error of the endpoint, unless the caller canceled the request.
func (o *observedEndpoint) handleError(ctx context.Context, attempt banyanplank.AttemptID, err error) {
	if ctx.Err() != nil {
		return
	}
	var refusal *banyanplank.Refusal
	if !errors.As(err, &refusal) || refusal.Outcome != banyanplank.NotRun {
		o.guard.recordFailure(attempt)
		return
	}
	if refusal.Reason == banyanplank.ReasonEndpoint {
		o.guard.ResetToCold() // not reached: the endpoint may be about to boot
	}
}

// slowReadThreshold is how long the reader of an answer may take to request the next part
// before it counts as slow.
const slowReadThreshold = 5 * time.Millisecond

// observedAnswer is an answer whose progress and errors are reported to the guard.
type observedAnswer struct {
	banyanplank.Answer
	ctx      context.Context
	endpoint *observedEndpoint
	attempt  banyanplank.AttemptID
	grant    *trackedGrant
	// returnedAt is when Next last returned.
	returnedAt time.Time
}

// Next implements [banyanplank.Answer].
func (a *observedAnswer) Next() (part banyanplank.Part, err error) {
	if !a.returnedAt.IsZero() && time.Since(a.returnedAt) > slowReadThreshold {
		a.grant.reportStall()
	}
	part, err = a.Answer.Next()
	a.returnedAt = time.Now()
	switch {
	case err == nil:
		a.grant.recordPart()
	case !errors.Is(err, io.EOF):
		a.endpoint.handleError(a.ctx, a.attempt, err)
	}
	return part, err
}
