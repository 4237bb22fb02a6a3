// Package engine simulates a model engine for tests, benchmarks and examples.
// The engine uses continuous batching and a bounded prefix cache, has reduced
// capacity while it is cold, and crashes when its sequences exceed its KV cache.
package engine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Defaults of an [Engine]. The capacity is in tokens, the prefill rate in prompt
// tokens per second, and the batch size in sequences.
const (
	defaultCapacity    = 20_000
	defaultStepTime    = 10 * time.Millisecond
	defaultPrefillRate = 20_000
	defaultBatchSize   = 64
	prefixCacheBlocks  = 4096
)

// coldCapacityDivisor divides the capacity of an engine while it is cold.
const coldCapacityDivisor = 8

// Engine simulates a model engine. Its decoding steps run in [Engine.Run]. Its
// methods are safe for concurrent use.
type Engine struct {
	capacity    int
	stepTime    time.Duration
	prefillRate int
	batchSize   int
	warmup      time.Duration
	reportLag   time.Duration
	checksFence bool

	mutex      sync.Mutex
	bootCount  int
	warmAt     time.Time
	maxFence   uint64
	orders     []banyanplank.Order
	running    []*sequence
	waiting    []*sequence
	cache      *prefixCache
	report     banyanplank.EndpointReport
	reportTime time.Time
	crashCount int
	runCounts  map[banyanplank.AttemptID]int
	paused     bool
}

// Option configures an [Engine].
type Option func(*Engine)

// WithCapacity sets the size of the KV cache in tokens. The default is 20,000.
func WithCapacity(tokens int) Option {
	return func(e *Engine) { e.capacity = tokens }
}

// WithStepTime sets the duration of one decoding step. The default is 10 ms.
func WithStepTime(step time.Duration) Option {
	return func(e *Engine) { e.stepTime = step }
}

// WithPrefillRate sets the number of prompt tokens processed per second. The
// default is 20,000.
func WithPrefillRate(tokensPerSecond int) Option {
	return func(e *Engine) { e.prefillRate = tokensPerSecond }
}

// WithWarmup sets how long the engine is cold after each boot and after each
// order that loads weights or changes its role. The default is zero.
func WithWarmup(warmup time.Duration) Option {
	return func(e *Engine) { e.warmup = warmup }
}

// WithReportLag sets the minimum interval between two updates of the report, so
// that reports are up to lag old. The default is no lag.
func WithReportLag(lag time.Duration) Option {
	return func(e *Engine) { e.reportLag = lag }
}

// WithFencing makes the engine reject orders with an old fencing number. By
// default it ignores fencing numbers.
func WithFencing() Option {
	return func(e *Engine) { e.checksFence = true }
}

// New returns a booted engine. It decodes only while [Engine.Run] runs.
func New(options ...Option) *Engine {
	e := &Engine{
		capacity:    defaultCapacity,
		stepTime:    defaultStepTime,
		prefillRate: defaultPrefillRate,
		batchSize:   defaultBatchSize,
		cache:       newPrefixCache(prefixCacheBlocks),
		runCounts:   make(map[banyanplank.AttemptID]int),
	}
	for _, option := range options {
		option(e)
	}
	e.restart(time.Now())
	return e
}

// Run executes one decoding step per step time until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.stepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			e.runStep(now)
		}
	}
}

// Crash aborts all sequences and restarts the engine, cold for its warmup time.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crash(time.Now())
}

// SetPaused pauses or resumes decoding, which simulates a stalled rank.
func (e *Engine) SetPaused(paused bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.paused = paused
}

// CrashCount returns the number of crashes, including calls of [Engine.Crash].
func (e *Engine) CrashCount() (count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.crashCount
}

// RunCount returns how many times the attempt was submitted to the engine.
func (e *Engine) RunCount(attempt banyanplank.AttemptID) (count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.runCounts[attempt]
}

// RunningCount returns the number of sequences in the batch.
func (e *Engine) RunningCount() (count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.running)
}

// RequestCount returns the number of requests submitted to the engine.
func (e *Engine) RequestCount() (count int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, runs := range e.runCounts {
		count += runs
	}
	return count
}

// Orders returns the applied orders, oldest first.
func (e *Engine) Orders() (orders []banyanplank.Order) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append(orders, e.orders...)
}

// crash aborts all sequences and restarts the engine. The mutex is held.
func (e *Engine) crash(now time.Time) {
	for _, s := range append(e.running, e.waiting...) {
		s.abort()
	}
	e.crashCount++
	e.restart(now)
}

func (e *Engine) restart(now time.Time) {
	e.bootCount++
	e.warmAt = now.Add(e.warmup)
	e.running = nil
	e.waiting = nil
	e.cache.clear()
	e.updateReport(now)
}

// currentCapacity returns the usable size of the KV cache in tokens.
func (e *Engine) currentCapacity(now time.Time) (tokens int) {
	if now.Before(e.warmAt) {
		return e.capacity / coldCapacityDivisor
	}
	return e.capacity
}

// heldTokens returns the number of tokens in the KV cache.
func (e *Engine) heldTokens() (tokens int) {
	for _, s := range e.running {
		tokens += s.heldTokens()
	}
	return tokens
}

// runStep executes one decoding step: it admits waiting sequences, prefills
// prompts and generates one token for each prefilled sequence.
func (e *Engine) runStep(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.paused {
		return
	}
	e.admitWaiting()
	e.advanceBatch()
	if e.heldTokens() > e.currentCapacity(now) {
		e.crash(now)
	}
	if now.Sub(e.reportTime) >= e.reportLag {
		e.updateReport(now)
	}
}

// admitWaiting moves waiting sequences into the batch, highest priority first.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.batchSize {
		best := 0
		for i, s := range e.waiting {
			if s.priority > e.waiting[best].priority {
				best = i
			}
		}
		s := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		s.pendingPrefill = s.promptTokens - e.cache.countCached(s.prefixHashes)*banyanplank.PrefixBlock
		e.running = append(e.running, s)
	}
}

// advanceBatch prefills prompts within the budget of one step, generates one
// token for each prefilled sequence and removes finished and canceled ones.
func (e *Engine) advanceBatch() {
	budget := int(e.stepTime.Seconds() * float64(e.prefillRate))
	active := e.running[:0]
	for _, s := range e.running {
		prefilled := min(max(0, s.pendingPrefill), budget)
		budget -= prefilled
		s.pendingPrefill -= prefilled
		if s.pendingPrefill <= 0 && s.generateToken() {
			e.cache.add(s.prefixHashes)
			continue
		}
		if s.isCanceled() {
			continue
		}
		active = append(active, s)
	}
	e.running = active
}

// updateReport refreshes the report. The mutex is held.
func (e *Engine) updateReport(now time.Time) {
	e.reportTime = now
	e.report = banyanplank.EndpointReport{
		Boot:     strconv.Itoa(e.bootCount),
		Cold:     now.Before(e.warmAt),
		Capacity: e.capacity,
		Held:     e.heldTokens(),
		Running:  len(e.running),
		Waiting:  len(e.waiting),
		Step:     e.stepTime,
	}
	for _, s := range append(e.running, e.waiting...) {
		e.report.Attempts = append(e.report.Attempts, s.attempt)
	}
}
