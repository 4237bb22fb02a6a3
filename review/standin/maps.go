package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

// The times of the case of expert maps.
const (
	// burstTime is how long clients make requests, and pauseTime how long they make none.
	burstTime = 700 * time.Millisecond
	pauseTime = 7 * time.Second
	// eventsPerAnswer is the number of events of a stream.
	eventsPerAnswer = 5
	clientsPerBurst = 36
	mapsPlayTime    = 100 * time.Second
)

func init() { cases["maps"] = playMaps }

// playMaps lets clients come in bursts while orders to the ranks are left unanswered and
// carried out late. The rule MAP is broken by each pass that begins while ranks have
// different maps.
func playMaps(ctx context.Context, h *harness, _ bool) (broken int, err error) {
	ctx, cancel := context.WithTimeout(ctx, mapsPlayTime)
	defer cancel()
	free, err := loopback.Address()
	if err != nil {
		return 0, err
	}
	agentPort := free.Port()
	var groups []*rankGroup
	for i := range groupCount {
		g, err := startGroup(ctx, h, fmt.Sprintf("g%d", i), agentPort)
		if err != nil {
			return 0, err
		}
		groups = append(groups, g)
	}
	h.putConfig(1, true, "kept-key-0001")
	var entries []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		entry, err := h.startEntry(name, agentPort)
		if err != nil {
			return 0, err
		}
		entries = append(entries, entry)
	}
	for _, entry := range entries {
		if err := h.awaitReady(ctx, entry); err != nil {
			return 0, err
		}
	}
	served := 0
	for ctx.Err() == nil {
		for _, g := range groups {
			g.shiftTopic()
		}
		served += playBurst(ctx, h, entries)
		_ = banyanplank.Sleep(ctx, pauseTime)
	}
	changes := 0
	for _, g := range groups {
		g.mutex.Lock()
		h.recordf("group %s: %d passes, %d changes of map, %d of %d orders unanswered, %d passes with different maps", g.name, g.step, g.changes, g.unanswered, g.orders, g.mixed)
		changes += g.changes
		broken += g.mixed
		g.mutex.Unlock()
	}
	if served == 0 || changes == 0 {
		return 0, errors.New("no stream was served or no map was changed")
	}
	return broken, nil
}

// playBurst lets clients make requests for burstTime and returns how many were served.
func playBurst(ctx context.Context, h *harness, entries []*process) (served int) {
	ends := time.Now().Add(burstTime)
	var mutex sync.Mutex
	var work conc.WaitGroup
	for i := range clientsPerBurst {
		work.Go(func() {
			for time.Now().Before(ends) && ctx.Err() == nil {
				status, body, err := h.ask(ctx, entries[i%len(entries)], "/talk/x", "kept-key-0001", 8*time.Second)
				if err == nil && status == http.StatusOK && strings.Count(body, "\n\n") == eventsPerAnswer {
					mutex.Lock()
					served++
					mutex.Unlock()
					continue
				}
				_ = banyanplank.Sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	work.Wait()
	return served
}

// ask makes one request to an entry and reads the answer to its end.
func (h *harness) ask(ctx context.Context, entry *process, path, key string, limit time.Duration) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.caller.String()+path, strings.NewReader("question"))
	if err != nil {
		return 0, "", err
	}
	id := h.nextAttempt()
	request.Host = wire.Host
	request.Header.Set(wire.Attempt, id)
	request.Header.Set(wire.Deadline, strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set("Authorization", "Token "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		h.recordf("request %s to %s%s with key %s: %v", id, entry.name, path, key, err)
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	h.recordf("request %s to %s%s with key %s: status %d, %d bytes, error %v", id, entry.name, path, key, response.StatusCode, len(text), err)
	return response.StatusCode, string(text), err
}

// The groups of ranks: 4 ranks each, 2 sets of 16 experts.
const (
	groupCount    = 3
	rankCount     = 4
	setCount      = 2
	expertCount   = 16
	placeCount    = 6
	spareCount    = 2
	expertShare   = 0.85
	evenPassTime  = 55 * time.Millisecond
	copyTime      = 40 * time.Millisecond
	picksPerEvent = 40
)

// Late orders, as the impairment applied_late of the users' sites: the share of the orders
// that get no answer, how long the impairment lasts each time, the time until it comes again,
// and when such orders are carried out.
const (
	lateShare = 0.35
	lateTime  = 5500 * time.Millisecond
	latePause = 500 * time.Millisecond
	minLate   = 2 * time.Second
	lateRange = 10 * time.Second
)

// rankGroup is a group of ranks as the users' pages describe it.
type rankGroup struct {
	h          *harness
	name       string
	mutex      sync.Mutex
	ranks      []*rank
	step       uint64
	topic      int
	orders     int
	unanswered int
	changes    int
	mixed      int
}

// rank is one rank. Maps hold experts by set.
type rank struct {
	group           *rankGroup
	index           int
	id              string
	mapVersion      uint64
	experts         [][]int
	prepared        uint64
	preparedExperts [][]int
	loadedAt        time.Time
	highest         uint64
	armed           uint64
	armedStep       uint64
	held            uint64
	counts          []uint64
	streams         []*answer
}

// answer is one stream that a rank writes.
type answer struct {
	sent   int
	events chan int
}

// startGroup starts the ranks of a group, and an agent beside each of them.
func startGroup(ctx context.Context, h *harness, name string, agentPort uint16) (g *rankGroup, err error) {
	g = &rankGroup{h: h, name: name}
	for i := range rankCount {
		r := &rank{group: g, index: i, id: fmt.Sprintf("i-%s-rank-%d", name, i), counts: make([]uint64, setCount*expertCount)}
		for range setCount {
			var own []int
			for e := i; e < expertCount; e += rankCount {
				own = append(own, e)
			}
			r.experts = append(r.experts, own)
		}
		g.ranks = append(g.ranks, r)
		address, err := h.serve(r)
		if err != nil {
			return nil, err
		}
		agent := netip.AddrPortFrom(address.Addr(), agentPort)
		if _, err := h.start(fmt.Sprintf("agent-%s-%d", name, i), filepath.Join(h.args.Target, "banyanplank-agent"), "--listen", agent.String(), "--server", address.String()); err != nil {
			return nil, err
		}
		h.register(ctx, r.id, map[string]any{
			"service": "chat", "address": address.String(), "slots": 12,
			"group": map[string]any{"name": name, "epoch": 1, "rank": i, "state": "open"}, "size": rankCount,
		})
	}
	h.work.Go(func() { g.run(ctx) })
	return g, nil
}

// isLate decides whether an order gets no answer and is carried out late.
func (g *rankGroup) isLate() bool {
	sinceBegin := time.Since(g.h.startedAt) % (lateTime + latePause)
	return !g.h.args.Calm && sinceBegin < lateTime && g.h.float() < lateShare
}

// shiftTopic has other experts be in demand.
func (g *rankGroup) shiftTopic() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.topic += 5
}

// weight returns how much of the demand of a set an expert has. A few have most of it.
func (g *rankGroup) weight(set, expert int) float64 {
	position := (expert*rankCount + g.topic + 3*set) % expertCount
	return 1 / float64(1+position)
}

// run begins passes until ctx ends. A group without streams makes none.
func (g *rankGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause, began := g.beginPass()
		if !began {
			pause = 2 * time.Millisecond
		}
		if banyanplank.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// beginPass begins the next pass, unless the group is idle or some rank holds the pass. It
// returns how long the pass takes.
func (g *rankGroup) beginPass() (duration time.Duration, began bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	running := 0
	for _, r := range g.ranks {
		running += len(r.streams)
	}
	if running == 0 || slices.ContainsFunc(g.ranks, func(r *rank) bool { return r.held == g.step+1 }) {
		return 0, false
	}
	g.step++
	changed := false
	for _, r := range g.ranks {
		if r.armed != 0 && r.armedStep == g.step {
			r.mapVersion, r.experts, r.armed, r.prepared = r.armed, r.preparedExperts, 0, 0
			changed = true
		}
	}
	if changed {
		g.changes++
	}
	versions := make([]uint64, rankCount)
	for i, r := range g.ranks {
		versions[i] = r.mapVersion
	}
	if changed || slices.Max(versions) != slices.Min(versions) {
		g.h.recordf("%s: pass %d begins with maps %v", g.name, g.step, versions)
	}
	if slices.Max(versions) != slices.Min(versions) {
		g.mixed++
		g.h.recordf("MAP broken: %s: pass %d begins while ranks have different maps %v", g.name, g.step, versions)
	}
	for _, r := range g.ranks {
		g.advance(r)
	}
	return time.Duration(float64(evenPassTime) * (1 - expertShare + expertShare*g.skew())), true
}

// advance has a rank write one event of each of its streams.
func (g *rankGroup) advance(r *rank) {
	for set := range setCount {
		total := 0.0
		for e := range expertCount {
			total += g.weight(set, e)
		}
		for e := range expertCount {
			r.counts[set*expertCount+e] += uint64(float64(len(r.streams)) * picksPerEvent * g.weight(set, e) / total)
		}
	}
	r.streams = slices.DeleteFunc(r.streams, func(a *answer) bool {
		a.sent++
		a.events <- a.sent
		if a.sent == eventsPerAnswer {
			close(a.events)
		}
		return a.sent == eventsPerAnswer
	})
}

// skew returns the load of the most loaded rank divided by the mean, averaged over the sets.
func (g *rankGroup) skew() (skew float64) {
	for set := range setCount {
		copies := make([]int, expertCount)
		for _, r := range g.ranks {
			for _, e := range r.experts[set] {
				copies[e]++
			}
		}
		total, most := 0.0, 0.0
		for _, r := range g.ranks {
			load := 0.0
			for _, e := range r.experts[set] {
				load += g.weight(set, e) / float64(copies[e])
			}
			total += load
			most = max(most, load)
		}
		skew += most * rankCount / total / setCount
	}
	return skew
}
