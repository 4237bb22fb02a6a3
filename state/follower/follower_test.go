package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// fakeDiscovery is a service discovery with one topic. Its calls return errors in order.
type fakeDiscovery struct {
	mutex    sync.Mutex
	revision banyanplank.Version
	changes  map[banyanplank.Version]banyanplank.DiscoveryItem
	errors   []error
	// isUnavailable makes all calls fail.
	isUnavailable bool
	calls         int
	peeks         int
	lag           banyanplank.Version
	// oldest is the first revision after which history is kept.
	oldest  banyanplank.Version
	era     banyanplank.Era
	updated chan struct{}
}

// newFakeDiscovery returns a fakeDiscovery at revision 1.
func newFakeDiscovery() *fakeDiscovery {
	return &fakeDiscovery{revision: 1, changes: make(map[banyanplank.Version]banyanplank.DiscoveryItem), updated: make(chan struct{})}
}

func (d *fakeDiscovery) addChange(key string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.revision++
	d.changes[d.revision] = banyanplank.DiscoveryItem{Key: key, Value: key}
	close(d.updated)
	d.updated = make(chan struct{})
}

// errPanic makes a call panic.
var errPanic = errors.New("unexpected")

// nextError counts a call and returns its error.
func (d *fakeDiscovery) nextError() (err error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.calls++
	defer func() {
		if errors.Is(err, errPanic) {
			panic(err)
		}
	}()
	if len(d.errors) > 0 {
		err, d.errors = d.errors[0], d.errors[1:]
	}
	if d.isUnavailable {
		err = banyanplank.ErrUnavailable
	}
	return err
}

// setUnavailable sets whether all calls fail from now on.
func (d *fakeDiscovery) setUnavailable(unavailable bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.isUnavailable = unavailable
}

// changesSince returns the changes after a revision.
func (d *fakeDiscovery) changesSince(after banyanplank.Version) (entries []banyanplank.DiscoveryItem, revision banyanplank.Version, changed chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for r := after + 1; r <= d.revision; r++ {
		entries = append(entries, d.changes[r])
	}
	return entries, d.revision, d.updated
}

func (d *fakeDiscovery) List(context.Context, banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	if err := d.nextError(); err != nil {
		return nil, position, err
	}
	entries, position.Revision, _ = d.changesSince(1)
	position.Era = d.currentEra()
	return entries, position, nil
}

func (d *fakeDiscovery) Changes(ctx context.Context, _ banyanplank.Topic, after banyanplank.Position, wait time.Duration) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	if err := d.nextError(); err != nil {
		return nil, position, err
	}
	if d.currentEra() > after.Era {
		return nil, position, errNewEra
	}
	if d.isCompacted(after.Revision) {
		return nil, position, banyanplank.ErrCompacted
	}
	entries, revision, changed := d.changesSince(after.Revision)
	if len(entries) > 0 || wait == 0 {
		return entries, banyanplank.Position{Era: after.Era, Revision: revision}, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, position, ctx.Err()
	}
	if d.currentEra() > after.Era {
		return nil, position, errNewEra
	}
	entries, revision, _ = d.changesSince(after.Revision)
	return entries, banyanplank.Position{Era: after.Era, Revision: revision}, nil
}

// errNewEra is the error of calls that continue at a position of an older era.
var errNewEra = errors.Mark(banyanplank.ErrNewEra, banyanplank.ErrCompacted)

// currentEra returns the era.
func (d *fakeDiscovery) currentEra() (era banyanplank.Era) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.era
}

// returnOlder goes back to the state at a revision, in a new era.
func (d *fakeDiscovery) returnOlder(revision banyanplank.Version) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for r := range d.changes {
		if r > revision {
			delete(d.changes, r)
		}
	}
	d.revision, d.era = revision, d.era+1
	close(d.updated)
	d.updated = make(chan struct{})
}

// isCompacted reports whether the history after a revision is gone.
func (d *fakeDiscovery) isCompacted(after banyanplank.Version) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return after < d.oldest
}

// Peek returns a state that is behind by lag revisions.
func (d *fakeDiscovery) Peek(_ context.Context, _ banyanplank.Topic, after banyanplank.Position) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	d.mutex.Lock()
	d.peeks++
	lag, unavailable := d.lag, d.isUnavailable
	d.mutex.Unlock()
	if unavailable {
		return nil, position, banyanplank.ErrUnavailable
	}
	if d.currentEra() > after.Era {
		return nil, position, errNewEra
	}
	if d.isCompacted(after.Revision) {
		return nil, position, banyanplank.ErrCompacted
	}
	position.Era = after.Era
	entries, position.Revision, _ = d.changesSince(after.Revision)
	if lag > 0 {
		return nil, banyanplank.Position{Era: after.Era, Revision: min(after.Revision, position.Revision-lag)}, nil
	}
	return entries, position, nil
}

func (d *fakeDiscovery) Register(context.Context, banyanplank.Member) (banyanplank.Position, error) {
	return banyanplank.Position{}, nil
}

func (d *fakeDiscovery) Remove(context.Context, banyanplank.DaemonID) error { return nil }

// counts returns the numbers of calls and peeks.
func (d *fakeDiscovery) counts() (counts []int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return []int{d.calls, d.peeks}
}

// recorder records messages.
type recorder struct {
	mutex sync.Mutex
	msgs  []banyanplank.Msg
}

func (r *recorder) send(msg banyanplank.Msg) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.msgs = append(r.msgs, msg)
}

// keys returns the keys of all received entries in order.
func (r *recorder) keys() (keys []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, m := range r.msgs {
		if msg, ok := m.(TopicMsg); ok {
			for _, e := range msg.Entries {
				keys = append(keys, e.Key)
			}
		}
	}
	return keys
}

// runFollower follows a topic for duration while script runs and a peer watches the platform.
func runFollower(t *testing.T, f *Follower, duration time.Duration, script func()) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var work conc.WaitGroup
	work.Go(func() { f.Follow(ctx, banyanplank.TopicBackends) })
	work.Go(func() {
		for banyanplank.Sleep(ctx, maxUnconfirmed/10) == nil {
			f.RecordConfirmation(time.Now())
		}
	})
	script()
	work.Wait()
}

func TestFollowRecoversFromFailures(t *testing.T) {
	tests := map[string]struct {
		errors  []error
		lost    int
		resumed bool
		whole   int
	}{
		"calm":                       {whole: 1},
		"the first call fails":       {errors: []error{banyanplank.ErrUnavailable}, lost: 1, resumed: true, whole: 1},
		"the watch fails":            {errors: []error{nil, banyanplank.ErrUncertain}, lost: 1, resumed: true, whole: 1},
		"several calls fail":         {errors: []error{nil, banyanplank.ErrUnavailable, banyanplank.ErrUncertain, banyanplank.ErrUnavailable}, lost: 1, resumed: true, whole: 1},
		"history compacted":          {errors: []error{nil, banyanplank.ErrCompacted}, whole: 2},
		"compacted during an outage": {errors: []error{nil, banyanplank.ErrUnavailable, banyanplank.ErrCompacted}, lost: 1, resumed: true, whole: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				discovery, messages := newFakeDiscovery(), &recorder{}
				discovery.errors = test.errors
				runFollower(t, New(discovery, messages.send), 10*time.Second, func() {
					time.Sleep(5 * time.Second)
					discovery.addChange("x")
					time.Sleep(50 * time.Millisecond)
					discovery.addChange("y")
				})
				lost, resumed, whole := 0, false, 0
				last := ""
				for _, m := range messages.msgs {
					switch msg := m.(type) {
					case LostMsg:
						lost++
					case TopicMsg:
						resumed = resumed || msg.Resumed
						if msg.IsFullList {
							whole++
						}
						for _, e := range msg.Entries {
							last = e.Key
						}
					}
				}
				is.Equal(lost, test.lost)
				is.Equal(resumed, test.resumed)
				is.Equal(whole, test.whole)
				is.Equal(last, "y")
			})
		})
	}
}

// TestHintTriggersPeekWithoutWatch checks that a daemon that doesn't watch fetches changes
// on hints with few calls, and watches once it has to.
func TestHintTriggersPeekWithoutWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery, messages := newFakeDiscovery(), &recorder{}
		var watches atomic.Bool
		f := New(discovery, messages.send, WithWatcher(watches.Load))
		runFollower(t, f, 20*time.Second, func() {
			time.Sleep(time.Second)
			discovery.addChange("x")
			time.Sleep(time.Second)
			is.Equal(messages.keys(), nil) // no hint yet
			f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 2})
			time.Sleep(200 * time.Millisecond)
			is.Equal(messages.keys(), []string{"x"})
			is.Equal(discovery.counts(), []int{1, 1})
			f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 2}) // already known
			time.Sleep(time.Second)
			is.Equal(discovery.counts(), []int{1, 1})
			watches.Store(true)
			time.Sleep(time.Second)
			discovery.addChange("y")
			time.Sleep(100 * time.Millisecond)
			is.Equal(messages.keys(), []string{"x", "y"})
		})
	})
}

// TestPollsWithoutHints guards against a daemon that misses changes because no hint arrives.
func TestPollsWithoutHints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery, messages := newFakeDiscovery(), &recorder{}
		f := New(discovery, messages.send, WithWatcher(func() bool { return false }))
		runFollower(t, f, 2*DefaultPollInterval+time.Second, func() {
			time.Sleep(time.Second)
			discovery.addChange("x")
		})
		is.Equal(messages.keys(), []string{"x"})
		is.Equal(discovery.counts(), []int{1, 2})
	})
}

// TestStalePeekFallsBackToChanges guards against accepting a stale peek that is behind the
// revision known to peers.
func TestStalePeekFallsBackToChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery, messages := newFakeDiscovery(), &recorder{}
		discovery.lag = 1
		f := New(discovery, messages.send, WithWatcher(func() bool { return false }))
		runFollower(t, f, 3*time.Second, func() {
			time.Sleep(time.Second)
			discovery.addChange("x")
			f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 2})
		})
		is.Equal(messages.keys(), []string{"x"})
		is.Equal(discovery.counts(), []int{2, 1})
	})
}

// fakePeers know a topic up to a revision.
type fakePeers struct{ revision banyanplank.Version }

func (p fakePeers) FetchTopic(context.Context, banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return []banyanplank.DiscoveryItem{{Key: "told", Value: "told"}}, banyanplank.Position{Revision: p.revision}, nil
}

// TestCatchesUpFromPeersWhileUnavailable checks that a daemon whose calls the platform
// rejects reads each change from peers once, and continues from there after recovery.
func TestCatchesUpFromPeersWhileUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery, messages := newFakeDiscovery(), &recorder{}
		for range 40 {
			discovery.errors = append(discovery.errors, banyanplank.ErrUnavailable)
		}
		discovery.errors = append([]error{nil}, discovery.errors...)
		f := New(discovery, messages.send, WithPeers(fakePeers{revision: 3}))
		runFollower(t, f, 20*time.Second, func() {
			time.Sleep(time.Second)
			discovery.addChange("x")
			discovery.addChange("y")
			f.RecordHint(banyanplank.TopicBackends, banyanplank.Position{Revision: 3})
			time.Sleep(time.Second)
			is.Equal(messages.keys(), []string{"told"})
			time.Sleep(14 * time.Second)
			discovery.addChange("z")
		})
		is.Equal(messages.keys(), []string{"told", "z"})
	})
}

// TestFollowContinuesAfterPanickingCall guards against a panic in one call that ends the
// following of a topic.
func TestFollowContinuesAfterPanickingCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		discovery := newFakeDiscovery()
		discovery.errors = []error{errPanic, nil, errPanic}
		var lost, received atomic.Int32
		f := New(discovery, func(msg banyanplank.Msg) {
			switch msg.(type) {
			case LostMsg:
				lost.Add(1)
			case TopicMsg:
				received.Add(1)
			}
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f.Follow(ctx, banyanplank.TopicBackends)
		is.Equal(lost.Load(), int32(2))
		is.True(received.Load() >= 2)
	})
}

// TestAsksPlatformWithoutConfirmations guards against a daemon that takes the silence of its
// peers for the absence of changes, and against calls at a high rate to a platform that
// answers nobody.
func TestAsksPlatformWithoutConfirmations(t *testing.T) {
	const span = 30 * time.Second
	tests := map[string]struct {
		confirmed    time.Duration
		unavailable  bool
		calls, peeks int
	}{
		"a peer confirms":       {100 * time.Millisecond, false, 1, int(span / DefaultPollInterval)},
		"nobody confirms":       {0, false, int(span/maxUnconfirmed) + 1, int(span / maxUnconfirmed)},
		"a peer confirms late":  {5 * time.Second, false, int(span/maxUnconfirmed) + 1, int(span / maxUnconfirmed)},
		"nobody is answered":    {0, true, 1, int(span / (idleMaxBackoff / 2))},
		"only a peer is served": {100 * time.Millisecond, true, 2, int(span / (idleMaxBackoff / 2))},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				discovery := newFakeDiscovery()
				f := New(discovery, (&recorder{}).send, WithWatcher(func() bool { return false }))
				ctx, cancel := context.WithTimeout(t.Context(), span)
				defer cancel()
				var work conc.WaitGroup
				work.Go(func() { f.Follow(ctx, banyanplank.TopicBackends) })
				for last := time.Now(); banyanplank.Sleep(ctx, 100*time.Millisecond) == nil; {
					if test.confirmed > 0 && time.Since(last) >= test.confirmed {
						last = time.Now()
						f.RecordConfirmation(last)
					}
					discovery.setUnavailable(test.unavailable)
				}
				work.Wait()
				counts := discovery.counts()
				is.True(counts[0] <= test.calls)
				is.True(counts[1] <= test.peeks)
				if test.confirmed != 100*time.Millisecond && !test.unavailable {
					is.True(counts[0] >= test.calls/2)
				}
			})
		})
	}
}
