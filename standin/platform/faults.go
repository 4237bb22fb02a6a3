package platform

import (
	"sync"
	"time"
)

// faults holds the faults injected into one client.
type faults struct {
	mu                sync.Mutex
	down              bool
	requestLatency    time.Duration
	replyLatency      time.Duration
	lostReplies       int
	readStaleness     time.Duration
	instanceStaleness time.Duration
}

// SetDown makes all calls of this client fail with [banyanplank.ErrUnavailable],
// including pending watches, until SetDown is called with false.
func (p *Platform) SetDown(down bool) {
	p.faults.update(func() { p.faults.down = down })
	p.shared.notify()
}

// SetDelay delays each request before it takes effect by request, and its reply
// afterwards by reply.
func (p *Platform) SetDelay(request, reply time.Duration) {
	p.faults.update(func() { p.faults.requestLatency, p.faults.replyLatency = request, reply })
}

// LoseReplies makes the given number of successful writes take effect and then
// fail with [banyanplank.ErrUncertain].
func (p *Platform) LoseReplies(writes int) {
	p.faults.update(func() { p.faults.lostReplies = writes })
}

// SetReadLag makes reads and watches return the state of the objects from lag
// ago, at most two minutes.
func (p *Platform) SetReadLag(lag time.Duration) {
	p.faults.update(func() { p.faults.readStaleness = lag })
	p.shared.notify()
}

// SetInstanceLag makes [Platform.Instances] return the list from lag ago, at
// most two minutes.
func (p *Platform) SetInstanceLag(lag time.Duration) {
	p.faults.update(func() { p.faults.instanceStaleness = lag })
}

func (f *faults) update(apply func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	apply()
}

// readFault returns the value of one fault setting.
func readFault[T any](f *faults, fault *T) (value T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return *fault
}

func (f *faults) isDown() (down bool) { return readFault(f, &f.down) }

func (f *faults) requestDelay() (delay time.Duration) { return readFault(f, &f.requestLatency) }

func (f *faults) replyDelay() (delay time.Duration) { return readFault(f, &f.replyLatency) }

func (f *faults) readLag() (lag time.Duration) { return readFault(f, &f.readStaleness) }

func (f *faults) instanceLag() (lag time.Duration) { return readFault(f, &f.instanceStaleness) }

// consumeLostReply reports whether to drop the reply of a write, and decrements
// the number of replies left to drop.
func (f *faults) consumeLostReply() (lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostReplies == 0 {
		return false
	}
	f.lostReplies--
	return true
}
