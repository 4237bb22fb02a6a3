package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/loader"
)

// newPicker returns the picker of an entry.
func newPicker(_ loader.Settings) banyanplank.Picker {
	return &rotation{}
}

// newAdmitter returns the admitter of an agent.
func newAdmitter(settings loader.Settings, member banyanplank.Member) banyanplank.Admitter {
	return &counter{member: member, limit: settings.Endpoint.Capacity}
}

// rotation picks the endpoints of a service in turn.
type rotation struct {
	mutex         sync.Mutex
	members       []banyanplank.Member
	configuration *banyanplank.Configuration
	next          int
}

func (r *rotation) Pick(_ time.Time, query banyanplank.Query) (choice banyanplank.Choice, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for range r.members {
		r.next = (r.next + 1) % len(r.members)
		m := r.members[r.next]
		if r.isFit(m, query) {
			return banyanplank.Choice{Member: m, Demand: query.Demand}, nil
		}
	}
	return choice, &banyanplank.Refusal{
		Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonNoEndpoint,
		RetryAfter: time.Second, Detail: "no endpoint serves the call now",
	}
}

func (r *rotation) isFit(m banyanplank.Member, query banyanplank.Query) bool {
	for _, id := range query.Avoid {
		if id == m.ID {
			return false
		}
	}
	return m.Role == banyanplank.RoleAgent && m.Service == query.Service &&
		m.State == banyanplank.MemberLive && !r.configuration.IsZoneOut(m.Zone)
}

func (r *rotation) Finish(time.Time, banyanplank.Choice, banyanplank.Result) {}

func (r *rotation) Observe(time.Time, banyanplank.LoadReport) {}

func (r *rotation) Renew(_ time.Time, members []banyanplank.Member, configuration *banyanplank.Configuration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.members = members
	r.configuration = configuration
}

// counter admits up to a number of tokens and refuses the rest at once.
type counter struct {
	member banyanplank.Member
	limit  int
	held   atomic.Int64
	closed atomic.Pointer[banyanplank.Reason]
}

func (c *counter) Admit(_ context.Context, request *banyanplank.Request) (grant banyanplank.Grant, err error) {
	if reason := c.closed.Load(); reason != nil {
		return nil, &banyanplank.Refusal{Outcome: banyanplank.NotRun, Reason: *reason, Detail: "the agent admits nothing"}
	}
	size := int64(max(1, request.Demand.Tokens()))
	if c.held.Add(size) > int64(c.limit) {
		c.held.Add(-size)
		return nil, &banyanplank.Refusal{
			Outcome: banyanplank.NotRun, Reason: banyanplank.ReasonOverload,
			RetryAfter: time.Second, Detail: "the endpoint is full",
		}
	}
	return &share{counter: c, size: size}, nil
}

func (c *counter) Observe(banyanplank.EndpointReport) {}

func (c *counter) Load() (report banyanplank.LoadReport) {
	return banyanplank.LoadReport{
		Daemon: c.member.ID, Incarnation: c.member.Incarnation,
		Limit: c.limit, Held: int(c.held.Load()), Closed: c.closed.Load() != nil,
	}
}

func (c *counter) Renew(configuration *banyanplank.Configuration) {
	if configuration.IsZoneOut(c.member.Zone) {
		c.Close(banyanplank.ReasonZoneOut)
		return
	}
	if reason := c.closed.Load(); reason != nil && *reason == banyanplank.ReasonZoneOut {
		c.closed.CompareAndSwap(reason, nil)
	}
}

func (c *counter) Close(reason banyanplank.Reason) { c.closed.Store(&reason) }

func (c *counter) Open() { c.closed.Store(nil) }

// share is the part of a counter's limit that one request holds.
type share struct {
	counter *counter
	size    int64
	once    sync.Once
}

func (s *share) Progress(int) {}

func (s *share) Release(bool) {
	s.once.Do(func() { s.counter.held.Add(-s.size) })
}
