package claimer_test

import (
	"context"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/claimer"
)

var start = time.Unix(1_764_800_000, 0).UTC()

// memoryStore is an object store in memory with fault injection.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]banyanplank.Object
	version banyanplank.Version
	calls   int
	writes  int
	// nextFault returns the fault of a Get or Put. It is called once for each.
	nextFault func(write bool) fault
}

// fault is the way in which a call to a [memoryStore] fails.
type fault uint8

const (
	faultNone fault = iota
	faultUnavailable
	faultLostReply
	faultLostRequest
)

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]banyanplank.Object), nextFault: func(bool) fault { return faultNone }}
}

func (s *memoryStore) Get(_ context.Context, name string) (object banyanplank.Object, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.nextFault(false) != faultNone {
		return object, banyanplank.ErrUnavailable
	}
	object, ok := s.objects[name]
	if !ok {
		return object, banyanplank.ErrNotFound
	}
	return object, nil
}

func (s *memoryStore) Put(_ context.Context, name string, value []byte, expect banyanplank.Version) (position banyanplank.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.writes++
	f := s.nextFault(true)
	switch {
	case f == faultUnavailable:
		return position, banyanplank.ErrUnavailable
	case f == faultLostRequest:
		return position, banyanplank.ErrUncertain
	case s.objects[name].Version != expect:
		return position, banyanplank.ErrConflict
	}
	s.version++
	s.objects[name] = banyanplank.Object{Name: name, Version: s.version, Value: value}
	if f == faultLostReply {
		return position, banyanplank.ErrUncertain
	}
	return banyanplank.Position{Revision: s.version}, nil
}

func (s *memoryStore) Delete(_ context.Context, name string, expect banyanplank.Version) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.writes++
	if s.objects[name].Version != expect {
		return banyanplank.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

func (s *memoryStore) List(_ context.Context, prefix string) (objects []banyanplank.Object, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, object)
		}
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, nil
}

func (s *memoryStore) Watch(context.Context, string, banyanplank.Position) (objects []banyanplank.Object, err error) {
	return nil, nil
}

// failNextWrite returns a function that injects f into the next write only.
func failNextWrite(f fault) func(write bool) fault {
	return func(write bool) fault {
		if !write {
			return faultNone
		}
		defer func() { f = faultNone }()
		return f
	}
}

func newBinding(daemon banyanplank.DaemonID) banyanplank.Binding {
	call := banyanplank.NewCallDigest("permits", "POST", "/pay", []byte("42"))
	return banyanplank.Binding{Daemon: daemon, Incarnation: 1, Call: call}
}

// TestClaimBindsKeyOnce guards against two bindings of one key when writes
// conflict or their requests or replies are lost.
func TestClaimBindsKeyOnce(t *testing.T) {
	otherCall := newBinding("second")
	otherCall.Call = banyanplank.Digest{}
	tests := map[string]struct {
		fail     func(write bool) fault
		bound    bool
		account  banyanplank.AccountID
		proposal banyanplank.Binding
		daemon   banyanplank.DaemonID
		outcome  banyanplank.Outcome
		reason   banyanplank.Reason
		calls    int
	}{
		"new key":                 {proposal: newBinding("second"), daemon: "second", calls: 1},
		"bound key":               {bound: true, proposal: newBinding("second"), daemon: "first", calls: 2},
		"other account":           {bound: true, account: "saddle", proposal: newBinding("second"), daemon: "second", calls: 1},
		"other call":              {bound: true, proposal: otherCall, outcome: banyanplank.NotRun, reason: banyanplank.ReasonConflict, calls: 2},
		"lost reply":              {fail: failNextWrite(faultLostReply), proposal: newBinding("second"), daemon: "second", calls: 2},
		"lost request":            {fail: failNextWrite(faultLostRequest), proposal: newBinding("second"), daemon: "second", calls: 3},
		"lost request, bound key": {bound: true, fail: failNextWrite(faultLostRequest), proposal: newBinding("second"), daemon: "first", calls: 2},
		"store down": {fail: func(bool) fault { return faultUnavailable }, proposal: newBinding("second"),
			outcome: banyanplank.OutcomeUnknown, reason: banyanplank.ReasonStore, calls: 1},
		"all writes lost": {fail: func(write bool) fault {
			if write {
				return faultLostRequest
			}
			return faultNone
		}, proposal: newBinding("second"), outcome: banyanplank.OutcomeUnknown, reason: banyanplank.ReasonStore, calls: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			c := claimer.New(store)
			if test.bound {
				_, err := c.Claim(t.Context(), start, claimer.Key{Account: "himal", Text: "k"}, newBinding("first"))
				is.NoErr(err)
			}
			if test.fail != nil {
				store.nextFault = test.fail
			}
			if test.account == "" {
				test.account = "himal"
			}
			store.calls = 0
			binding, err := c.Claim(t.Context(), start, claimer.Key{Account: test.account, Text: "k"}, test.proposal)
			var refusal *banyanplank.Refusal
			if errors.As(err, &refusal) {
				is.Equal(refusal.Reason, test.reason)
				is.Equal(refusal.Outcome, test.outcome)
			}
			is.Equal(err == nil, test.outcome == "")
			is.Equal(binding.Daemon, test.daemon)
			is.Equal(store.calls, test.calls)
		})
	}
}

// TestRebindBindsKeyOnce guards against a second replacement of the same binding,
// which would let two agents start the request.
func TestRebindBindsKeyOnce(t *testing.T) {
	for name, f := range map[string]fault{"plain": faultNone, "lost reply": faultLostReply, "lost request": faultLostRequest} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := newMemoryStore()
			c := claimer.New(store)
			key := claimer.Key{Account: "himal", Text: "k"}
			from, err := c.Claim(t.Context(), start, key, newBinding("first"))
			is.NoErr(err)
			store.nextFault = failNextWrite(f)
			moved, err := c.Rebind(t.Context(), key, from, newBinding("second"))
			is.NoErr(err)
			is.Equal(moved.Daemon, banyanplank.DaemonID("second"))
			is.True(moved.Generation > from.Generation)
			late, err := c.Rebind(t.Context(), key, from, newBinding("third"))
			is.NoErr(err)
			is.Equal(late, moved)
		})
	}
}

// TestClaimRefusesExpiredKeyWithTimestamp guards against a reused key whose
// claim was swept: a key whose UUID timestamp is past the retention is refused
// without a call to the store, and a younger one is bound until that time only.
func TestClaimRefusesExpiredKeyWithTimestamp(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := claimer.New(store)
	date := time.UnixMilli(0x017F22E279B0)
	key := claimer.Key{Account: "himal", Text: "017F22E2-79B0-7CC3-98C4-DC0C0C07398F"}
	binding, err := c.Claim(t.Context(), date.Add(time.Hour), key, newBinding("first"))
	is.NoErr(err)
	is.True(binding.StartDeadline.Equal(date.Add(claimer.DefaultRetention)))
	store.calls = 0
	_, err = c.Claim(t.Context(), date.Add(25*time.Hour), key, newBinding("first"))
	var refusal *banyanplank.Refusal
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Reason, banyanplank.ReasonExpired)
	is.Equal(store.calls, 0)
}

func TestSweepDeletesOnlyExpiredClaims(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	c := claimer.New(store)
	for _, text := range []string{"a", "b", "c"} {
		_, err := c.Claim(t.Context(), start, claimer.Key{Account: "himal", Text: text}, newBinding("first"))
		is.NoErr(err)
	}
	for _, age := range []time.Duration{25 * time.Hour, 27 * time.Hour} {
		var deleted int
		for shard := range claimer.Shards {
			n, err := c.Sweep(t.Context(), start.Add(age), shard, 1)
			is.NoErr(err)
			deleted += n
		}
		is.Equal(deleted == 3, age == 27*time.Hour)
	}
	is.Equal(len(store.objects), 0)
}

func TestParseTicketReturnsFormattedTicket(t *testing.T) {
	is := is.New(t)
	ticket := claimer.Ticket{Daemon: "agent-1.zone", Incarnation: 1764800000123456789, Expiry: start, Nonce: "n1"}
	parsed, err := claimer.ParseTicket(ticket.String())
	is.NoErr(err)
	is.Equal(parsed, ticket)
	for _, text := range []string{"", "tk1.", "tk1.a.b.c", "tk1.%.1.1.n", "tk1.YQ.!.1.n", "tk1.YQ.1.!.n", "tk2.YQ.1.1.n"} {
		_, err := claimer.ParseTicket(text)
		is.True(err != nil)
	}
}

// BenchmarkStoreCalls reports the store calls caused by one second of 1,000
// requests per second, with the given share of non-repeatable ones, a tenth of
// which arrive twice. The later deletion of the claims is included.
func BenchmarkStoreCalls(b *testing.B) {
	const rate = 1000
	for name, share := range map[string]int{"1%": 1, "5%": 5, "20%": 20} {
		b.Run(name, func(b *testing.B) {
			var calls, writes int
			for b.Loop() {
				store := newMemoryStore()
				c := claimer.New(store)
				for i := range rate * share / 100 {
					key := claimer.Key{Account: "himal", Text: strings.Repeat("k", i)}
					if _, err := c.Claim(b.Context(), start, key, newBinding("first")); err != nil {
						b.Fatal(err)
					}
					if i%10 == 0 {
						if _, err := c.Claim(b.Context(), start, key, newBinding("first")); err != nil {
							b.Fatal(err)
						}
					}
				}
				for shard := range claimer.Shards {
					if _, err := c.Sweep(b.Context(), start.Add(48*time.Hour), shard, rate); err != nil {
						b.Fatal(err)
					}
				}
				calls, writes = store.calls-claimer.Shards, store.writes
			}
			b.ReportMetric(float64(calls), "calls/s")
			b.ReportMetric(float64(writes), "writes/s")
		})
	}
}
