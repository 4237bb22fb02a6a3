package suspecter

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Limits on the runs whose endpoint may have died.
const (
	// pendingTimeout is how long a broken run stays pending until the state of its
	// endpoint is known. An endpoint that crashes without closing its connections is
	// listed again after some seconds.
	pendingTimeout = 15 * time.Second
	maxPendingRuns = 512
	// probeTime is the longest time from a broken run until a probe finds the endpoint
	// dead, unless something else accepts connections at its address.
	probeTime = time.Second
)

// Run is one run of a request at an endpoint.
type Run struct {
	Request  banyanplank.Fingerprint
	Endpoint banyanplank.BackendID
	Address  netip.AddrPort
	// Born is the start time of the endpoint, which identifies its incarnation.
	Born  time.Time
	Began time.Time
	// Parts lists the parts of the prompt that other requests can share.
	Parts []banyanplank.PartID
	// Answered reports whether the endpoint had begun to answer.
	Answered bool
}

// incarnation identifies one start of an endpoint; born is in Unix milliseconds.
type incarnation struct {
	id   banyanplank.BackendID
	born int64
}

func incarnationOf(id banyanplank.BackendID, born time.Time) (i incarnation) {
	return incarnation{id: id, born: born.UnixMilli()}
}

// pendingRun is a broken or stalled run whose endpoint may have died.
type pendingRun struct {
	Run
	brokenAt time.Time
	// stalled is set if the run was canceled without a sign of the endpoint.
	stalled bool
}

// dropEarlier removes the runs that broke before a time if another run broke later. A
// stalled run is no sign that the endpoint was alive in between.
func dropEarlier(runs []pendingRun, at time.Time) (rest []pendingRun) {
	if !slices.ContainsFunc(runs, func(p pendingRun) bool { return !p.stalled && !p.brokenAt.Before(at) }) {
		return runs
	}
	return slices.DeleteFunc(runs, func(p pendingRun) bool { return p.brokenAt.Before(at) })
}

// The values of [Event.Name].
const (
	EventDied      = "endpoint died"
	EventConvicted = "request convicted"
	EventAcquitted = "request acquitted"
	// EventSuspected, EventPartConvicted and EventPartCleared concern parts of prompts,
	// and EventTried the start of a trial.
	EventSuspected     = "prompt part suspected"
	EventPartConvicted = "prompt part convicted"
	EventPartCleared   = "prompt part cleared"
	EventTried         = "prompt part tried"
)

// Event describes an endpoint death, a conviction or an acquittal that a [CrashTracker]
// recorded.
type Event struct {
	Name     string
	Endpoint banyanplank.BackendID
	Requests []banyanplank.Fingerprint
	// Parts lists the parts of prompts concerned. Of a death, these are the parts of the
	// runs that had no answer yet.
	Parts []banyanplank.PartID
	// Evidence states how the event was established, such as "refuses connections".
	Evidence string
	// Age is the time since the latest death or completion that the event rests on.
	Age time.Duration
}

// CrashTrackerOption configures a [CrashTracker].
type CrashTrackerOption func(*CrashTracker)

// WithEventHandler calls notify for each [Event]. Notify runs with the lock held and must not
// call the [CrashTracker]. By default, events are dropped.
func WithEventHandler(notify func(event Event)) CrashTrackerOption {
	return func(c *CrashTracker) { c.notify = notify }
}

// WithUrgentHandler calls onUrgent when there are findings that the other entries need at
// once. OnUrgent runs with the lock held and must not block or call the [CrashTracker]. By
// default, findings wait for the next heartbeat.
func WithUrgentHandler(onUrgent func()) CrashTrackerOption {
	return func(c *CrashTracker) { c.onUrgent = onUrgent }
}

// WithSuspectHandler calls onSuspect when there are new suspect parts of prompts. OnSuspect
// runs with the lock held and must not block or call the [CrashTracker]. By default, nothing
// is done.
func WithSuspectHandler(onSuspect func()) CrashTrackerOption {
	return func(c *CrashTracker) { c.onSuspect = onSuspect }
}

// CrashTracker finds the requests that crash endpoints from what one entry observes. A
// [Guard] observes everything that runs at one endpoint; an entry observes only its own
// requests, but at all endpoints, and finds out with a delay which endpoints died. A
// broken run counts against its request once the endpoint is known to have ended, unless
// the endpoint completed a run that began after the break. Its methods are safe for
// concurrent use.
type CrashTracker struct {
	mutex    sync.Mutex
	notify   func(event Event)
	onUrgent func()
	// onSuspect is called when there are new suspect parts.
	onSuspect func()
	suspects  *Suspects
	parts     *partTracker
	trials    trials
	// hasSuspects is set while some request or part of a prompt is suspect. It lets calls
	// skip the mutex otherwise.
	hasSuspects atomic.Bool
	pending     map[incarnation][]pendingRun
	pendingRuns int
	probing     map[incarnation]bool
	// dead holds the time at which incarnations ended, leaving the time at which
	// incarnations with a planned end were last listed.
	dead      map[incarnation]time.Time
	leaving   map[incarnation]time.Time
	outgoing  []sharedFinding
	convicted []banyanplank.Fingerprint
	// completions holds when requests last completed.
	completions recency[banyanplank.Fingerprint]
}

// NewCrashTracker returns a [CrashTracker] without suspects.
func NewCrashTracker(options ...CrashTrackerOption) *CrashTracker {
	c := &CrashTracker{
		notify:      func(Event) {},
		onUrgent:    func() {},
		onSuspect:   func() {},
		suspects:    NewSuspects(),
		parts:       newPartTracker(),
		trials:      trials{heard: make(map[TrialID]time.Time)},
		pending:     make(map[incarnation][]pendingRun),
		probing:     make(map[incarnation]bool),
		dead:        make(map[incarnation]time.Time),
		leaving:     make(map[incarnation]time.Time),
		completions: newRecency[banyanplank.Fingerprint](completionGrace, maxCompletions),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// IsConvicted reports whether a request is convicted of crashing endpoints, and for how much
// longer it is refused.
func (c *CrashTracker) IsConvicted(now time.Time, request banyanplank.Fingerprint) (convicted bool, left time.Duration) {
	if !c.hasSuspects.Load() {
		return false, 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspects.Verdict(now, request) != VerdictRefused {
		return false, 0
	}
	return true, c.suspects.RetryAfter(now, request)
}

// RecordBroken records a run whose answer broke off. It reports whether the caller must probe
// the endpoint and pass the result to [CrashTracker.EndProbe] or [CrashTracker.RecordDeath].
func (c *CrashTracker) RecordBroken(now time.Time, r Run) (probe bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := incarnationOf(r.Endpoint, r.Born)
	if !c.recordEnded(now, key, pendingRun{Run: r, brokenAt: now}) {
		return false
	}
	probe = !c.probing[key]
	c.probing[key] = true
	return probe
}

// recordEnded records a run that ended without a whole answer. It reports whether the state
// of the endpoint is yet to be found out: a planned end counts against no run, and a known
// death at once.
func (c *CrashTracker) recordEnded(now time.Time, key incarnation, p pendingRun) (pending bool) {
	c.expire(now)
	if _, planned := c.leaving[key]; planned {
		return false
	}
	if diedAt, known := c.dead[key]; known {
		if p.Began.Before(diedAt) {
			c.attributeDeath(now, key, diedAt, []pendingRun{p}, "ended")
		}
		return false
	}
	if c.pendingRuns >= maxPendingRuns {
		return false
	}
	c.addPending(key, p)
	return true
}

// RecordStalled records a run that was canceled because its endpoint stopped responding. It
// counts against its request only if the endpoint is found to have ended.
func (c *CrashTracker) RecordStalled(now time.Time, r Run) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.recordEnded(now, incarnationOf(r.Endpoint, r.Born), pendingRun{Run: r, brokenAt: now, stalled: true})
}

// addPending adds a run to those that wait until the state of their endpoint is known.
func (c *CrashTracker) addPending(key incarnation, p pendingRun) {
	before := len(c.pending[key])
	c.setPending(key, append(c.pending[key], p), before)
}

// EndProbe records that a probe ended without showing that the endpoint is dead. It does
// not count as a sign of life, because something else may accept connections at the
// endpoint's address.
func (c *CrashTracker) EndProbe(id banyanplank.BackendID, born time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.probing, incarnationOf(id, born))
}

// RecordDeath records that the endpoint's address refuses connections.
func (c *CrashTracker) RecordDeath(now time.Time, id banyanplank.BackendID, born time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	key := incarnationOf(id, born)
	delete(c.probing, key)
	// The endpoint died with its latest broken runs: earlier ones would have been followed
	// by a probe that found it dead. A group of ranks that loses one cuts the calls at all
	// others, so such runs are common.
	before := len(c.pending[key])
	c.setPending(key, dropEarlier(c.pending[key], now.Add(-probeTime)), before)
	c.markEnded(now, key, "refuses connections")
}

// UpdateBackends updates the tracked incarnations from the listed endpoints. An
// incarnation with pending runs has ended unplanned if its endpoint, or another one at
// its address, is listed with a later start.
func (c *CrashTracker) UpdateBackends(now time.Time, backends []banyanplank.Backend) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.expire(now)
	for _, b := range backends {
		if b.Leaving {
			c.markLeaving(now, incarnationOf(b.ID, b.Born))
		}
		for key, runs := range c.pending {
			if (key.id == b.ID || runs[0].Address == b.Address) && b.Born.UnixMilli() > key.born {
				c.markEnded(now, key, "replaced by a later incarnation")
			}
		}
	}
}

// RecordLeaving records that an endpoint announced its planned end.
func (c *CrashTracker) RecordLeaving(now time.Time, id banyanplank.BackendID, born time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.markLeaving(now, incarnationOf(id, born))
}

// markLeaving marks the end of an incarnation as planned, so that it counts against no
// request.
func (c *CrashTracker) markLeaving(now time.Time, key incarnation) {
	c.leaving[key] = now
	c.setPending(key, nil, len(c.pending[key]))
}

// RecordCompleted records a run that completed, and drops the pending runs that it explains.
// A request that crashes endpoints never completes, so other broken runs of the same
// request were not caused by it. The endpoint was alive after the run began, so a run
// that had broken there before was not ended by the endpoint's death.
func (c *CrashTracker) RecordCompleted(now time.Time, r Run) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.completions.record(now, r.Request)
	if !c.hasSuspects.Load() && c.pendingRuns == 0 {
		return
	}
	runIncarnation := incarnationOf(r.Endpoint, r.Born)
	for key, runs := range c.pending {
		before := len(runs)
		c.setPending(key, slices.DeleteFunc(runs, func(p pendingRun) bool {
			return p.Request == r.Request || key == runIncarnation && p.brokenAt.Before(r.Began)
		}), before)
	}
	c.clearCompleted(now, r)
}

// Counts returns the number of suspect requests, including the convicted, and the number
// of convicted requests.
func (c *CrashTracker) Counts() (suspected, convicted int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, suspects := range c.suspects.accounts {
		suspected += len(suspects)
	}
	return suspected, len(c.convicted)
}

// markEnded records that an incarnation ended at the time of its first broken run, or now
// if none is pending.
func (c *CrashTracker) markEnded(now time.Time, key incarnation, how string) {
	if _, known := c.dead[key]; known {
		return
	}
	runs, diedAt := c.pending[key], now
	for _, p := range runs {
		if p.brokenAt.Before(diedAt) {
			diedAt = p.brokenAt
		}
	}
	c.dead[key] = diedAt
	c.setPending(key, nil, len(runs))
	// Runs that began after the end never reached this incarnation.
	runs = slices.DeleteFunc(runs, func(p pendingRun) bool { return !p.Began.Before(diedAt) })
	if len(runs) > 0 {
		c.attributeDeath(now, key, diedAt, runs, how)
	}
}

// attributeDeath counts the death of an incarnation against the requests of runs, except
// those that completed shortly before.
func (c *CrashTracker) attributeDeath(now time.Time, key incarnation, diedAt time.Time, runs []pendingRun, how string) {
	finding := banyanplank.Finding{
		Kind:  banyanplank.FindingDeath,
		Death: banyanplank.NewDeathID(string(key.id), time.UnixMilli(key.born).UTC().Format(time.RFC3339Nano)),
		Age:   now.Sub(diedAt),
	}
	newParts := c.addPartDeaths(now, finding, runs)
	for _, p := range runs {
		if completedAt, known := c.completions.last(p.Request); known && isWithinGrace(completedAt, diedAt) {
			continue
		}
		finding.Requests = append(finding.Requests, p.Request)
		finding.RunTimes = append(finding.RunTimes, max(0, diedAt.Sub(p.Began)))
	}
	newRequests := len(finding.Requests) > 0 && c.suspects.Add(now, finding)
	if !newRequests && !newParts {
		return
	}
	c.notify(Event{Name: EventDied, Endpoint: key.id, Requests: finding.Requests, Parts: unansweredParts(runs), Evidence: how, Age: finding.Age})
	if newRequests {
		c.share(now, finding)
	}
	c.onUrgent()
	c.updateConvictions(now, "own findings", finding.Age)
}

// unansweredParts returns the distinct parts of the runs that had no answer yet.
func unansweredParts(runs []pendingRun) (parts []banyanplank.PartID) {
	for _, p := range runs {
		if !p.Answered {
			parts = append(parts, p.Parts...)
		}
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// updateConvictions recomputes the convicted requests and notifies of those that are new.
func (c *CrashTracker) updateConvictions(now time.Time, how string, age time.Duration) {
	convicted := c.suspects.Convicted(now)
	var added []banyanplank.Fingerprint
	for _, request := range convicted {
		if !slices.Contains(c.convicted, request) {
			added = append(added, request)
		}
	}
	if len(added) > 0 {
		c.notify(Event{Name: EventConvicted, Requests: added, Evidence: how, Age: age})
	}
	c.convicted = convicted
	c.hasSuspects.Store(true)
}

// setPending replaces the pending runs of an incarnation, which were previous in number.
func (c *CrashTracker) setPending(key incarnation, runs []pendingRun, previous int) {
	c.pendingRuns += len(runs) - previous
	if len(runs) == 0 {
		delete(c.pending, key)
		return
	}
	c.pending[key] = runs
}

// expire drops the pending runs, incarnations, findings and convictions that are too old
// to count.
func (c *CrashTracker) expire(now time.Time) {
	for key, runs := range c.pending {
		before := len(runs)
		if now.Sub(runs[before-1].brokenAt) > pendingTimeout {
			c.setPending(key, nil, before)
		}
	}
	isOld := func(_ incarnation, at time.Time) bool { return now.Sub(at) > 2*pendingTimeout }
	maps.DeleteFunc(c.dead, isOld)
	maps.DeleteFunc(c.leaving, isOld)
	c.outgoing = slices.DeleteFunc(c.outgoing, func(f sharedFinding) bool { return now.Sub(f.sharedAt) > shareDuration })
	if !c.hasSuspects.Load() {
		return
	}
	c.suspects.Expire(now)
	c.parts.expire(now)
	if len(c.suspects.accounts) == 0 && len(c.outgoing) == 0 && c.parts.isEmpty() {
		c.convicted = nil
		c.hasSuspects.Store(false)
		return
	}
	c.convicted = slices.DeleteFunc(c.convicted, func(r banyanplank.Fingerprint) bool { return c.suspects.Verdict(now, r) != VerdictRefused })
}
