package counter

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Times and limits of a [Clock].
const (
	// jumpThreshold is the change of the time of day against the elapsed time, between two
	// readings, that counts as a jump. A slewed clock takes the elapsed time along, and 10 ms are
	// a five-hundredth of a window. A step of 42 ms that was followed moved 2 of 105 requests of
	// an account into another window.
	jumpThreshold = 10 * time.Millisecond
	// sampleAge is how long a sample of a source is used. Each source keeps the samples of the
	// current and of the previous period of this length.
	sampleAge = 10 * time.Second
	// fineWidth is the widest interval of a source that counts as fine. Coarse sources, such as
	// those with a resolution of one second, are used only without fine ones.
	fineWidth = 100 * time.Millisecond
	// maxRoundTrip is the longest exchange whose time is used.
	maxRoundTrip = time.Second
	// maxSources bounds the sources, and maxCoarseSources those whose times are cut off, so
	// that these leave room for the others. Samples of further sources are ignored.
	maxSources       = 64
	maxCoarseSources = 16
)

// Reading is what the clocks of the machine show at one moment.
type Reading struct {
	// Wall is the time of day, which may be wrong and may jump.
	Wall time.Time
	// Elapsed is the time since some moment, without jumps. It includes the time for which the
	// process was frozen.
	Elapsed time.Duration
}

// Sample is the time that a source showed in an exchange.
type Sample struct {
	// Source identifies the clock that showed the time.
	Source string
	// Time is the time of the source, and Resolution the length by which it may be cut off.
	Time       time.Time
	Resolution time.Duration
	// RoundTrip is the longest time for which the sample may have been on its way.
	RoundTrip time.Duration
}

// Clock estimates the true time at one machine. It ignores jumps of the time of day against the
// elapsed time, and corrects a wrong start by the median of the times of other machines. It reads
// no clock itself and is safe for concurrent use.
type Clock struct {
	mutex sync.Mutex
	// own is the time of day at the elapsed time zero by the own clock, without jumps since
	// the start, and base the same by the median. Both are in nanoseconds since 1970.
	own, base int64
	// last is the last difference between the time of day and the elapsed time.
	last     int64
	sources  map[string]*source
	jumps    int
	lastJump time.Duration
}

// source holds the bounds on the base that follow from the samples of a source.
type source struct {
	isCoarse          bool
	current, previous interval
	// since is the elapsed time at which the current period began, and heard the elapsed time
	// of the last sample.
	since, heard time.Duration
}

// interval bounds the base, in nanoseconds since 1970.
type interval struct{ low, high int64 }

// unbounded is the interval without samples.
var unbounded = interval{math.MinInt64, math.MaxInt64}

// intersect returns the common part of two intervals. It is empty if low exceeds high.
func (i interval) intersect(other interval) interval {
	return interval{max(i.low, other.low), min(i.high, other.high)}
}

// width returns the length of the interval.
func (i interval) width() time.Duration { return time.Duration(i.high - i.low) }

// NewClock returns a clock that starts with the time of day of a reading.
func NewClock(reading Reading) *Clock {
	base := reading.Wall.UnixNano() - int64(reading.Elapsed)
	return &Clock{own: base, base: base, last: base, sources: make(map[string]*source)}
}

// Now returns the estimated true time of a reading.
func (c *Clock) Now(reading Reading) (now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.detectJump(reading)
	return time.Unix(0, c.base+int64(reading.Elapsed))
}

// At returns the estimated true time at an elapsed time, such as that of an earlier reading.
func (c *Clock) At(elapsed time.Duration) (at time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Unix(0, c.base+int64(elapsed))
}

// Own returns the time of a reading by the own clock, without jumps since the start and without
// the corrections by other clocks. It is the time to tell other machines: corrected times would
// confirm each other.
func (c *Clock) Own(reading Reading) (own time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.detectJump(reading)
	return time.Unix(0, c.own+int64(reading.Elapsed))
}

// detectJump counts a jump of the time of day, and follows its slow changes.
func (c *Clock) detectJump(reading Reading) {
	difference := reading.Wall.UnixNano() - int64(reading.Elapsed)
	change := time.Duration(difference - c.last)
	c.last = difference
	if change.Abs() >= jumpThreshold {
		c.jumps++
		c.lastJump = change
		// A jump towards the other clocks ends an error that the own clock started with.
		if time.Duration(difference-c.base).Abs()+jumpThreshold < time.Duration(c.own-c.base).Abs() {
			c.own = difference
		}
		return
	}
	c.own += int64(change)
	c.base += int64(change)
}

// Observe records the time of another machine, received at a reading, and updates the estimate.
func (c *Clock) Observe(reading Reading, sample Sample) {
	if sample.RoundTrip < 0 || sample.RoundTrip > maxRoundTrip || sample.Time.IsZero() {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.detectJump(reading)
	s := c.sources[sample.Source]
	if s == nil {
		c.dropOldSources(reading.Elapsed)
		isCoarse := sample.Resolution > 0
		if len(c.sources) >= maxSources || isCoarse && c.countCoarse() >= maxCoarseSources {
			return
		}
		s = &source{isCoarse: isCoarse, current: unbounded, previous: unbounded, since: reading.Elapsed}
		c.sources[sample.Source] = s
	}
	low := sample.Time.UnixNano() - int64(reading.Elapsed)
	s.add(reading.Elapsed, interval{low, low + int64(sample.Resolution+sample.RoundTrip)})
	c.update(reading.Elapsed)
}

// add narrows the bounds by those of a sample. A sample outside the earlier bounds means that the
// clock of the source has jumped, so that these no longer hold.
func (s *source) add(elapsed time.Duration, bounds interval) {
	switch age := elapsed - s.since; {
	case age > 2*sampleAge:
		s.current, s.previous, s.since = unbounded, unbounded, elapsed
	case age > sampleAge:
		s.current, s.previous, s.since = unbounded, s.current, elapsed
	}
	s.heard = elapsed
	s.current = s.current.intersect(bounds)
	if s.current.low > s.current.high || s.previous.intersect(s.current).width() < 0 {
		s.current, s.previous = bounds, unbounded
	}
}

// bounds returns the bounds on the base by all recent samples.
func (s *source) bounds() interval { return s.current.intersect(s.previous) }

// countCoarse returns the number of sources whose times are cut off.
func (c *Clock) countCoarse() (n int) {
	for _, s := range c.sources {
		if s.isCoarse {
			n++
		}
	}
	return n
}

// dropOldSources drops the sources without recent samples.
func (c *Clock) dropOldSources(elapsed time.Duration) {
	for name, s := range c.sources {
		if elapsed-s.heard > sampleAge {
			delete(c.sources, name)
		}
	}
}

// update sets the base to the median of the own clock and of the recent sources.
func (c *Clock) update(elapsed time.Duration) {
	c.dropOldSources(elapsed)
	fine, coarse := []int64{c.own}, []int64{c.own}
	for _, s := range c.sources {
		bounds := s.bounds()
		middle := bounds.low + (bounds.high-bounds.low)/2
		coarse = append(coarse, middle)
		if bounds.width() <= fineWidth {
			fine = append(fine, middle)
		}
	}
	if len(fine) > 2 {
		c.base = median(fine)
		return
	}
	// The own clock is better than a coarse source that agrees with it.
	if middle := median(coarse); time.Duration(middle-c.own).Abs() > time.Second || len(fine) > 1 {
		c.base = middle
		return
	}
	c.base = c.own
}

// median returns the median, or the mean of the two middle values.
func median(values []int64) (middle int64) {
	slices.SortFunc(values, cmp.Compare)
	n := len(values)
	if n%2 == 1 {
		return values[n/2]
	}
	return values[n/2-1] + (values[n/2]-values[n/2-1])/2
}

// ClockStatus describes a [Clock] for logs.
type ClockStatus struct {
	// Offset is the estimated true time minus the time of day.
	Offset time.Duration
	// Sources is the number of other machines whose times are used.
	Sources int
	// Jumps counts the jumps of the time of day, and LastJump is the last one.
	Jumps    int
	LastJump time.Duration
}

// Status returns the state of the clock.
func (c *Clock) Status() (status ClockStatus) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return ClockStatus{Offset: time.Duration(c.base - c.last), Sources: len(c.sources), Jumps: c.jumps, LastJump: c.lastJump}
}
