package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/balancer"
	"github.com/banyanplank/banyanplank/coordination/beater"
	"github.com/banyanplank/banyanplank/coordination/suspecter"
	"github.com/banyanplank/banyanplank/state/follower"
	"github.com/banyanplank/banyanplank/transport/logger"
)

// memoryFindings is a store of findings that can be away.
type memoryFindings struct {
	mutex  sync.Mutex
	away   bool
	saved  map[banyanplank.DaemonID]banyanplank.StoredFindings
	writes int
	// writtenAt is when an entry wrote last.
	writtenAt map[banyanplank.DaemonID]time.Time
}

func (m *memoryFindings) LoadFindings(context.Context) (findings map[banyanplank.DaemonID]banyanplank.StoredFindings, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.away {
		return nil, banyanplank.ErrUnavailable
	}
	return maps.Clone(m.saved), nil
}

func (m *memoryFindings) SaveFindings(_ context.Context, id banyanplank.DaemonID, findings banyanplank.StoredFindings) (err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.away {
		return banyanplank.ErrUnavailable
	}
	m.writes++
	if m.writtenAt != nil {
		m.writtenAt[id] = time.Now()
	}
	if m.saved[id] = findings; len(findings.Findings) == 0 {
		delete(m.saved, id)
	}
	return nil
}

// counts returns the number of writes so far and that of the objects.
func (m *memoryFindings) counts() (writes, objects int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.writes, len(m.saved)
}

// find returns what an entry saved, and when it wrote last.
func (m *memoryFindings) find(id banyanplank.DaemonID) (findings banyanplank.StoredFindings, writtenAt time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.saved[id], m.writtenAt[id]
}

// restore replaces all objects by that of one entry.
func (m *memoryFindings) restore(id banyanplank.DaemonID, findings banyanplank.StoredFindings) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.saved = map[banyanplank.DaemonID]banyanplank.StoredFindings{id: findings}
}

func (m *memoryFindings) setAway(away bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.away = away
}

// startKeeper starts an entry that only keeps findings, and returns its crash tracker.
func startKeeper(ctx context.Context, group *conc.WaitGroup, id banyanplank.DaemonID, store banyanplank.FindingStore) (tracker *suspecter.CrashTracker) {
	return startKeeperDaemon(ctx, group, id, store).gateway.crashTracker
}

// startKeeperDaemon starts an entry that only keeps findings.
func startKeeperDaemon(ctx context.Context, group *conc.WaitGroup, id banyanplank.DaemonID, store banyanplank.FindingStore) (d *Daemon) {
	d = &Daemon{
		self: banyanplank.Member{ID: id}, findings: store, logger: logger.New(io.Discard),
		beater: beater.New(netip.AddrPort{}, nil, nil, nil), findingsChanged: make(chan struct{}, 1), follower: follower.New(nil, nil),
	}
	tracker := suspecter.NewCrashTracker(suspecter.WithUrgentHandler(d.sendUrgently))
	d.gateway = &Gateway{crashTracker: tracker, admission: newAdmission(balancer.New()), counters: newCounters()}
	group.Go(func() { _ = d.keepFindings(ctx) })
	return d
}

// TestFindingsAreSavedAgainInNewEra guards against findings that the store lost with its return
// from an older copy, so that a crashing part is sent again once all entries restart; against
// findings that were removed and are back in the copy; and against writes of all entries at one
// moment, or of those that have nothing in the store.
func TestFindingsAreSavedAgainInNewEra(t *testing.T) {
	const crashed = 6
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &memoryFindings{saved: make(map[banyanplank.DaemonID]banyanplank.StoredFindings), writtenAt: make(map[banyanplank.DaemonID]time.Time)}
		var group conc.WaitGroup
		ctx, kill := context.WithCancel(t.Context())
		var entries []*Daemon
		for i := range crashed + 2 {
			d := startKeeperDaemon(ctx, &group, banyanplank.DaemonID(fmt.Sprint("e", i)), store)
			entries = append(entries, d)
			if d.RecordEra(0, 1); i > crashed {
				continue // has no findings
			}
			part := []banyanplank.PartID{banyanplank.PartID(i + 1)}
			d.gateway.crashTracker.RecordBroken(time.Now(), suspecter.Run{Endpoint: "1", Parts: part, Began: time.Now().Add(-time.Second)})
			d.gateway.crashTracker.RecordDeath(time.Now(), "1", time.Time{})
		}
		time.Sleep(2 * settleTime)
		writes, objects := store.counts()
		is.Equal(writes, crashed+1)
		is.Equal(objects, crashed+1)
		removed := entries[crashed]
		older, _ := store.find(removed.self.ID)
		removed.gateway.crashTracker.RecordAnswered(time.Now(), []banyanplank.PartID{crashed + 1})
		time.Sleep(2 * settleTime)
		writes, objects = store.counts()
		is.Equal(writes, crashed+2)
		is.Equal(objects, crashed)

		store.restore(removed.self.ID, older)
		store.setAway(true) // for a moment
		returned := time.Now()
		for _, d := range entries {
			d.RecordEra(1, 2)
		}
		time.Sleep(settleTime)
		store.setAway(false)
		time.Sleep(3 * time.Second)
		after, objects := store.counts()
		is.Equal(after-writes, crashed+1) // one of each, and none of the last
		is.Equal(objects, crashed)
		back, _ := store.find(removed.self.ID)
		is.Equal(len(back.Findings), 0)
		moments := make(map[time.Duration]bool)
		for _, d := range entries[:crashed] {
			_, writtenAt := store.find(d.self.ID)
			after := writtenAt.Sub(returned)
			is.True(after > 0 && after <= settleTime+returnSpread+keepRetryInterval)
			moments[after.Truncate(time.Millisecond)] = true
		}
		is.True(len(moments) > 1)
		verdict, _ := entries[0].gateway.crashTracker.PartsVerdict(time.Now(), []banyanplank.PartID{1})
		is.Equal(verdict, suspecter.VerdictRefused) // as before
		kill()
		group.Wait()
	})
}

// TestFindingsSurviveRestartOfAllEntries guards against a crashing part that is sent again
// after all entries were killed at once, also if the store was away when it was found and
// when the entries started.
func TestFindingsSurviveRestartOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &memoryFindings{saved: make(map[banyanplank.DaemonID]banyanplank.StoredFindings)}
		bad, answered, suspect := []banyanplank.PartID{1}, []banyanplank.PartID{2}, []banyanplank.PartID{3}
		var group conc.WaitGroup
		ctx, kill := context.WithCancel(t.Context())
		entry := startKeeper(ctx, &group, "e1", store)
		startKeeper(ctx, &group, "e2", store)
		crash := func(id banyanplank.BackendID, parts ...[]banyanplank.PartID) {
			for _, p := range parts {
				entry.RecordBroken(time.Now(), suspecter.Run{Endpoint: id, Parts: p, Began: time.Now().Add(-time.Second)})
			}
			entry.RecordDeath(time.Now(), id, time.Time{})
		}
		store.setAway(true)
		crash("1", bad, answered)
		entry.RecordAnswered(time.Now(), answered)
		time.Sleep(40 * time.Second)
		crash("2", bad)
		time.Sleep(10 * time.Second)
		store.setAway(false)
		time.Sleep(2 * keepRetryInterval)
		crash("3", suspect)
		time.Sleep(2 * settleTime)
		writes, _ := store.counts()
		is.Equal(writes, 2)
		kill()
		group.Wait()

		store.setAway(true)
		ctx, kill = context.WithCancel(t.Context())
		restarted := startKeeper(ctx, &group, "e1", store)
		time.Sleep(5 * time.Second)
		store.setAway(false)
		time.Sleep(2 * keepRetryInterval)
		for part, want := range map[banyanplank.PartID]suspecter.Verdict{1: suspecter.VerdictRefused, 2: suspecter.VerdictAllowed, 3: suspecter.VerdictRefused} {
			verdict, _ := restarted.PartsVerdict(time.Now(), []banyanplank.PartID{part})
			is.Equal(verdict, want)
		}
		kill()
		group.Wait()

		time.Sleep(5 * time.Hour) // findings that no longer count are removed
		ctx, kill = context.WithCancel(t.Context())
		restarted = startKeeper(ctx, &group, "e3", store)
		time.Sleep(time.Second)
		verdict, _ := restarted.PartsVerdict(time.Now(), bad)
		is.Equal(verdict, suspecter.VerdictAllowed)
		_, objects := store.counts()
		is.Equal(objects, 0)
		kill()
		group.Wait()
	})
}

// TestLongerConvictionIsSavedAgain guards against a store that keeps a conviction that has
// ended while the entries hold one that lasts longer, and against a write at each look.
func TestLongerConvictionIsSavedAgain(t *testing.T) {
	is := is.New(t)
	conviction := func(age, remaining time.Duration) string {
		return summarize([]banyanplank.Finding{{Kind: banyanplank.FindingConvicted, Parts: []banyanplank.PartID{1}, Age: age, Remaining: remaining}})
	}
	is.Equal(conviction(time.Second, 10*time.Minute-time.Second), conviction(9*time.Minute, time.Minute))
	is.True(conviction(time.Second, 10*time.Minute) != conviction(time.Second, 20*time.Minute))
}
