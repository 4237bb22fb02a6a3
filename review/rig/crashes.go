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

// The sizes and times of the script on a request that crashes servers.
const (
	plainServers = 6
	workTime     = 20 * time.Millisecond
	// crashAfter is how long a server runs the crashing request until it ends, and
	// restartTime the time until it is back.
	crashAfter  = 400 * time.Millisecond
	restartTime = 2 * time.Second
	// crashInterval is the time after which the crashing request comes again, and boutTime
	// for how long it does.
	crashInterval = 300 * time.Millisecond
	boutTime      = 6 * time.Second
	// stability is the bound stability_ms.
	stability = 3 * time.Second
	// allowedRetries is the number of retries that the rule allows.
	allowedRetries = 3
	crashBody      = "crash"
)

// crashRun is a run of the crashing request. Its time of the crash is zero if another run of
// the request crashed the server before.
type crashRun struct{ reachedAt, crashedAt time.Time }

// desk is a plain service with a stand-in of its servers.
type desk struct {
	rig   *rig
	store *mimic.Store
	work  conc.WaitGroup
	ctx   context.Context

	mutex sync.Mutex
	runs  []*crashRun
	// crashes holds when the request has crashed a server, the earliest first.
	crashes []time.Time
	// cut counts the other requests that ran at a server when it crashed.
	cut int
}

// playCrashes checks that a request that has crashed three servers gets three retries at most.
func playCrashes(ctx context.Context, r *rig) (broken bool, err error) {
	store, storeAddress, err := r.startStore()
	if err != nil {
		return false, err
	}
	store.Put("config", "main", r.names.Plain)
	ctx, cancel := context.WithCancel(ctx)
	d := &desk{rig: r, store: store, ctx: ctx}
	r.onStop(func() {
		cancel()
		d.work.Wait()
	})
	for i := range plainServers {
		address, err := loopback.Address()
		if err != nil {
			return false, err
		}
		d.work.Go(func() { d.runServer(i, address) })
	}
	var entries []*entry
	for i, zone := range []string{"a", "b", "c"} {
		e, err := r.startEntry(fmt.Sprintf("entry-%d", i), zone, storeAddress, 0)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	if err := awaitAll(ctx, entries); err != nil {
		return false, err
	}
	var served atomic.Int64
	for i := range 3 {
		d.work.Go(func() { r.callDesk(ctx, i, entries, &served) })
	}
	if err := banyanplank.Sleep(ctx, stability+time.Second); err != nil {
		return false, err
	}
	d.crashBout(ctx, entries)
	if r.trouble {
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
	}
	// The machines are in touch, and all servers are back.
	if err := banyanplank.Sleep(ctx, stability+time.Second); err != nil {
		return false, err
	}
	d.crashBout(ctx, entries)
	if err := banyanplank.Sleep(ctx, crashAfter); err != nil {
		return false, err
	}
	retries, known := d.countRetries()
	r.log("%d other requests served, %d cut by a crash; %d retries of the crashing request", served.Load(), d.cut, retries)
	if !known || served.Load() == 0 {
		return false, errors.New("the request has not crashed three servers, or nothing was served")
	}
	return retries > allowedRetries, nil
}

// awaitAll waits until all entries accept callers.
func awaitAll(ctx context.Context, entries []*entry) (err error) {
	for _, e := range entries {
		if err := e.awaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// countRetries returns how many runs of the crashing request reached servers later than
// stability after it had crashed the third one, and whether it has crashed so many.
func (d *desk) countRetries() (count int, known bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.crashes) < 3 {
		return 0, false
	}
	third := d.crashes[2]
	for _, run := range d.runs {
		if run.reachedAt.After(third.Add(stability)) {
			count++
		}
	}
	return count, true
}

// runServer runs the lifetimes of a server one after the other at an address.
func (d *desk) runServer(index int, address netip.AddrPort) {
	for life := 1; d.ctx.Err() == nil; life++ {
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			d.rig.log("server %d: %v", index, err)
			return
		}
		s := &plainServer{desk: d, id: fmt.Sprintf("i-%d-%d", index, life)}
		s.ctx, s.crash = context.WithCancel(d.ctx)
		s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
		var work conc.WaitGroup
		work.Go(func() { _ = s.http.Serve(listener) })
		born := time.Now().UnixMilli()
		for sequence := 1; s.ctx.Err() == nil; sequence++ {
			fields := maps.Clone(d.rig.names.Server)
			fields["service"], fields["address"], fields["zone"], fields["born"] = "desk", address, string(rune('a'+index%3)), born
			fields["slots"], fields["sequence"] = 6, sequence
			d.store.Put("servers", s.id, fields)
			_ = banyanplank.Sleep(s.ctx, beatTime)
		}
		_ = s.http.Close()
		work.Wait()
		// Three missing writes end its entry.
		d.work.Go(func() {
			if banyanplank.Sleep(d.ctx, 3*beatTime) == nil {
				d.store.Delete("servers", s.id)
			}
		})
		_ = banyanplank.Sleep(d.ctx, restartTime)
	}
}

// plainServer is one lifetime of a server.
type plainServer struct {
	desk  *desk
	id    string
	ctx   context.Context
	crash context.CancelFunc
	http  *http.Server
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := &s.desk.rig.names
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	attempt := r.Header.Get(n.Attempt)
	w.Header().Set(n.Attempt, attempt)
	if r.Header.Get(n.Expect) != s.id {
		w.Header().Set(n.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if string(body) == crashBody {
		s.runCrashing(attempt)
	}
	if banyanplank.Sleep(s.ctx, workTime) != nil {
		s.desk.mutex.Lock()
		s.desk.cut++
		s.desk.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(n.Seal, s.id)
	// An error means that the entry has left.
	_, _ = io.WriteString(w, "answer to "+attempt+"\n")
}

// runCrashing runs the crashing request, which ends the server.
func (s *plainServer) runCrashing(attempt string) {
	d := s.desk
	run := &crashRun{reachedAt: time.Now()}
	d.mutex.Lock()
	d.runs = append(d.runs, run)
	d.mutex.Unlock()
	d.rig.log("%s runs the crashing request, attempt %s", s.id, attempt)
	if banyanplank.Sleep(s.ctx, crashAfter) == nil {
		d.mutex.Lock()
		run.crashedAt = time.Now()
		d.crashes = append(d.crashes, run.crashedAt)
		d.mutex.Unlock()
		d.rig.log("%s crashes", s.id)
		s.crash()
	}
	panic(http.ErrAbortHandler)
}

// crashBout sends the crashing request again and again.
func (d *desk) crashBout(ctx context.Context, entries []*entry) {
	var work conc.WaitGroup
	defer work.Wait()
	for began := time.Now(); time.Since(began) < boutTime; {
		e := entries[rand.IntN(len(entries))]
		work.Go(func() {
			attempt := fmt.Sprintf("crash-%x", rand.Uint32())
			d.rig.log("attempt %s of the crashing request to %s: status %d", attempt, e.name, d.rig.call(ctx, e, "look", attempt, crashBody))
		})
		if banyanplank.Sleep(ctx, crashInterval) != nil {
			return
		}
	}
}

// call makes a call and returns the status of its answer, or zero if it was cut.
func (r *rig) call(ctx context.Context, e *entry, route, attempt, body string) (status int) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller.String()+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host = r.names.Host
	request.Header.Set(r.names.Attempt, attempt)
	request.Header.Set(r.names.Deadline, "3000")
	request.Header.Set("Authorization", "Token kept")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// callDesk makes one sound call after the other until ctx ends: holds, which must not be
// repeated, and looks.
func (r *rig) callDesk(ctx context.Context, caller int, entries []*entry, served *atomic.Int64) {
	for n := 0; banyanplank.Sleep(ctx, 60*time.Millisecond) == nil; n++ {
		e, route := entries[rand.IntN(len(entries))], [...]string{"hold", "look"}[n%2]
		attempt := fmt.Sprintf("c%d-%d", caller, n)
		switch status := r.call(ctx, e, route, attempt, "body of "+attempt); {
		case status == http.StatusOK:
			served.Add(1)
		case route == "hold":
			r.log("%s %s at %s: status %d", route, attempt, e.name, status)
		}
	}
}
