package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/platform/mimic"
)

// The timing and limits of the callers.
const (
	// callTimeout is the time limit of a call.
	callTimeout = 3 * time.Second
	// thinkTime is the mean time that a caller waits before its next call.
	thinkTime = 80 * time.Millisecond
	// connectTimeout is the time limit for connecting and for asking a directory.
	connectTimeout = 500 * time.Millisecond
	// maxIdleConnections is the limit of idle connections per caller. All callers run in
	// one process with a limited number of open files.
	maxIdleConnections = 4
)

// record is a call together with the response that its caller received.
type record struct {
	mimic.Call
	entry netip.AddrPort
	begin time.Time
	end   time.Time
	reply mimic.Reply
	err   error
}

// isServed reports whether the caller received a complete response with status 200.
func (r *record) isServed() bool {
	return r.err == nil && r.reply.Status == http.StatusOK && r.reply.Complete
}

// caller makes one call after another over persistent connections.
type caller struct {
	harness   *harness
	name      string
	zone      string
	client    *http.Client
	random    *rand.Rand
	addresses []netip.AddrPort
	expiry    time.Time
	callCount int
	records   []*record
}

func newCaller(h *harness, number int, seed uint64) (c *caller) {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &caller{
		harness: h,
		name:    fmt.Sprintf("c%d", number),
		zone:    zones[number%len(zones)],
		client:  &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConns: maxIdleConnections, MaxIdleConnsPerHost: 2}},
		random:  rand.New(rand.NewPCG(seed, uint64(number))),
	}
}

// run makes calls until ctx ends. It retries a call once if the response has status 503
// and Retry-After.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for banyanplank.Sleep(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime))) == nil {
		r := c.sendCall(ctx, c.drawCall())
		if r != nil && r.reply.Status == http.StatusServiceUnavailable && r.reply.RetryAfter > 0 {
			if banyanplank.Sleep(ctx, min(r.reply.RetryAfter, callTimeout/3)) != nil {
				return
			}
			retry := r.Call
			c.sendCall(ctx, retry)
		}
	}
}

// drawCall draws a call. A tenth of the calls use a key that may have been revoked, and
// a tenth use the route that the newest configuration added.
func (c *caller) drawCall() (call mimic.Call) {
	call = mimic.Call{Key: permanentKey, Timeout: callTimeout}
	switch n := c.random.IntN(10); {
	case n < 3:
		call.Path = "once"
	case n < 5:
		call.Path = "look"
	case n < 8:
		call.Path, call.Prompt = "talk", drawPrompt(c.random)
	case n == 8:
		call.Path, call.Key = "look", c.harness.previousKey()
	default:
		call.Path = c.harness.newestPath()
	}
	return call
}

// sendCall makes a call, and tries the next entry if the connection can't be established.
func (c *caller) sendCall(ctx context.Context, call mimic.Call) (r *record) {
	for range len(c.harness.entries) {
		address, found := c.resolve(ctx)
		if !found {
			return nil
		}
		c.callCount++
		call.Attempt = fmt.Sprintf("%s-%d", c.name, c.callCount)
		callCtx, cancel := context.WithTimeout(ctx, call.Timeout)
		r = &record{Call: call, entry: address, begin: time.Now()}
		r.reply, r.err = mimic.SendCall(callCtx, c.client, address, call)
		cancel()
		r.end = time.Now()
		if ctx.Err() != nil {
			return nil // The run has ended.
		}
		c.records = append(c.records, r)
		if r.err == nil || !isDialError(r.err) {
			return r
		}
		c.addresses = c.addresses[1:]
	}
	return r
}

// resolve returns the address of the entry to call. It asks the directory of a random
// entry when the cached addresses have expired.
func (c *caller) resolve(ctx context.Context) (address netip.AddrPort, found bool) {
	for range 2 * len(c.harness.entries) {
		if len(c.addresses) > 0 && time.Now().Before(c.expiry) {
			return c.addresses[0], true
		}
		e := c.harness.entries[c.random.IntN(len(c.harness.entries))]
		resolveCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		addresses, ttl, err := mimic.Resolve(resolveCtx, c.client, e.directoryAddress, c.zone)
		cancel()
		if err != nil {
			continue // The next entry may be reachable.
		}
		c.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		c.addresses, c.expiry = addresses, time.Now().Add(ttl)
	}
	return address, len(c.addresses) > 0 && ctx.Err() == nil
}

// promptTemplates is the number of first parts that the prompts of all callers share.
const promptTemplates = 4

// drawPrompt draws a prompt of a shared part and one of its own.
func drawPrompt(random *rand.Rand) (prompt string) {
	return fmt.Sprintf("a%d:40,b%x:300", random.IntN(promptTemplates), random.Uint64())
}
