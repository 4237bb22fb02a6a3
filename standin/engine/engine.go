// Package engine is a small stand-in for a model engine: it batches
// continuously, keeps a prefix cache in limited memory, starts cold, and falls
// over when the requests that it holds outgrow its memory. It is for tests,
// benchmarks and examples.
package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// The defaults of an engine.
const (
	defaultCapacity = 20_000
	defaultStep     = 10 * time.Millisecond
	defaultPrefill  = 20_000
	defaultBatch    = 64
	cacheBlocks     = 4096
)

// coldShare is the part of its capacity that a cold engine can hold.
const coldShare = 8

// Engine is the stand-in. Run its steps with [Engine.Run].
type Engine struct {
	capacity int
	step     time.Duration
	prefill  int
	batch    int
	warmup   time.Duration
	lag      time.Duration
	fencing  bool

	mutex    sync.Mutex
	boot     int
	warm     time.Time
	fence    uint64
	orders   []banyanplank.Order
	running  []*sequence
	waiting  []*sequence
	cache    *prefixCache
	report   banyanplank.EndpointReport
	reported time.Time
	crashes  int
	runs     map[banyanplank.AttemptID]int
	frozen   bool
}

// Option configures an [Engine].
type Option func(*Engine)

// WithCapacity sets the tokens of KV cache. The default is 20,000.
func WithCapacity(tokens int) Option {
	return func(e *Engine) { e.capacity = tokens }
}

// WithStep sets the time of one decoding step. The default is 10 ms.
func WithStep(step time.Duration) Option {
	return func(e *Engine) { e.step = step }
}

// WithPrefill sets the prompt tokens processed in a second. The default is
// 20,000.
func WithPrefill(tokens int) Option {
	return func(e *Engine) { e.prefill = tokens }
}

// WithWarmup makes the engine start cold, for the given time after each boot.
// The default is warm from the start.
func WithWarmup(warmup time.Duration) Option {
	return func(e *Engine) { e.warmup = warmup }
}

// WithLag makes reports as old as lag. The default is no lag.
func WithLag(lag time.Duration) Option {
	return func(e *Engine) { e.lag = lag }
}

// WithFencing makes the engine refuse orders with an old fencing number. The
// default ignores fencing numbers.
func WithFencing() Option {
	return func(e *Engine) { e.fencing = true }
}

// New returns an engine that has just booted.
func New(options ...Option) *Engine {
	e := &Engine{
		capacity: defaultCapacity,
		step:     defaultStep,
		prefill:  defaultPrefill,
		batch:    defaultBatch,
		cache:    newPrefixCache(cacheBlocks),
		runs:     make(map[banyanplank.AttemptID]int),
	}
	for _, option := range options {
		option(e)
	}
	e.restart(time.Now())
	return e
}

// Run makes decoding steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.decode(now)
		}
	}
}

// Crash makes the engine fall over and boot again, cold.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fall(time.Now())
}

// Freeze stops or continues the decoding steps, as a stalled rank does.
func (e *Engine) Freeze(frozen bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen = frozen
}

// Crashes counts how often the engine fell over.
func (e *Engine) Crashes() (crashes int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashes
}

// Runs counts how often the engine began the attempt.
func (e *Engine) Runs(attempt banyanplank.AttemptID) (runs int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runs[attempt]
}

// Running counts the requests in the batch.
func (e *Engine) Running() (running int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.running)
}

// Began counts the requests that the engine was given.
func (e *Engine) Began() (requests int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, runs := range e.runs {
		requests += runs
	}
	return requests
}

// Orders returns the orders that took effect.
func (e *Engine) Orders() (orders []banyanplank.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append(orders, e.orders...)
}

// fall cuts all sequences and boots again.
func (e *Engine) fall(now time.Time) {
	for _, s := range append(e.running, e.waiting...) {
		s.cut()
	}
	e.crashes++
	e.restart(now)
}

func (e *Engine) restart(now time.Time) {
	e.boot++
	e.warm = now.Add(e.warmup)
	e.running = nil
	e.waiting = nil
	e.cache.clear()
	e.measure(now)
}

// limit returns what the engine can hold at now.
func (e *Engine) limit(now time.Time) (tokens int) {
	if now.Before(e.warm) {
		return e.capacity / coldShare
	}
	return e.capacity
}

// held returns the tokens in the KV cache.
func (e *Engine) held() (tokens int) {
	for _, s := range e.running {
		tokens += s.held()
	}
	return tokens
}

// decode makes one step: it starts what waits, reads prompts, and makes one
// token for each sequence whose prompt is read.
func (e *Engine) decode(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.frozen {
		return
	}
	e.start()
	e.advance()
	if e.held() > e.limit(now) {
		e.fall(now)
	}
	if now.Sub(e.reported) >= e.lag {
		e.measure(now)
	}
}

// start moves waiting sequences into the batch, highest priority first.
func (e *Engine) start() {
	for len(e.waiting) > 0 && len(e.running) < e.batch {
		best := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[best].priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		s.unread = s.prompt - e.cache.match(s.prefix)*banyanplank.PrefixBlock
		e.running = append(e.running, s)
	}
}

// advance reads prompts within one step's budget and decodes the rest.
func (e *Engine) advance() {
	budget := int(e.step.Seconds() * float64(e.prefill))
	kept := e.running[:0]
	for _, s := range e.running {
		read := min(max(0, s.unread), budget)
		budget -= read
		s.unread -= read
		if s.unread <= 0 && s.makeToken() {
			e.cache.add(s.prefix)
			continue
		}
		if s.isCanceled() {
			continue
		}
		kept = append(kept, s)
	}
	e.running = kept
}

// measure renews the report.
func (e *Engine) measure(now time.Time) {
	e.reported = now
	e.report = banyanplank.EndpointReport{
		Boot:     strconv.Itoa(e.boot),
		Cold:     now.Before(e.warm),
		Capacity: e.capacity,
		Held:     e.held(),
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		Step:     e.step,
	}
	for _, s := range append(e.running, e.waiting...) {
		e.report.Attempts = append(e.report.Attempts, s.attempt)
	}
}
