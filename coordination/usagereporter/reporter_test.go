package usagereporter_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/leaser"
	"github.com/banyanplank/banyanplank/coordination/usagereporter"
	"github.com/banyanplank/banyanplank/standin/platform"
)

// defaultSeed makes every run generate the same cases unless the command line
// sets a seed.
const defaultSeed = "20261206"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set(defaultSeed)
	}
	os.Exit(m.Run())
}

// fakePlatform records the reports that it receives.
type fakePlatform struct {
	mutex   sync.Mutex
	bodies  map[int64][]string
	at      map[int64]time.Time
	tokens  []uint64
	result  error
	receive bool          // whether calls arrive although the result is an error
	ahead   time.Duration // the true time minus the time of the bubble
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{bodies: map[int64][]string{}, at: map[int64]time.Time{}}
}

func (p *fakePlatform) EncodeUsage(report banyanplank.UsageReport) (body []byte, err error) {
	return json.Marshal(report)
}

func (p *fakePlatform) Scale(context.Context, banyanplank.Term, banyanplank.ScaleOrder) (err error) {
	return nil
}

func (p *fakePlatform) ReportUsage(_ context.Context, term banyanplank.Term, body []byte) (err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.result != nil && !p.receive {
		return p.result
	}
	var report banyanplank.UsageReport
	if err := json.Unmarshal(body, &report); err != nil {
		return err
	}
	p.bodies[report.Window] = append(p.bodies[report.Window], string(body))
	if _, ok := p.at[report.Window]; !ok {
		p.at[report.Window] = time.Now().Add(p.ahead)
	}
	p.tokens = append(p.tokens, term.Token)
	return p.result
}

// set sets the result of calls, and whether they arrive.
func (p *fakePlatform) set(result error, receive bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.result, p.receive = result, receive
}

// count returns the number of windows with a report.
func (p *fakePlatform) count() (windows int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.bodies)
}

// check checks that no window has two different reports, and that tokens don't decrease.
func (p *fakePlatform) check(fail func(format string, args ...any)) {
	for window, bodies := range p.bodies {
		for _, body := range bodies {
			if body != bodies[0] {
				fail("window %d: reports %s and %s", window, bodies[0], body)
			}
		}
	}
	for i := 1; i < len(p.tokens); i++ {
		if p.tokens[i] < p.tokens[i-1] {
			fail("token %d after %d", p.tokens[i], p.tokens[i-1])
		}
	}
}

// reported returns the number of windows from first to last whose report came after their end
// and in time.
func (p *fakePlatform) reported(first, last int64) (count int) {
	for w := first; w <= last; w++ {
		if at, ok := p.at[w]; ok && !at.Before(endOf(w)) && !at.After(endOf(w).Add(usagereporter.DefaultLate)) {
			count++
		}
	}
	return count
}

func endOf(window int64) time.Time {
	return time.Unix((window+1)*int64(usagereporter.DefaultWindow/time.Second), 0)
}

// currentWindow returns the number of the window that runs now.
func currentWindow() int64 { return time.Now().Unix() / int64(usagereporter.DefaultWindow/time.Second) }

// fakeCollector returns counts that differ at each call, as those of another entry or of a later
// moment do.
type fakeCollector struct {
	mutex  sync.Mutex
	calls  int64
	result error
	// wait is how long a collection waits for missing counts.
	wait time.Duration
}

func (c *fakeCollector) Collect(ctx context.Context, window int64) (report banyanplank.UsageReport, err error) {
	if err := banyanplank.Sleep(ctx, c.wait); err != nil {
		return report, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls++
	return banyanplank.UsageReport{Window: window, Counts: map[banyanplank.AccountID]int64{"hule930": c.calls}}, c.result
}

// entry is one entry that reports usage.
type entry struct {
	id       int
	store    *platform.Platform
	holder   *leaser.Holder
	reporter *usagereporter.Reporter
	cancel   context.CancelFunc
	group    conc.WaitGroup

	mutex  sync.Mutex
	frozen time.Duration
	step   time.Duration
}

// fleet is a number of entries that share a store, a platform and a collector.
type fleet struct {
	t         *testing.T
	store     *platform.Platform
	platform  *fakePlatform
	collector *fakeCollector
	entries   []*entry
	starts    int
	era       banyanplank.Era

	mutex  sync.Mutex
	events []usagereporter.Event
}

// newFleet starts count entries in the middle of a window.
func newFleet(t *testing.T, count int) (f *fleet) {
	f = &fleet{t: t, store: platform.New(), platform: newFakePlatform(), collector: &fakeCollector{}, entries: make([]*entry, count)}
	time.Sleep(2 * time.Second)
	for i := range count {
		f.start(i)
	}
	return f
}

// start starts the process of an entry.
func (f *fleet) start(i int) {
	f.starts++
	e := &entry{id: i, store: f.store.Client()}
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(f.t.Context())
	frozen := func() time.Duration {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		return e.frozen
	}
	clock := func() time.Time {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		return time.Now().Round(0).Add(e.step)
	}
	member := banyanplank.Member{ID: banyanplank.DaemonID(fmt.Sprint("front-a-", i)), Incarnation: banyanplank.Incarnation(f.starts)}
	e.holder = leaser.NewHolder(e.store, banyanplank.DutyUsage, member, leaser.WithFrozenTime(frozen), leaser.WithCallInterval(200*time.Millisecond))
	reporter := usagereporter.New(e.holder, e.store, f.platform, f.collector, usagereporter.WithFrozenTime(frozen),
		usagereporter.WithClock(clock), usagereporter.WithEventHandler(func(event usagereporter.Event) {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.events = append(f.events, event)
		}))
	e.reporter = reporter
	e.store.SetEraHandler(e.setEra)
	e.setEra(f.era)
	e.group.Go(func() { _ = e.holder.Run(ctx) })
	e.group.Go(func() { _ = reporter.Run(ctx) })
	f.entries[i] = e
	time.Sleep(300 * time.Millisecond)
}

// newEraFleet starts count entries with a store that names its era.
func newEraFleet(t *testing.T, count int) (f *fleet) {
	f = &fleet{
		t: t, store: platform.New(platform.WithEra(1)), era: 1, platform: newFakePlatform(), collector: &fakeCollector{}, entries: make([]*entry, count),
	}
	for i := range count {
		f.start(i)
	}
	time.Sleep(20 * time.Second)
	return f
}

// restore makes the store return from its copy of some time ago.
func (f *fleet) restore(age time.Duration) {
	f.store.Return(age)
	f.era++
}

// setDown sets whether the store is away.
func (f *fleet) setDown(down bool) {
	for _, e := range f.entries {
		e.store.SetDown(down)
	}
}

// setEra passes the era of the store to an entry, as its responses do.
func (e *entry) setEra(era banyanplank.Era) {
	if era > 0 {
		e.reporter.SetEra(era)
		e.holder.SetEra(era)
	}
}

// kill ends the process of an entry.
func (e *entry) kill() {
	e.cancel()
	e.group.Wait()
}

// setStep makes the clock of an entry differ from the true time.
func (e *entry) setStep(step time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.step = step
}

// addFrozen adds to the time for which the machine of an entry was frozen. The clock has gone
// on, as the true time did.
func (e *entry) addFrozen(duration time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.frozen += duration
	e.step += duration
}

// end checks the reports and stops all entries.
func (f *fleet) end() {
	f.t.Helper()
	for _, e := range f.entries {
		e.kill()
	}
	f.platform.check(f.t.Errorf)
}

// outcomes counts the outcomes.
func (f *fleet) outcomes() (counts map[usagereporter.Outcome]int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	counts = map[usagereporter.Outcome]int{}
	for _, e := range f.events {
		counts[e.Outcome]++
	}
	return counts
}

// TestEachWindowIsReportedOnce guards against missing and repeated reports without faults, and
// against reports that stay in the store.
func TestEachWindowIsReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		first := currentWindow()
		time.Sleep(5 * time.Minute)
		last := currentWindow() - 1
		f.end()
		is.Equal(f.platform.reported(first, last), int(last-first+1))
		for w := first; w <= last; w++ {
			is.Equal(len(f.platform.bodies[w]), 1)
		}
		stored, err := f.store.List(t.Context(), usagereporter.ObjectPrefix)
		is.NoErr(err)
		is.True(len(stored) <= 6)
		calls := f.store.TotalCalls()
		t.Logf("store calls per second: %.2f writes, %.2f reads", float64(calls.Writes())/300, float64(calls.Reads())/300)
		is.True(calls.Writes() <= 480) // a renewal a second, and two writes a window
	})
}

// TestReportsSurviveFailures guards, for each failure, against two different reports of one
// window and against windows that are missing or late although they could be reported.
func TestReportsSurviveFailures(t *testing.T) {
	tests := map[string]struct {
		fail   func(f *fleet)
		missed int
	}{
		"holder killed before a report": {func(f *fleet) {
			f.entries[0].kill()
		}, 0},
		"holder killed between call and reply": {func(f *fleet) {
			f.platform.set(banyanplank.ErrUncertain, true)
			time.Sleep(4 * time.Second)
			f.entries[0].kill()
			f.platform.set(nil, true)
		}, 0},
		"holder cut off from the store": {func(f *fleet) {
			f.entries[0].store.SetDown(true)
		}, 0},
		"platform down for 6 s": {func(f *fleet) {
			f.platform.set(banyanplank.ErrUnavailable, false)
			time.Sleep(6 * time.Second)
			f.platform.set(nil, false)
		}, 1},
		"replies of the platform lost": {func(f *fleet) {
			f.platform.set(banyanplank.ErrUncertain, true)
			time.Sleep(2 * time.Second)
			f.platform.set(nil, true)
		}, 0},
		"replies of the store lost": {func(f *fleet) {
			f.entries[0].store.LoseReplies(3)
		}, 0},
		"store slow": {func(f *fleet) {
			for _, e := range f.entries {
				e.store.SetDelay(100*time.Millisecond, 150*time.Millisecond)
			}
		}, 0},
		"store down across the end of a window": {func(f *fleet) {
			for _, e := range f.entries {
				e.store.SetDown(true)
			}
			time.Sleep(5 * time.Second)
			for _, e := range f.entries {
				e.store.SetDown(false)
			}
		}, 0},
		"clock stepped forth and back": {func(f *fleet) {
			f.entries[0].setStep(7 * time.Second)
			time.Sleep(20 * time.Second)
			f.entries[0].setStep(0)
		}, 0},
		"clock stepped back and forth": {func(f *fleet) {
			f.entries[0].setStep(-9 * time.Second)
			time.Sleep(20 * time.Second)
			f.entries[0].setStep(0)
		}, 0},
		"all restarted": {func(f *fleet) {
			for i, e := range f.entries {
				e.kill()
				f.start(i)
			}
		}, 0},
		"planned stop": {func(f *fleet) {
			f.entries[0].holder.Release(f.t.Context())
			time.Sleep(2 * time.Second)
			f.entries[0].kill()
		}, 0},
	}
	for name, test := range tests {
		for offset := range 5 { // when in a window the failure begins
			t.Run(fmt.Sprint(name, " at ", offset, " s"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 2)
					time.Sleep(20*time.Second + time.Duration(offset)*time.Second)
					first := currentWindow() - 2
					test.fail(f)
					time.Sleep(time.Minute)
					f.end()
					last := currentWindow() - 3
					is.True(f.platform.reported(first, last) >= int(last-first+1)-test.missed)
				})
			})
		}
	}
}

// TestReportsSurviveReturnOfStore guards against a window that is reported with other counts by the
// next holder, because the store returned from a copy without the report that was sent, and
// against windows that are missing although the holder of before could still tell what was sent.
func TestReportsSurviveReturnOfStore(t *testing.T) {
	const age = 4 * time.Second
	tests := map[string]struct {
		age time.Duration
		// before and after happen just before and after the return.
		before, after func(f *fleet)
		missed        int
	}{
		"copy just before":            {age: 0},
		"copy before the last report": {age: age},
		"copy before two reports":     {age: 9 * time.Second},
		"empty copy":                  {age: time.Hour},
		"other holder":                {age: age, after: func(f *fleet) { f.entries[0].holder.SetCandidate(false) }},
		"other holder, empty copy":    {age: time.Hour, after: func(f *fleet) { f.entries[0].holder.SetCandidate(false) }},
		"away before": {age: age, before: func(f *fleet) {
			f.setDown(true)
			time.Sleep(1200 * time.Millisecond)
			f.setDown(false)
		}},
		"away after": {age: age, after: func(f *fleet) {
			time.Sleep(100 * time.Millisecond)
			f.setDown(true)
			time.Sleep(5200 * time.Millisecond)
			f.setDown(false)
		}, missed: 2},
		"unsent, other holder": {age: age, before: func(f *fleet) {
			f.platform.set(banyanplank.ErrUnavailable, false)
			time.Sleep(500 * time.Millisecond)
		}, after: func(f *fleet) {
			f.entries[0].setEra(f.era)
			f.platform.set(nil, true)
			f.entries[0].holder.SetCandidate(false)
		}},
		"unsent, holder cut off": {age: age, before: func(f *fleet) {
			f.platform.set(banyanplank.ErrUnavailable, false)
			time.Sleep(500 * time.Millisecond)
			f.entries[0].store.SetDown(true)
		}, after: func(f *fleet) {
			time.Sleep(2600 * time.Millisecond) // its term
			f.platform.set(nil, true)
			time.Sleep(3600 * time.Millisecond)
			f.entries[0].store.SetDown(false)
		}, missed: 1},
		"next holder lists": {age: age, before: func(f *fleet) {
			f.entries[0].holder.Release(f.t.Context())
			f.entries[0].kill()
			for held := false; !held; time.Sleep(10 * time.Millisecond) {
				_, held = f.entries[1].holder.Term()
			}
			f.entries[1].store.SetDelay(400*time.Millisecond, 0)
			time.Sleep(300 * time.Millisecond)
		}, after: func(f *fleet) {
			time.Sleep(time.Second)
			f.entries[1].store.SetDelay(0, 0)
		}, missed: 1},
		"candidate ends":          {age: age, after: func(f *fleet) { f.entries[1].kill() }},
		"holder ends":             {age: age, after: func(f *fleet) { f.entries[0].kill() }, missed: 1},
		"holder ends, empty copy": {age: time.Hour, after: func(f *fleet) { f.entries[0].kill() }, missed: 1},
	}
	for name, test := range tests {
		for offset := range 10 { // when in a window the store returns
			t.Run(fmt.Sprint(name, " at ", offset*500, " ms"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newEraFleet(t, 2)
					time.Sleep(5*time.Second + time.Duration(offset)*500*time.Millisecond)
					first := currentWindow() - 2
					if test.before != nil {
						test.before(f)
					}
					f.restore(test.age)
					if test.after != nil {
						test.after(f)
					}
					time.Sleep(time.Minute)
					f.end()
					last := currentWindow() - 3
					if got := f.platform.reported(first, last); got < int(last-first+1)-test.missed {
						t.Errorf("%d of %d windows reported", got, last-first+1)
					}
					stored, err := f.store.List(t.Context(), usagereporter.ObjectPrefix)
					is.NoErr(err)
					oldest := fmt.Sprint(usagereporter.ObjectPrefix, currentWindow()-8)
					for _, object := range stored {
						is.True(object.Name >= oldest) // others are removed
					}
				})
			})
		}
	}
}

// TestFreezeIsNoClockStep guards against windows that are numbered wrongly after a freeze, in
// which the clock goes on and the monotonic clock doesn't.
func TestFreezeIsNoClockStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		time.Sleep(20 * time.Second)
		first := currentWindow() - 2
		f.platform.mutex.Lock()
		f.platform.ahead = 9 * time.Second
		f.platform.mutex.Unlock()
		f.entries[0].addFrozen(f.platform.ahead)
		time.Sleep(time.Minute)
		f.end()
		last := currentWindow() - 2
		is.True(f.platform.reported(first, last) >= int(last-first+1)-1) // one may be due in the freeze
	})
}

// TestDoubtfulWindowIsSkipped guards against reports with missing counts, and against a window
// that is given up although its counts arrive in time.
func TestDoubtfulWindowIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 0)
		f.collector.result = banyanplank.ErrUsageIncomplete
		f.entries = make([]*entry, 1)
		f.start(0)
		time.Sleep(30 * time.Second)
		is.Equal(f.platform.count(), 0)
		is.True(f.outcomes()[usagereporter.OutcomeDoubtful] >= 3)
		f.collector.mutex.Lock()
		f.collector.result = nil
		f.collector.mutex.Unlock()
		missing := currentWindow() - 1
		time.Sleep(4 * time.Second)
		f.end()
		is.Equal(len(f.platform.bodies[missing]), 1)
	})
}

// TestSlowCollectionDelaysNoOther guards against windows that are late because the collection of
// an earlier one waited for missing counts, and against a report whose counts never came.
func TestSlowCollectionDelaysNoOther(t *testing.T) {
	tests := map[string]struct {
		wait time.Duration
		all  bool
	}{"waits 7 s": {7 * time.Second, true}, "never ends": {time.Hour, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 0)
				f.collector.wait = test.wait
				f.entries = make([]*entry, 1)
				f.start(0)
				first := currentWindow()
				time.Sleep(time.Minute)
				f.end()
				last := currentWindow() - 3
				is.Equal(f.platform.reported(first, last) == int(last-first+1), test.all)
				is.Equal(f.outcomes()[usagereporter.OutcomeDoubtful] >= 8, !test.all)
			})
		})
	}
}

// TestRejectedReportIsNotRepeated guards against calls that can only be rejected again.
func TestRejectedReportIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		f.platform.set(banyanplank.ErrConflict, true)
		time.Sleep(30 * time.Second)
		f.end()
		for _, bodies := range f.platform.bodies {
			is.Equal(len(bodies), 1)
		}
		is.True(f.outcomes()[usagereporter.OutcomeRejected] >= 4)
	})
}

// TestNoTwoDifferentReports guards against two different reports of one window and against
// decreasing tokens, over interleavings of failures of the store, the platform, the machines,
// the clocks and the processes.
func TestNoTwoDifferentReports(t *testing.T) {
	checkReports(t, func(t *testing.T) *fleet { return newFleet(t, 3) }, rapid.IntRange(0, 10))
}

// TestNoTwoDifferentReportsAcrossReturns guards against the same while the store also returns from
// copies of up to 6 s ago, which one entry or all learn of at once. Freezes and steps are left out:
// they make the clocks of the entries differ here, by which it counts what may have been sent.
func TestNoTwoDifferentReportsAcrossReturns(t *testing.T) {
	events := rapid.SampledFrom([]int{0, 1, 1, 2, 3, 6, 7, 8, 9, 9, 10, 11, 11, 11, 11, 12, 12, 12, 12})
	checkReports(t, func(t *testing.T) *fleet { return newEraFleet(t, 3) }, events)
}

// checkReports plays generated events.
func checkReports(t *testing.T, newFleet func(t *testing.T) *fleet, events *rapid.Generator[int]) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ event, entry, pause int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{events.Draw(rt, "event"), rapid.IntRange(0, 2).Draw(rt, "entry"), rapid.IntRange(0, 60).Draw(rt, "pause")}
		}), 1, 16).Draw(rt, "steps")
		fault := ""
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t)
			time.Sleep(10 * time.Second)
			for _, s := range steps {
				e := f.entries[s.entry]
				switch s.event {
				case 0:
					e.store.SetDown(true)
				case 1:
					e.store.SetDown(false)
				case 2:
					e.store.LoseReplies(2)
				case 3:
					e.store.SetDelay(time.Duration(s.pause)*20*time.Millisecond, time.Duration(s.pause)*10*time.Millisecond)
				case 4:
					e.addFrozen(time.Duration(s.pause) * 100 * time.Millisecond)
				case 5:
					e.setStep(time.Duration(s.pause-30) * 200 * time.Millisecond)
				case 6:
					e.holder.Release(f.t.Context())
					e.kill()
					f.start(s.entry)
				case 7:
					e.kill()
					f.start(s.entry)
				case 8:
					f.platform.set(banyanplank.ErrUncertain, s.pause%2 == 0)
				case 9:
					f.platform.set(nil, true)
				case 10:
					e.store.SetReadLag(time.Duration(s.pause) * 50 * time.Millisecond)
				case 11, 12:
					f.restore(time.Duration(s.pause) * 100 * time.Millisecond)
					e.setEra(f.era)
					for _, other := range f.entries {
						if s.event == 12 {
							other.setEra(f.era)
						}
					}
				}
				time.Sleep(time.Duration(s.pause) * 100 * time.Millisecond)
			}
			for _, e := range f.entries {
				e.kill()
			}
			f.platform.check(func(format string, args ...any) { fault = fmt.Sprintf(format, args...) })
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// TestCorrectedClockIsFollowed guards against reports that are missing or late for a minute because
// a clock that started with a wrong time was corrected by those of other entries.
func TestCorrectedClockIsFollowed(t *testing.T) {
	for name, start := range map[string]time.Duration{"behind": -9 * time.Second, "ahead": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 0)
				wrong := atomic.Int64{}
				wrong.Store(int64(start))
				frozen := func() time.Duration { return 0 }
				ctx, cancel := context.WithCancel(t.Context())
				holder := leaser.NewHolder(f.store, banyanplank.DutyUsage, banyanplank.Member{ID: "front-a-0", Incarnation: 1}, leaser.WithFrozenTime(frozen))
				reporter := usagereporter.New(holder, f.store, f.platform, f.collector, usagereporter.WithFrozenTime(frozen),
					usagereporter.WithSteadyClock(func() time.Time { return time.Now().Add(time.Duration(wrong.Load())) }))
				f.collector.result = banyanplank.ErrUsageIncomplete // as long as the time is wrong
				var group conc.WaitGroup
				group.Go(func() { _ = holder.Run(ctx) })
				group.Go(func() { _ = reporter.Run(ctx) })
				time.Sleep(2 * time.Second)
				wrong.Store(0)
				f.collector.mutex.Lock()
				f.collector.result = nil
				f.collector.mutex.Unlock()
				first := currentWindow()
				time.Sleep(time.Minute)
				last := currentWindow() - 3
				cancel()
				group.Wait()
				f.end()
				is.Equal(f.platform.reported(first, last), int(last-first+1))
			})
		})
	}
}
