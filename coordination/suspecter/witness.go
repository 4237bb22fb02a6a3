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

// The bounds of what a witness remembers and tells.
const (
	// pendingTime is how long a broken run waits for word on its endpoint. One that
	// crashes without closing its connections is back after some seconds.
	pendingTime = 15 * time.Second
	// mostPending bounds the broken runs that wait.
	mostPending = 512
	// tellTime is how long a finding is repeated to the other entries. It outlasts
	// several lost heartbeats to another zone.
	tellTime = 5 * time.Second
	// mostEnded bounds the requests that are remembered to have ended well lately.
	mostEnded = 8192
	// mostTold bounds the requests in what is told at a time, to fit in a heartbeat.
	mostTold = 256
)

// Run is one run of a request that broke off without a whole answer.
type Run struct {
	Request  banyanplank.Fingerprint
	Endpoint banyanplank.BackendID
	Address  netip.AddrPort
	// Born tells the incarnation of the endpoint.
	Born  time.Time
	Began time.Time
}

// incarnation is one life of an endpoint.
type incarnation struct {
	id   banyanplank.BackendID
	born int64
}

// incarnationOf returns the incarnation that an endpoint is listed in.
func incarnationOf(id banyanplank.BackendID, born time.Time) (i incarnation) {
	return incarnation{id: id, born: born.UnixMilli()}
}

// broken is a run whose endpoint may have died.
type broken struct {
	Run
	at time.Time
}

// told is an own finding that the other entries are told of, made at a time.
type told struct {
	finding banyanplank.Finding
	at      time.Time
}

// The events of notes.
const (
	EventDied      = "endpoint died"
	EventConvicted = "request convicted"
	EventAcquitted = "request acquitted"
)

// Note is a change of what a witness believes.
type Note struct {
	Event    string
	Endpoint banyanplank.BackendID
	Requests []banyanplank.Fingerprint
	// How tells what the belief comes from, and Age how old that is.
	How string
	Age time.Duration
}

// WitnessOption configures a [Witness].
type WitnessOption func(*Witness)

// WithNotes hands each change of belief to note, which must not call the witness.
// The default drops them.
func WithNotes(note func(n Note)) WitnessOption {
	return func(w *Witness) { w.note = note }
}

// Witness is an entry's memory of requests that crash endpoints. Other than a [Guard],
// which stands beside one endpoint and sees all that runs there, an entry sees its own
// requests at all endpoints, and learns late which of these have died. A run that broke
// counts against its request once the endpoint is known to have ended, and not if it
// has answered since. Its methods may be called from many goroutines.
type Witness struct {
	mutex    sync.Mutex
	note     func(n Note)
	suspects *Suspects
	// any tells that some request is suspect, so that calls need not wait for
	// each other while none is.
	any     atomic.Bool
	pending map[incarnation][]broken
	waiting int
	probing map[incarnation]bool
	// dead tells when incarnations ended, and leaving when those that end as planned
	// were last listed.
	dead    map[incarnation]time.Time
	leaving map[incarnation]time.Time
	told    []told
	guilty  []banyanplank.Fingerprint
	// recent tells when requests last ran to their end, in the current span of
	// soundTime, which began at since, and in the one before.
	recent [2]map[banyanplank.Fingerprint]time.Time
	since  time.Time
}

// NewWitness returns a witness that knows nothing.
func NewWitness(options ...WitnessOption) *Witness {
	w := &Witness{
		note:     func(Note) {},
		suspects: NewSuspects(),
		pending:  make(map[incarnation][]broken),
		probing:  make(map[incarnation]bool),
		dead:     make(map[incarnation]time.Time),
		leaving:  make(map[incarnation]time.Time),
		recent:   [2]map[banyanplank.Fingerprint]time.Time{{}, {}},
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Judge reports whether a request is found to crash endpoints, and for how long it
// stays refused.
func (w *Witness) Judge(now time.Time, request banyanplank.Fingerprint) (guilty bool, left time.Duration) {
	if !w.any.Load() {
		return false, 0
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.suspects.Judge(now, request) != VerdictRefused {
		return false, 0
	}
	return true, w.suspects.Retry(now, request)
}

// Broke takes in a run that broke off. It reports whether to find out if the endpoint
// still lives, which Probed or Died then tells.
func (w *Witness) Broke(now time.Time, r Run) (probe bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forget(now)
	key := incarnationOf(r.Endpoint, r.Born)
	if _, planned := w.leaving[key]; planned {
		return false
	}
	if died, known := w.dead[key]; known {
		if r.Began.Before(died) {
			w.accuse(now, key, died, []broken{{Run: r, at: now}}, "ended")
		}
		return false
	}
	if w.waiting >= mostPending {
		return false
	}
	w.wait(now, key, r)
	probe = !w.probing[key]
	w.probing[key] = true
	return probe
}

// Stalled takes in a run that was given up because its endpoint was silent. Only a
// restart of the endpoint can count it against its request.
func (w *Witness) Stalled(now time.Time, r Run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forget(now)
	if w.waiting < mostPending {
		w.wait(now, incarnationOf(r.Endpoint, r.Born), r)
	}
}

// wait has a run wait for word on its endpoint.
func (w *Witness) wait(now time.Time, key incarnation, r Run) {
	w.keep(key, append(w.pending[key], broken{Run: r, at: now}), len(w.pending[key]))
}

// Probed takes in that a look whether an endpoint lives has ended without showing that
// it is dead. Something else may accept connections at its address, so this alone does
// not show that it lives.
func (w *Witness) Probed(id banyanplank.BackendID, born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.probing, incarnationOf(id, born))
}

// Died takes in that nothing answers at an endpoint's address any more.
func (w *Witness) Died(now time.Time, id banyanplank.BackendID, born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	key := incarnationOf(id, born)
	delete(w.probing, key)
	w.end(now, key, "refuses connections")
}

// Listed takes in the endpoints as they are now listed. One that has another start than
// before, or whose address another one with a later start has, ended without notice.
func (w *Witness) Listed(now time.Time, backends []banyanplank.Backend) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forget(now)
	for _, b := range backends {
		if b.Leaving {
			w.leave(now, incarnationOf(b.ID, b.Born))
		}
		for key, runs := range w.pending {
			if (key.id == b.ID || runs[0].Address == b.Address) && b.Born.UnixMilli() > key.born {
				w.end(now, key, "another one started in its place")
			}
		}
	}
}

// Leaves takes in that an endpoint said that it leaves.
func (w *Witness) Leaves(now time.Time, id banyanplank.BackendID, born time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.leave(now, incarnationOf(id, born))
}

// leave notes that an incarnation will end as planned, which counts against no request.
func (w *Witness) leave(now time.Time, key incarnation) {
	w.leaving[key] = now
	w.keep(key, nil, len(w.pending[key]))
}

// Completed takes in a run that went to its end. A request that crashes endpoints never
// does, so what broke of the same request was not its fault; and its endpoint was alive
// after it began, so what had broken there before was not the endpoint's end.
func (w *Witness) Completed(now time.Time, r Run) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.remember(now, r.Request)
	if !w.any.Load() && w.waiting == 0 {
		return
	}
	place := incarnationOf(r.Endpoint, r.Born)
	for key, runs := range w.pending {
		before := len(runs)
		w.keep(key, slices.DeleteFunc(runs, func(b broken) bool {
			return b.Request == r.Request || key == place && b.at.Before(r.Began)
		}), before)
	}
	w.exonerate(now, r)
}

// remember notes that a request ran to its end.
func (w *Witness) remember(now time.Time, request banyanplank.Fingerprint) {
	if now.Sub(w.since) > soundTime {
		w.recent[1] = w.recent[0]
		w.recent[0], w.since = make(map[banyanplank.Fingerprint]time.Time), now
	}
	if len(w.recent[0]) < mostEnded {
		w.recent[0][request] = now
	}
}

// endedWell returns when a request last ran to its end, if that was lately.
func (w *Witness) endedWell(request banyanplank.Fingerprint) (at time.Time, known bool) {
	if at, known = w.recent[0][request]; !known {
		at, known = w.recent[1][request]
	}
	return at, known
}

// exonerate tells the other entries that a suspect ran to its end. One that is convicted
// has to have begun after the last death that is laid to it.
func (w *Witness) exonerate(now time.Time, r Run) {
	finding := banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{r.Request}}
	if w.suspects.Judge(now, r.Request) == VerdictRefused {
		last, known := w.suspects.LastDeath(r.Request)
		if !known || r.Began.Before(last) {
			return
		}
		finding.Kind = banyanplank.FindingAcquitted
		w.note(Note{Event: EventAcquitted, Endpoint: r.Endpoint, Requests: finding.Requests, How: "ran to its end", Age: now.Sub(last)})
	}
	if w.suspects.Observe(now, finding) {
		w.tell(now, finding)
		w.judged(now, "ran to its end", 0)
	}
}

// Learn takes in what another entry tells.
func (w *Witness) Learn(now time.Time, findings []banyanplank.Finding) {
	if len(findings) == 0 {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	news, age := false, time.Duration(0)
	for _, finding := range findings {
		if w.suspects.Observe(now, finding) {
			news, age = true, max(age, finding.Age)
			w.contradict(now, finding)
		}
	}
	if news {
		w.judged(now, "told by another entry", age)
	}
}

// contradict clears or acquits what another entry accuses and ended well here just before.
func (w *Witness) contradict(now time.Time, finding banyanplank.Finding) {
	if finding.Kind != banyanplank.FindingDeath && finding.Kind != banyanplank.FindingConvicted {
		return
	}
	for _, request := range finding.Requests {
		ended, known := w.endedWell(request)
		if !known || !isSound(ended, now.Add(-finding.Age)) {
			continue
		}
		answer := banyanplank.Finding{Kind: banyanplank.FindingCleared, Requests: []banyanplank.Fingerprint{request}, Age: now.Sub(ended)}
		if w.suspects.Judge(now, request) == VerdictRefused {
			answer.Kind = banyanplank.FindingAcquitted
			w.note(Note{Event: EventAcquitted, Requests: answer.Requests, How: "ran to its end here", Age: answer.Age})
		}
		if w.suspects.Observe(now, answer) {
			w.tell(now, answer)
		}
	}
}

// Tell returns what to tell the other entries: the own findings of late, and all
// convictions, so that entries that start learn of them.
func (w *Witness) Tell(now time.Time) (findings []banyanplank.Finding) {
	if !w.any.Load() {
		return nil
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forget(now)
	requests := 0
	for _, request := range w.guilty {
		if requests++; requests > mostTold/2 {
			break
		}
		findings = append(findings, banyanplank.Finding{
			Kind: banyanplank.FindingConvicted, Requests: []banyanplank.Fingerprint{request}, Left: w.suspects.Retry(now, request),
		})
	}
	for _, t := range slices.Backward(w.told) {
		if requests += len(t.finding.Requests); requests > mostTold {
			break
		}
		finding := t.finding
		finding.Age += now.Sub(t.at)
		findings = append(findings, finding)
	}
	return findings
}

// Counts returns how many requests are suspect and how many are convicted.
func (w *Witness) Counts() (suspects, guilty int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, named := range w.suspects.accounts {
		suspects += len(named)
	}
	return suspects, len(w.guilty)
}

// end notes that an incarnation has ended, at the first of the breaks at it.
func (w *Witness) end(now time.Time, key incarnation, how string) {
	if _, known := w.dead[key]; known {
		return
	}
	runs, died := w.pending[key], now
	for _, b := range runs {
		if b.at.Before(died) {
			died = b.at
		}
	}
	w.dead[key] = died
	w.keep(key, nil, len(runs))
	// What began later never reached this incarnation.
	runs = slices.DeleteFunc(runs, func(b broken) bool { return !b.Began.Before(died) })
	if len(runs) > 0 {
		w.accuse(now, key, died, runs, how)
	}
}

// accuse counts a death against the requests that ran.
func (w *Witness) accuse(now time.Time, key incarnation, died time.Time, runs []broken, how string) {
	finding := banyanplank.Finding{
		Kind:  banyanplank.FindingDeath,
		Death: banyanplank.NewDeathID(string(key.id), time.UnixMilli(key.born).UTC().Format(time.RFC3339Nano)),
		Age:   now.Sub(died),
	}
	for _, b := range runs {
		if ended, known := w.endedWell(b.Request); known && isSound(ended, died) {
			continue
		}
		finding.Requests = append(finding.Requests, b.Request)
		finding.Ran = append(finding.Ran, max(0, died.Sub(b.Began)))
	}
	if len(finding.Requests) == 0 || !w.suspects.Observe(now, finding) {
		return
	}
	w.note(Note{Event: EventDied, Endpoint: key.id, Requests: finding.Requests, How: how, Age: finding.Age})
	w.tell(now, finding)
	w.judged(now, "own findings", finding.Age)
}

// tell has a finding told to the other entries.
func (w *Witness) tell(now time.Time, finding banyanplank.Finding) {
	w.told = append(w.told, told{finding: finding, at: now})
}

// judged finds out which requests are guilty now, and notes those that were not before.
func (w *Witness) judged(now time.Time, how string, age time.Duration) {
	guilty := w.suspects.Guilty(now)
	var news []banyanplank.Fingerprint
	for _, request := range guilty {
		if !slices.Contains(w.guilty, request) {
			news = append(news, request)
		}
	}
	if len(news) > 0 {
		w.note(Note{Event: EventConvicted, Requests: news, How: how, Age: age})
	}
	w.guilty = guilty
	w.any.Store(true)
}

// keep replaces the runs that wait for word on an incarnation.
func (w *Witness) keep(key incarnation, runs []broken, before int) {
	w.waiting += len(runs) - before
	if len(runs) == 0 {
		delete(w.pending, key)
		return
	}
	w.pending[key] = runs
}

// forget drops what no longer counts.
func (w *Witness) forget(now time.Time) {
	for key, runs := range w.pending {
		before := len(runs)
		if now.Sub(runs[before-1].at) > pendingTime {
			w.keep(key, nil, before)
		}
	}
	isOld := func(_ incarnation, at time.Time) bool { return now.Sub(at) > 2*pendingTime }
	maps.DeleteFunc(w.dead, isOld)
	maps.DeleteFunc(w.leaving, isOld)
	w.told = slices.DeleteFunc(w.told, func(t told) bool { return now.Sub(t.at) > tellTime })
	if !w.any.Load() {
		return
	}
	w.suspects.Expire(now)
	if len(w.suspects.accounts) == 0 && len(w.told) == 0 {
		w.guilty = nil
		w.any.Store(false)
		return
	}
	w.guilty = slices.DeleteFunc(w.guilty, func(r banyanplank.Fingerprint) bool { return w.suspects.Judge(now, r) != VerdictRefused })
}
