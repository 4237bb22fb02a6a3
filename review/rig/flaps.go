package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

// The sizes and times of the script on a rank that goes down and up.
const (
	flapRanks   = 10
	flapCallers = 60
	// flapping is the number of ranks that go down and up together.
	flapping    = 1
	flapEntries = 7
	// stallTime is how long work of a broken group stalls, and formTime the time from the
	// return of all ranks until the group opens.
	stallTime = 1500 * time.Millisecond
	formTime  = 600 * time.Millisecond
	// firstEventTime is the time until a stream begins.
	firstEventTime = 100 * time.Millisecond
	flapEvents     = 25
	// flapPeriod is the time from one end of the rank to the next, and flapTime for how long
	// it goes down and up.
	flapPeriod = 1100 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
	calmTime   = 12 * time.Second
	// recoveryTime is the bound recovery_s, and measuredTime the time measured after it.
	recoveryTime = 15 * time.Second
	measuredTime = 12 * time.Second
	// callerPatience is the gap after which a caller abandons a stream.
	callerPatience = 2 * time.Second
	servedShare    = 0.25
)

// flapGroup is a group of ranks that answers while all of them are up.
type flapGroup struct {
	rig   *rig
	store *mimic.Store
	ctx   context.Context
	work  conc.WaitGroup

	mutex  sync.Mutex
	down   int
	epoch  int
	step   uint64
	openAt time.Time
	// lost is the rank that went down last.
	lost string
}

// isOpen reports whether the group makes passes.
func (g *flapGroup) isOpen() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.down == 0 && time.Now().After(g.openAt)
}

// setDown records that one more rank is down, or is back.
func (g *flapGroup) setDown(change int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.down += change
	if g.down == 0 {
		g.openAt = time.Now().Add(formTime)
		g.epoch++
	}
}

// membership returns where a rank is in the group.
func (g *flapGroup) membership(i int) (fields map[string]any) {
	state := "broken"
	if g.isOpen() {
		state = "open"
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return map[string]any{"name": "g", "epoch": g.epoch, "rank": i, "state": state}
}

// flapRank is one lifetime of a rank.
type flapRank struct {
	group *flapGroup
	rank  int
	id    string
	ctx   context.Context
	crash context.CancelFunc
	http  *http.Server
}

// startRank starts a lifetime of a rank at an address.
func (g *flapGroup) startRank(index, life int, address netip.AddrPort) (s *flapRank, err error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, err
	}
	s = &flapRank{group: g, rank: index, id: fmt.Sprintf("i-%d-%d", index, life)}
	s.ctx, s.crash = context.WithCancel(g.ctx)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	g.work.Go(func() { _ = s.http.Serve(listener) })
	born := time.Now().UnixMilli()
	g.work.Go(func() {
		for sequence := 1; s.ctx.Err() == nil; sequence++ {
			fields := maps.Clone(g.rig.names.Server)
			fields["service"], fields["address"], fields["zone"], fields["born"] = "llm", address, string(rune('a'+index%3)), born
			fields["sequence"], fields["group"] = sequence, g.membership(index)
			g.store.Put("servers", s.id, fields)
			_ = banyanplank.Sleep(s.ctx, beatTime)
		}
		_ = s.http.Close()
		// Three missing writes end its entry.
		if banyanplank.Sleep(g.ctx, 3*beatTime) == nil {
			g.store.Delete("servers", s.id)
		}
	})
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *flapRank) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n, g := &s.group.rig.names, s.group
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case n.Report:
		g.mutex.Lock()
		step := g.step
		g.mutex.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(mustJSON(map[string]any{"stage": "both", "group": g.membership(s.rank), "size": flapRanks, "step": step, "map": 0, "pace": 1.0}))
		return
	case n.Picked, n.Order:
		w.WriteHeader(http.StatusConflict) // the maps of the group are not played
		return
	}
	attempt := r.Header.Get(n.Attempt)
	w.Header().Set(n.Attempt, attempt)
	if r.Header.Get(n.Expect) != s.id {
		w.Header().Set(n.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	seen, err := strconv.Atoi(r.Header.Get(n.Seen))
	if err != nil {
		seen = 0 // a new stream
	}
	if !s.await(r.Context(), firstEventTime) {
		g.mutex.Lock()
		w.Header().Set(n.Fault, g.lost)
		g.mutex.Unlock()
		w.Header().Set(n.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(n.Seal, s.id)
	w.Header().Set("Content-Type", "text/event-stream")
	for id := seen + 1; id <= flapEvents; id++ {
		if id > seen+1 && !s.await(r.Context(), passTime) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, attempt); err != nil || http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// await waits until the group has worked for a time. It returns false once the group has
// stalled for stallTime. It ends the request if the rank crashes or the caller leaves.
func (s *flapRank) await(ctx context.Context, work time.Duration) (ok bool) {
	const tick = 10 * time.Millisecond
	for stalled := time.Duration(0); work > 0; {
		if ctx.Err() != nil || banyanplank.Sleep(s.ctx, tick) != nil {
			panic(http.ErrAbortHandler)
		}
		if s.group.isOpen() {
			work, stalled = work-tick, 0
		} else if stalled += tick; stalled >= stallTime {
			return false
		}
	}
	return true
}

// playFlaps checks that most requests are served again after the final fault.
func playFlaps(ctx context.Context, r *rig) (broken bool, err error) {
	store, storeAddress, err := r.startStore()
	if err != nil {
		return false, err
	}
	store.Put("config", "main", r.names.Config)
	ctx, cancel := context.WithCancel(ctx)
	g := &flapGroup{rig: r, store: store, ctx: ctx, epoch: 1}
	r.onStop(func() {
		cancel()
		g.work.Wait()
	})
	addresses := make([]netip.AddrPort, flapRanks)
	var flappers [flapping]*flapRank
	for i := range addresses {
		if addresses[i], err = loopback.Address(); err != nil {
			return false, err
		}
		s, err := g.startRank(i, 1, addresses[i])
		if err != nil {
			return false, err
		}
		if i < flapping {
			flappers[i] = s
		}
	}
	g.work.Go(func() {
		for banyanplank.Sleep(ctx, passTime) == nil {
			if g.isOpen() {
				g.mutex.Lock()
				g.step++
				g.mutex.Unlock()
			}
		}
	})
	var entries []*entry
	for i := range flapEntries {
		e, err := r.startEntry(fmt.Sprintf("entry-%d", i), string(rune('a'+i%3)), storeAddress, 0)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	if err := awaitAll(ctx, entries); err != nil {
		return false, err
	}
	var asked, served atomic.Int64
	for i := range flapCallers {
		g.work.Go(func() { r.callShared(ctx, i, entries, &asked, &served) })
	}
	measure := func(name string, length time.Duration) (share float64) {
		a, b := asked.Load(), served.Load()
		_ = banyanplank.Sleep(ctx, length)
		share = float64(served.Load()-b) / float64(max(1, asked.Load()-a))
		r.log("%s: %d asked, %d served", name, asked.Load()-a, served.Load()-b)
		return share
	}
	before := measure("calm", calmTime)
	if r.trouble {
		if err := g.flap(&flappers, addresses); err != nil {
			return false, err
		}
	} else {
		measure("calm", flapTime)
	}
	r.log("all entries are killed")
	for _, e := range entries {
		e.signalKill()
	}
	for _, e := range entries {
		e.kill()
		if err := e.start(); err != nil {
			return false, err
		}
	}
	if err := awaitAll(ctx, entries); err != nil {
		return false, err
	}
	measure("recovery", recoveryTime)
	after := measure("after the recovery", measuredTime)
	if before < servedShare {
		return false, errors.New("too few requests were served before")
	}
	return after < servedShare, ctx.Err()
}

// flap has the ranks go down and up together, each time as new lifetimes.
func (g *flapGroup) flap(ranks *[flapping]*flapRank, addresses []netip.AddrPort) (err error) {
	life := 1
	for began := time.Now(); time.Since(began) < flapTime; {
		for _, s := range ranks {
			g.mutex.Lock()
			g.lost = s.id
			g.mutex.Unlock()
			g.setDown(1)
			s.crash()
			_ = s.http.Close()
		}
		g.rig.log("%d ranks go down", flapping)
		if err := banyanplank.Sleep(g.ctx, flapPeriod/2); err != nil {
			return err
		}
		life++
		for i := range ranks {
			if ranks[i], err = g.startRank(i, life, addresses[i]); err != nil {
				return err
			}
			g.setDown(-1)
		}
		g.rig.log("they are up")
		if err := banyanplank.Sleep(g.ctx, flapPeriod/2); err != nil {
			return err
		}
	}
	return nil
}

// callShared calls streams whose prompts share the first part, and have one of their own. It
// comes back once after a refusal, when it is told to.
func (r *rig) callShared(ctx context.Context, caller int, entries []*entry, asked, served *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for call := 0; banyanplank.Sleep(ctx, 200*time.Millisecond+rand.N(600*time.Millisecond)) == nil; call++ {
		asked.Add(1)
		for try := range 2 {
			after, ok := r.callStream(ctx, client, entries[rand.IntN(len(entries))], fmt.Sprintf("c%d-%d-%d", caller, call, try), fmt.Sprintf("question %d of %d", call, caller))
			if ok {
				served.Add(1)
				break
			}
			if banyanplank.Sleep(ctx, min(after, 2600*time.Millisecond)) != nil {
				return
			}
		}
	}
}

// callStream calls one stream. If it isn't served, it returns when to come back.
func (r *rig) callStream(ctx context.Context, client *http.Client, e *entry, attempt, body string) (after time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
	defer cancel()
	patience := time.AfterFunc(callerPatience, cancel)
	defer patience.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller.String()+"/talk/x", strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	request.Host = r.names.Host
	request.Header.Set(r.names.Attempt, attempt)
	request.Header.Set(r.names.Deadline, "8000")
	request.Header.Set(r.names.Model, "m")
	request.Header.Set(r.names.Counts, "700,150")
	request.Header.Set(r.names.Prefix, fmt.Sprintf("5c1e07a2:40,%x:660", rand.Uint32()))
	request.Header.Set("Authorization", "Token kept")
	response, err := client.Do(request)
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	for buffer := make([]byte, 4096); ; {
		_, err := response.Body.Read(buffer)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return 0, false
		}
		patience.Reset(callerPatience)
	}
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0 // it has none
	}
	return time.Duration(seconds * float64(time.Second)), response.StatusCode == http.StatusOK
}
