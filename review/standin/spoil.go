package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/banyanplank/banyanplank"
)

// The sizes and times of the case of spoiled answers.
const (
	spoilServers = 4
	spoilClients = 20
	spoilEvents  = 10
	spoilGap     = 50 * time.Millisecond
	spoilTime    = 20 * time.Second
	// As the impairment garble of the users' sites: half of the servers spoil a fiftieth of
	// their answers.
	spoilShare = 0.02
	// routeTimeout is the timeout_ms of the route, and clientLimit the longer time limit of
	// the clients. An answer counts as missing answerSlack after routeTimeout.
	routeTimeout = 4 * time.Second
	clientLimit  = 8 * time.Second
	answerSlack  = 500 * time.Millisecond
)

func init() { cases["spoil"] = playSpoil }

// playSpoil lets half of the servers spoil some of their answers. The rule CONFIG is broken
// if of the requests without an answer at the route's timeout more than half have none half
// a second later.
func playSpoil(ctx context.Context, h *harness, calm bool) (broken int, err error) {
	h.putConfig(1, false, keptKey)
	serverCtx, cancelServers := context.WithCancel(ctx)
	defer cancelServers()
	var servers []*plainServer
	for i := range spoilServers {
		s, err := h.startServer(serverCtx, fmt.Sprintf("i-chat-%d", i), "chat", spoilEvents, spoilGap)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	var entries []*process
	for _, name := range []string{"entry-1", "entry-2"} {
		entry, err := h.startEntry(name, 0)
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
	if err := banyanplank.Sleep(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	if !calm {
		for _, s := range servers[:spoilServers/2] {
			s.spoils = spoilShare
		}
	}
	var mutex sync.Mutex
	whole, late, missing := 0, 0, 0
	ends := time.Now().Add(spoilTime)
	var clients conc.WaitGroup
	for i := range spoilClients {
		clients.Go(func() {
			for time.Now().Before(ends) && ctx.Err() == nil {
				began := time.Now()
				status, body, err := h.ask(ctx, entries[i%len(entries)], "/note/x", keptKey, clientLimit)
				lasted := time.Since(began)
				mutex.Lock()
				if err == nil && status == http.StatusOK && strings.Count(body, "id: ") == spoilEvents {
					whole++
				}
				if lasted > routeTimeout {
					late++
				}
				if lasted > routeTimeout+answerSlack {
					missing++
				}
				mutex.Unlock()
				_ = banyanplank.Sleep(ctx, 100*time.Millisecond)
			}
		})
	}
	clients.Wait()
	h.recordf("%d requests answered whole; %d without a final answer at the route's timeout, %d of them without one %s later", whole, late, missing, answerSlack)
	if whole == 0 {
		return 0, errors.New("no request was answered")
	}
	// No request is open any more: an entry has nothing to do.
	if err := banyanplank.Sleep(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	for _, entry := range entries {
		before := entry.processorTime()
		if err := banyanplank.Sleep(ctx, 2*time.Second); err != nil {
			return 0, err
		}
		h.recordf("%s takes %s of processor time in 2 s without any request", entry.name, entry.processorTime()-before)
	}
	if 2*missing > late {
		return missing, nil
	}
	return 0, nil
}
