package platform

import (
	"sync"
	"time"
)

// faults are the ways in which one view fails.
type faults struct {
	mu          sync.Mutex
	down        bool
	request     time.Duration
	reply       time.Duration
	lostReplies int
	reads       time.Duration
	instances   time.Duration
}

// SetDown makes all calls fail with [banyanplank.ErrUnavailable], and ends
// waiting watches, until it is called with false.
func (p *Platform) SetDown(down bool) {
	p.faults.change(func() { p.faults.down = down })
	p.shared.notify()
}

// SetDelay delays every request before it takes effect, and every reply after
// it took effect.
func (p *Platform) SetDelay(request, reply time.Duration) {
	p.faults.change(func() { p.faults.request, p.faults.reply = request, reply })
}

// LoseReplies lets the next writes take effect and fail with
// [banyanplank.ErrUncertain].
func (p *Platform) LoseReplies(writes int) {
	p.faults.change(func() { p.faults.lostReplies = writes })
}

// SetReadLag makes reads and watches see the objects as they were lag ago, up
// to two minutes.
func (p *Platform) SetReadLag(lag time.Duration) {
	p.faults.change(func() { p.faults.reads = lag })
	p.shared.notify()
}

// SetListLag makes the instance list show what was true lag ago, up to two
// minutes.
func (p *Platform) SetListLag(lag time.Duration) {
	p.faults.change(func() { p.faults.instances = lag })
}

func (f *faults) change(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

// read returns one of the faults.
func read[T any](f *faults, fault *T) (value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *fault
}

func (f *faults) isDown() (down bool) { return read(f, &f.down) }

func (f *faults) requestDelay() (delay time.Duration) { return read(f, &f.request) }

func (f *faults) replyDelay() (delay time.Duration) { return read(f, &f.reply) }

func (f *faults) readLag() (lag time.Duration) { return read(f, &f.reads) }

func (f *faults) listLag() (lag time.Duration) { return read(f, &f.instances) }

// losesReply reports whether this write's reply is lost, and counts it.
func (f *faults) losesReply() (lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == 0 {
		return false
	}
	f.lostReplies--
	return true
}
