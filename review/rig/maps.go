package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
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

// The times of the script on expert maps.
const (
	// troubleAfter is the time from which on one answer is wrong.
	troubleAfter = 10 * time.Second
	// lateTime is after how long an order without an answer is carried out.
	lateTime = 6 * time.Second
	// mapsTime is the length of the script.
	mapsTime = 40 * time.Second
	// mapsCallers is the number of streams that run at once, each of eventsPerStream events.
	mapsCallers     = 8
	eventsPerStream = 30
	// beatTime is the time between two writes of a server into the store.
	beatTime = 1200 * time.Millisecond
)

// modelServer is one rank of the group, reached over HTTP.
type modelServer struct {
	rig     *rig
	group   *group
	rank    int
	id      string
	address netip.AddrPort
	// spoiled is shared by all servers: it is set once one answer has been wrong.
	spoiled *atomic.Bool
	// withExtra selects whether the order that is left unanswered meets an extra answer.
	withExtra bool
}

// playMaps checks that no pass begins while two ranks have different maps.
func playMaps(ctx context.Context, r *rig) (broken bool, err error) {
	store, storeAddress, err := r.startStore()
	if err != nil {
		return false, err
	}
	store.Put("config", "main", r.names.Config)
	g := newGroup(r)
	agentPort, err := r.startServers(store, g)
	if err != nil {
		return false, err
	}
	var entries []*entry
	for i, zone := range []string{"a", "b", "c"} {
		e, err := r.startEntry(fmt.Sprintf("entry-%d", i), zone, storeAddress, agentPort)
		if err != nil {
			return false, err
		}
		entries = append(entries, e)
	}
	for _, e := range entries {
		if err := e.awaitReady(ctx); err != nil {
			return false, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, mapsTime)
	defer cancel()
	var work conc.WaitGroup
	work.Go(func() {
		for banyanplank.Sleep(ctx, passTime) == nil {
			g.beginPass()
		}
	})
	var served atomic.Int64
	for i := range mapsCallers {
		work.Go(func() { r.callStreams(ctx, i, entries, &served) })
	}
	work.Wait()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	r.log("%d streams served, %d passes, %d switches of the map, %d passes with different maps", served.Load(), g.step, g.switches, g.mixed)
	if served.Load() == 0 || g.switches == 0 {
		return false, errors.New("no stream was served, or no map was switched")
	}
	return g.mixed > 0, nil
}

// startServers starts the servers of the group and an agent beside each.
func (r *rig) startServers(store *mimic.Store, g *group) (agentPort uint16, err error) {
	spoiled := &atomic.Bool{}
	var addresses [groupRanks]netip.AddrPort
	for i := range addresses {
		if addresses[i], err = loopback.Address(); err != nil {
			return 0, err
		}
	}
	if agentPort, err = freePort(addresses[:]); err != nil {
		return 0, err
	}
	for i, address := range addresses {
		s := &modelServer{rig: r, group: g, rank: i, id: fmt.Sprintf("i-%d", i), address: address, spoiled: spoiled, withExtra: os.Getenv("EXTRA") != "0"}
		if err := s.serve(store); err != nil {
			return 0, err
		}
		agent := &process{rig: r, name: fmt.Sprintf("agent-%d", i), arguments: []string{
			filepath.Join(r.program, "banyanplank-agent"), "--listen", netip.AddrPortFrom(address.Addr(), agentPort).String(),
			"--server", address.String(), "--memory", "152000000", "--descriptors", "2048",
		}}
		if err := agent.start(); err != nil {
			return 0, err
		}
		r.onStop(agent.kill)
	}
	return agentPort, nil
}

// freePort returns a port that is free at the hosts of all addresses.
func freePort(addresses []netip.AddrPort) (port uint16, err error) {
	for range 20 {
		port = uint16(20000 + rand.IntN(10000))
		for _, a := range addresses {
			var listener net.Listener
			if listener, err = net.Listen("tcp", netip.AddrPortFrom(a.Addr(), port).String()); err != nil {
				break
			}
			_ = listener.Close()
		}
		if err == nil {
			return port, nil
		}
	}
	return 0, err
}

// serve listens, and keeps the server registered in the store.
func (s *modelServer) serve(store *mimic.Store) (err error) {
	listener, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var work conc.WaitGroup
	var mutex sync.Mutex
	conns := make(map[net.Conn]bool)
	s.rig.onStop(func() {
		cancel()
		_ = listener.Close()
		mutex.Lock()
		for c := range conns {
			_ = c.Close()
		}
		mutex.Unlock()
		work.Wait()
	})
	born := time.Now().UnixMilli()
	work.Go(func() {
		for sequence := 1; ; sequence++ {
			fields := maps.Clone(s.rig.names.Server)
			fields["service"], fields["address"], fields["zone"], fields["born"] = "llm", s.address, string(rune('a'+s.rank%3)), born
			fields["sequence"], fields["group"] = sequence, s.group.membership(s.rank)
			store.Put("servers", s.id, fields)
			if banyanplank.Sleep(ctx, beatTime) != nil {
				return
			}
		}
	})
	work.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mutex.Lock()
			conns[c] = true
			mutex.Unlock()
			work.Go(func() {
				s.serveConn(ctx, c)
				_ = c.Close()
				mutex.Lock()
				delete(conns, c)
				mutex.Unlock()
			})
		}
	})
	return nil
}

// channel is a channel to a server, with the answer that was sent last on it.
type channel struct {
	net.Conn
	lastOp     string
	lastAnswer []byte
}

// serveConn answers the requests of a channel.
func (s *modelServer) serveConn(ctx context.Context, c net.Conn) {
	reader := bufio.NewReader(c)
	ch := &channel{Conn: c}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		keep := false
		switch path := request.URL.Path; path {
		case s.rig.names.Report:
			keep = ch.answer("", jsonAnswer(http.StatusOK, s.group.report(s.rank)))
		case s.rig.names.Picked:
			keep = ch.answer("", jsonAnswer(http.StatusOK, s.group.picked(s.rank, request.URL.Query().Has("lists"))))
		case s.rig.names.Order:
			keep = s.answerOrder(ch, body)
		default:
			keep = s.answerStream(ctx, ch, request)
		}
		if !keep {
			return
		}
	}
}

// jsonAnswer returns an answer of the server.
func jsonAnswer(status int, value any) (answer []byte) {
	body := mustJSON(value)
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// answer sends an answer and remembers it.
func (c *channel) answer(op string, answer []byte) (ok bool) {
	c.lastOp, c.lastAnswer = op, answer
	_, err := c.Write(answer)
	return err == nil
}

// answerOrder carries out an order. Once, an order to arm is carried out late and gets no
// answer, and the answer to the hold before it comes a second time, at the point where the
// next answer is due.
func (s *modelServer) answerOrder(ch *channel, body []byte) (keep bool) {
	o, err := decodeOrder(body)
	if err != nil {
		return ch.answer("", jsonAnswer(http.StatusBadRequest, map[string]any{}))
	}
	if s.rig.trouble && time.Since(s.rig.begin) > troubleAfter && o.Op == "arm" && ch.lastOp == "hold" && s.spoiled.CompareAndSwap(false, true) {
		s.rig.log("rank %d leaves %s of map %d for pass %d without an answer, to be carried out in %v", s.rank, o.Op, o.Version, o.Step, lateTime)
		time.AfterFunc(lateTime, func() {
			s.rig.log("rank %d carries out %s of map %d for pass %d: status %d", s.rank, o.Op, o.Version, o.Step, s.group.execute(s.rank, o))
		})
		if s.withExtra {
			s.rig.log("rank %d sends its answer to %s a second time: %q", s.rank, ch.lastOp, bytes.SplitN(ch.lastAnswer, []byte("\r\n"), 2)[0])
			return ch.answer("", ch.lastAnswer)
		}
		return true
	}
	status := s.group.execute(s.rank, o)
	s.rig.log("rank %d: %s, map %d, pass %d: status %d", s.rank, o.Op, o.Version, o.Step, status)
	return ch.answer(o.Op, jsonAnswer(status, map[string]any{}))
}

// answerStream answers a request with one event a pass.
func (s *modelServer) answerStream(ctx context.Context, ch *channel, request *http.Request) (keep bool) {
	n := &s.rig.names
	attempt := request.Header.Get(n.Attempt)
	if request.Header.Get(n.Expect) != s.id {
		_, err := fmt.Fprintf(ch, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", n.Attempt, attempt, n.NotRun)
		return err == nil
	}
	steps := make(chan uint64, 4)
	s.group.mutex.Lock()
	s.group.ranks[s.rank].streams[steps] = true
	s.group.mutex.Unlock()
	defer func() {
		s.group.mutex.Lock()
		delete(s.group.ranks[s.rank].streams, steps)
		s.group.mutex.Unlock()
	}()
	seen, err := strconv.Atoi(request.Header.Get(n.Seen))
	if err != nil {
		seen = 0 // a new stream
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", n.Attempt, attempt, n.Seal, s.id)
	for id := seen + 1; id <= eventsPerStream; id++ {
		select {
		case <-ctx.Done():
			return false
		case step := <-steps:
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", id, attempt, step)
			if _, err := fmt.Fprintf(ch, "%s%x\r\n%s\r\n", head, len(event), event); err != nil {
				return false
			}
			head = ""
		}
	}
	_, err = fmt.Fprintf(ch, "%s0\r\n\r\n", head)
	return err == nil
}

// callStreams calls one stream after the other until ctx ends.
func (r *rig) callStreams(ctx context.Context, caller int, entries []*entry, served *atomic.Int64) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for call := 0; banyanplank.Sleep(ctx, 20*time.Millisecond) == nil; call++ {
		e := entries[(caller+call)%len(entries)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.caller.String()+"/talk/x", strings.NewReader(fmt.Sprintf("question %d of %d", call, caller)))
		if err != nil {
			return
		}
		request.Host = r.names.Host
		request.Header.Set(r.names.Attempt, fmt.Sprintf("c%d-%d", caller, call))
		request.Header.Set(r.names.Deadline, "8000")
		request.Header.Set(r.names.Model, "m")
		request.Header.Set(r.names.Counts, "700,150")
		request.Header.Set(r.names.Prefix, fmt.Sprintf("a%d:40,b%x:660", caller%4, caller<<20|call))
		request.Header.Set("Authorization", "Token kept")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			served.Add(1)
			continue
		}
		// A client comes back after a refusal when it is told to.
		_ = banyanplank.Sleep(ctx, 250*time.Millisecond)
	}
}
