package gateway

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/banyanplank/banyanplank"
)

// Times of [returnScript].
const (
	// modelRewriteTime is the time in which what a store has lost is written again.
	modelRewriteTime = 1500 * time.Millisecond
	// modelCalm is the time without events after which entries have the state of the world, and
	// modelLapse the one after which that includes endpoints that have ended unheard.
	modelCalm  = modelRewriteTime + configurationBound
	modelLapse = lapseTime + configurationBound
	// modelAnswered is the time after which an entry that the store answers again counts as
	// answered: a call that is not answered takes up to 1.7 s, and a backoff 2 s.
	modelAnswered = 5 * time.Second
)

// returnStep is one event of a [returnScript].
type returnStep struct {
	Kind string
	// Which is the number of an entry, an endpoint or a zone.
	Which int
	// Outage is how long the store is away, Age the age of its copy, and Pause the time to the next
	// step.
	Outage, Age, Pause time.Duration
}

// returnScript is a run of a fleet. After each group of steps it is calm.
type returnScript struct {
	Entries      map[banyanplank.Zone]int
	Latency, Lag time.Duration
	Seed         uint64
	Groups       [][]returnStep
}

// drawReturnScript draws a script.
func drawReturnScript(t *rapid.T) (s returnScript) {
	step := rapid.Custom(func(t *rapid.T) returnStep {
		ms := func(name string, values ...int) time.Duration {
			return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
		}
		return returnStep{
			Kind: rapid.SampledFrom([]string{"configure", "start", "leaving", "end", "zone out", "zone back", "away", "copy", "copy", "copy",
				"silent", "answer", "cut to", "cut from", "cut zone", "heal"}).Draw(t, "kind"),
			Which:  rapid.IntRange(0, 6).Draw(t, "which"),
			Outage: ms("outage", 0, 0, 40, 300, 900, 1600),
			Age:    ms("age", 0, 100, 600, 2000, 5000),
			Pause:  ms("pause", 0, 20, 150, 700, 1500),
		}
	})
	return returnScript{
		Entries: rapid.SampledFrom([]map[banyanplank.Zone]int{smallFleet, {"a": 2}, {"a": 1, "b": 1, "c": 1}, {"a": 4, "b": 3}}).Draw(t, "entries"),
		Latency: rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 150 * time.Millisecond}).Draw(t, "latency"),
		Lag:     rapid.SampledFrom([]time.Duration{0, time.Second, 3 * time.Second}).Draw(t, "lag"),
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Groups:  rapid.SliceOfN(rapid.SliceOfN(step, 1, 6), 1, 3).Draw(t, "groups"),
	}
}

// returnModel plays a [returnScript] and checks it.
type returnModel struct {
	returnTest
	script returnScript
	random *rand.Rand
	// answeredSince is the time since which the store answers an entry, or zero if it doesn't.
	answeredSince map[banyanplank.DaemonID]time.Time
	seen          map[banyanplank.DaemonID]*seenState
	events        []string
	failure       string
}

// seenState is the latest state of an entry.
type seenState struct {
	version   uint64
	positions map[banyanplank.Topic]banyanplank.Position
	// retired holds the births of endpoints that the entry knew to leave or to have ended.
	retired map[banyanplank.BackendID]time.Time
	known   map[banyanplank.BackendID]time.Time
}

// fail records the first failure.
func (m *returnModel) fail(format string, arguments ...any) {
	if m.failure == "" {
		m.failure = fmt.Sprintf("%s: ", time.Since(m.start)) + fmt.Sprintf(format, arguments...)
	}
}

// pause lets time pass and checks what must hold at any time.
func (m *returnModel) pause(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(20*time.Millisecond, time.Until(end))) {
		for _, d := range m.daemons {
			m.observe(d)
		}
	}
}

// observe checks that an entry doesn't go back.
func (m *returnModel) observe(d *Daemon) {
	seen, snapshot := m.seen[d.self.ID], d.snapshot.Load()
	if version := snapshot.Router.Table().Version; version < seen.version {
		m.fail("%s goes back from version %d to %d", d.self.ID, seen.version, version)
	} else {
		seen.version = version
	}
	for topic, position := range snapshot.Positions {
		if position.IsBefore(seen.positions[topic]) {
			m.fail("%s goes back from %s to %s in %s", d.self.ID, seen.positions[topic], position, topic)
		}
	}
	seen.positions = snapshot.Positions
	listed := make(map[banyanplank.BackendID]bool)
	for _, b := range snapshot.Backends {
		listed[b.ID] = true
		switch retired, ok := seen.retired[b.ID]; {
		case b.Leaving:
			seen.retired[b.ID] = b.Born
		case ok && !b.Born.After(retired) && m.isAnswered(d.self.ID):
			m.fail("%s uses %s of %d again", d.self.ID, b.ID, b.Born.Unix())
		}
		seen.known[b.ID] = b.Born
	}
	for id, born := range seen.known {
		truth, ok := m.world.get(banyanplank.TopicBackends, string(id)).(banyanplank.Backend)
		if !listed[id] && (!ok || truth.Born.After(born)) {
			seen.retired[id] = born
		}
	}
}

// delay returns the time after which an entry is written again.
func (m *returnModel) delay(banyanplank.Topic, string) time.Duration {
	return time.Duration(m.random.Int64N(int64(modelRewriteTime)))
}

// play plays a step.
func (m *returnModel) play(step returnStep) {
	m.events = append(m.events, fmt.Sprintf("%s %+v", time.Since(m.start), step))
	entry := m.daemons[step.Which%len(m.daemons)].self
	endpoint := []banyanplank.BackendID{"x", "y", "z", "u", "v", "w", "t"}[step.Which]
	zone := []banyanplank.Zone{"a", "b", "c"}[step.Which%3]
	switch step.Kind {
	case "configure":
		m.world.configure()
	case "start":
		m.world.start(endpoint)
	case "leaving":
		m.world.announceLeaving(endpoint)
	case "end":
		m.world.end(endpoint)
	case "zone out", "zone back":
		m.world.setZoneOut(zone, step.Kind == "zone out")
	case "away", "copy":
		copied := time.Now().Add(-step.Age)
		if step.Outage > 0 {
			m.store.leave()
			m.pause(step.Outage)
		}
		if step.Kind == "copy" {
			m.world.returnFromCopy(copied, m.delay)
		} else {
			m.world.returnAsLeft(m.delay)
		}
	case "silent":
		m.answeredSince[entry.ID] = time.Time{}
		m.updateSilent()
	case "answer":
		for id, since := range m.answeredSince {
			if since.IsZero() {
				m.answeredSince[id] = time.Now()
			}
		}
		m.updateSilent()
	case "cut to":
		m.setCut(func(_, to banyanplank.DaemonID) bool { return to == entry.ID })
	case "cut from":
		m.setCut(func(from, _ banyanplank.DaemonID) bool { return from == entry.ID })
	case "cut zone":
		m.setCut(func(from, to banyanplank.DaemonID) bool {
			return from[0] != to[0] && (banyanplank.Zone(from[:1]) == zone || banyanplank.Zone(to[:1]) == zone)
		})
	case "heal":
		m.setCut(func(_, _ banyanplank.DaemonID) bool { return false })
	}
	m.pause(step.Pause)
}

// updateSilent sets which entries the store doesn't answer.
func (m *returnModel) updateSilent() {
	var silent []banyanplank.DaemonID
	for id, since := range m.answeredSince {
		if since.IsZero() {
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	m.store.setSilent(silent...)
}

// isAnswered reports whether the store answers an entry for long enough.
func (m *returnModel) isAnswered(id banyanplank.DaemonID) (ok bool) {
	since := m.answeredSince[id]
	return !since.IsZero() && time.Since(since) >= modelAnswered
}

// check checks that the entries that the store answers have the state of the world.
func (m *returnModel) check(haveLapsed bool) {
	for _, d := range m.daemons {
		if text := m.difference(d.self.ID, m.world, haveLapsed); text != "" && m.isAnswered(d.self.ID) {
			m.fail("%s differs:%s", d.self.ID, text)
		}
	}
}

// playReturnScript plays a script and returns what was wrong.
func playReturnScript(t *testing.T, script returnScript) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(script.Entries)
		f.store.setEra(1)
		m := &returnModel{
			returnTest:    returnTest{f, t, newTestWorld(f.store), time.Now()},
			script:        script,
			random:        rand.New(rand.NewPCG(script.Seed, 0)),
			answeredSince: make(map[banyanplank.DaemonID]time.Time),
			seen:          make(map[banyanplank.DaemonID]*seenState),
		}
		for _, id := range []banyanplank.BackendID{"x", "y", "z"} {
			m.world.start(id)
		}
		f.run(t, func() {
			time.Sleep(3 * time.Second)
			f.store.setLatency(script.Latency)
			f.store.setLag(script.Lag)
			for _, d := range f.daemons {
				m.answeredSince[d.self.ID] = m.start
				m.seen[d.self.ID] = &seenState{retired: make(map[banyanplank.BackendID]time.Time), known: make(map[banyanplank.BackendID]time.Time)}
			}
			m.pause(3 * time.Second)
			for _, group := range script.Groups {
				for _, step := range group {
					m.play(step)
				}
				m.pause(modelCalm)
				m.check(false)
				m.pause(modelLapse - modelCalm)
				m.check(true)
			}
			m.world.stop()
		})
		if m.failure != "" {
			failure = fmt.Sprintf("%s\nentries %v, latency %s, lag %s, seed %d\n%s", m.failure, script.Entries, script.Latency, script.Lag, script.Seed, fmt.Sprint(m.events))
		}
	})
	return failure
}

// TestFleetKeepsStateOverReturns guards against any order of returns from older copies, absences,
// changes and cut paths after which an entry that the store answers lacks a change for good, or in
// which one goes back to a state that was replaced.
func TestFleetKeepsStateOverReturns(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if failure := playReturnScript(t, drawReturnScript(rt)); failure != "" {
			rt.Fatal(failure)
		}
	})
}
