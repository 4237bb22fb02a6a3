package flusher_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/flusher"
	"github.com/banyanplank/banyanplank/standin/platform"
	"github.com/banyanplank/banyanplank/state/tallier"
)

// daemon is one run of a daemon that counts calls and stores its tally.
type daemon struct {
	held   *tallier.Tallier
	cancel context.CancelFunc
	group  conc.WaitGroup
	errs   []error
}

// start runs a daemon.
func start(t *testing.T, store banyanplank.ObjectStore, id banyanplank.DaemonID, incarnation banyanplank.Incarnation, options ...flusher.Option) (d *daemon) {
	ctx, cancel := context.WithCancel(t.Context())
	d = &daemon{held: tallier.New(banyanplank.Member{ID: id, Incarnation: incarnation, Zone: "a"}), cancel: cancel}
	options = append(options, flusher.WithFailed(func(err error) { d.errs = append(d.errs, err) }))
	f := flusher.New(store, id, d.held, options...)
	d.group.Go(func() { f.Run(ctx) })
	return d
}

// stop ends a daemon as planned.
func (d *daemon) stop() {
	d.cancel()
	d.group.Wait()
}

// count records calls that fail.
func (d *daemon) count(calls int) {
	for range calls {
		d.held.Record("chat", "himal", false, 0, 0)
	}
}

// stored sums up the calls that are stored, by hours.
func stored(t *testing.T, store banyanplank.ObjectStore) (calls uint64) {
	tallies, damaged, err := flusher.Stored(t.Context(), store)
	is.New(t).NoErr(err)
	is.New(t).Equal(damaged, 0)
	for _, tally := range tallies {
		for _, b := range tally.Buckets {
			for _, c := range b.Cells {
				if b.Span == tallier.Hour {
					calls += c.Calls
				}
			}
		}
	}
	return calls
}

func TestTallySurvivesReplacement(t *testing.T) {
	cases := map[string]func(p *platform.Platform){
		"calm":         func(*platform.Platform) {},
		"replies lost": func(p *platform.Platform) { p.LoseReplies(2) },
		"slow":         func(p *platform.Platform) { p.SetDelay(time.Second, time.Second) },
		"short outage": func(p *platform.Platform) {
			p.SetDown(true)
			time.AfterFunc(5*time.Minute, func() { p.SetDown(false) })
		},
		"lagging reads": func(p *platform.Platform) { p.SetReadLag(10 * time.Second) },
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := platform.New()
				first := start(t, p, "entry-1", 1)
				disturb(p)
				first.count(3)
				time.Sleep(10 * time.Minute)
				first.count(4)
				first.stop()
				time.Sleep(time.Minute)
				is.Equal(stored(t, p.Client()), uint64(7))
				second := start(t, p, "entry-1", 2)
				second.count(5)
				time.Sleep(10 * time.Minute)
				second.stop()
				is.Equal(stored(t, p.Client()), uint64(12))
			})
		})
	}
}

func TestStaleReadAtStartLosesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		first := start(t, p, "entry-1", 1)
		first.count(3)
		time.Sleep(2 * time.Minute)
		first.count(4)
		first.stop()
		p.SetReadLag(30 * time.Second)
		second := start(t, p, "entry-1", 2)
		second.count(5)
		time.Sleep(10 * time.Minute)
		second.stop()
		is.Equal(stored(t, p.Client()), uint64(12))
	})
}

func TestStartInOutageOverwritesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		first := start(t, p, "entry-1", 1)
		first.count(3)
		time.Sleep(2 * time.Minute)
		first.stop()
		p.SetDown(true)
		second := start(t, p, "entry-1", 2)
		second.count(4)
		time.Sleep(10 * time.Minute)
		is.True(!second.held.Snapshot(time.Now()).Whole)
		p.SetDown(false)
		time.Sleep(10 * time.Minute)
		second.stop()
		is.Equal(stored(t, p), uint64(7))
	})
}

func TestPausedRunStopsWhenItIsSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		paused := p.Client()
		first := start(t, paused, "entry-1", 1)
		first.count(3)
		time.Sleep(2 * time.Minute)
		paused.SetDown(true)
		second := start(t, p, "entry-1", 2)
		second.count(4)
		time.Sleep(5 * time.Minute)
		paused.SetDown(false)
		time.Sleep(5 * time.Minute)
		first.group.Wait()
		is.True(errors.Is(first.errs[len(first.errs)-1], flusher.ErrSuperseded))
		second.stop()
		is.Equal(stored(t, p), uint64(7))
	})
}

func TestFleetStaysWithinBudget(t *testing.T) {
	cases := map[string]struct {
		entries int
		most    int
	}{
		"today":        {entries: 8, most: 8},
		"full size":    {entries: 420, most: 12},
		"at the bound": {entries: 12, most: 12},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := platform.New()
				fleet := func() flusher.Fleet { return flusher.Fleet{Entries: c.entries} }
				var daemons []*daemon
				for i := range c.entries {
					daemons = append(daemons, start(t, p, banyanplank.DaemonID(fmt.Sprint("entry-", i)), 1, flusher.WithFleet(fleet)))
				}
				time.Sleep(time.Hour)
				before := p.Calls()
				time.Sleep(time.Hour)
				after := p.Calls()
				writes := after.Writes() - before.Writes()
				is.True(writes <= c.most*60+c.entries)
				is.Equal(after.Reads(), before.Reads())
				for _, d := range daemons {
					d.stop()
				}
			})
		})
	}
}

func TestSweepRemovesOnlyUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := platform.New()
		gone := start(t, p, "entry-gone", 1)
		gone.count(3)
		time.Sleep(2 * time.Minute)
		gone.stop()
		_, err := p.Put(t.Context(), flusher.Prefix+"damaged", []byte("{"), 0)
		is.NoErr(err)
		fleet := func() flusher.Fleet { return flusher.Fleet{Entries: 420, Sweeps: true} }
		stays := start(t, p, "entry-stays", 1, flusher.WithFleet(fleet))
		stays.count(4)
		time.Sleep(72 * time.Hour)
		is.Equal(p.Calls().Delete, 1) // the damaged one
		time.Sleep(25 * time.Hour)
		tallies, damaged, err := flusher.Stored(t.Context(), p)
		is.NoErr(err)
		is.Equal(damaged, 0)
		is.Equal(len(tallies), 1)
		is.Equal(tallies[0].Daemon, banyanplank.DaemonID("entry-stays"))
		stays.stop()
	})
}
