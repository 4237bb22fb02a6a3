package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/standin/loopback"
)

// The sizes and times of the script on entries of another writer.
const (
	forgedServers  = 3
	forgedCalm     = 8 * time.Second
	forgedRecovery = 12 * time.Second
	forgedMeasured = 10 * time.Second
)

// playForged checks that most requests are served again after the final fault.
func playForged(ctx context.Context, r *rig) (broken bool, err error) {
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
	var forged []map[string]any
	for i := range forgedServers {
		address, err := loopback.Address()
		if err != nil {
			return false, err
		}
		d.work.Go(func() { d.runServer(i, address) })
		// The other writer leaves out the zone, the slots, the version and more.
		forged = append(forged, map[string]any{"service": "desk", "address": address, "state": "ready"})
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
	var asked, served atomic.Int64
	for i := range 6 {
		d.work.Go(func() { r.callCounted(ctx, i, entries, &asked, &served) })
	}
	measure := func(name string, length time.Duration) (share float64) {
		a, b := asked.Load(), served.Load()
		_ = banyanplank.Sleep(ctx, length)
		share = float64(served.Load()-b) / float64(max(1, asked.Load()-a))
		r.log("%s: %d asked, %d served", name, asked.Load()-a, served.Load()-b)
		return share
	}
	before := measure("calm", forgedCalm)
	if r.trouble {
		for i, fields := range forged {
			fields["born"] = time.Now().UnixMilli()
			r.log("another writer puts the entry copy-%d: %s", i, mustJSON(fields))
		}
		d.work.Go(func() {
			for ctx.Err() == nil {
				for i, fields := range forged {
					store.Put("servers", fmt.Sprintf("copy-%d", i), fields)
				}
				_ = banyanplank.Sleep(ctx, beatTime)
			}
		})
	}
	measure("before the final fault", 4*time.Second)
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
	measure("recovery", forgedRecovery)
	after := measure("after the recovery", forgedMeasured)
	if before < servedShare {
		return false, errors.New("too few requests were served before")
	}
	return after < servedShare, ctx.Err()
}

// callCounted makes one call after the other until ctx ends, and counts them.
func (r *rig) callCounted(ctx context.Context, caller int, entries []*entry, asked, served *atomic.Int64) {
	for n := 0; banyanplank.Sleep(ctx, 60*time.Millisecond) == nil; n++ {
		asked.Add(1)
		e, route := entries[n%len(entries)], [...]string{"hold", "look"}[caller%2]
		attempt := fmt.Sprintf("c%d-%d", caller, n)
		status := r.call(ctx, e, route, attempt, "body of "+attempt)
		if status == 200 {
			served.Add(1)
		} else if n%20 == 0 {
			r.log("%s %s at %s: status %d", route, attempt, e.name, status)
		}
	}
}
