package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
)

// testStore is the platform's store of a [testFleet]. It names no era until one is set.
type testStore struct {
	mutex sync.Mutex
	// history holds its eras. The last one is current.
	history []*testEra
	changed chan struct{}
	// silent lists the entries whose calls are not answered.
	silent map[banyanplank.DaemonID]bool
	// isAway is set while all calls fail.
	isAway bool
	// lag is the age of what cheap reads return, and latency the age of each response.
	lag, latency time.Duration
	// calls counts the calls of each entry for the topics that it follows, and cheapCalls those
	// of them that are cheap reads. Calls for the list of entries are memberCalls.
	calls                   map[banyanplank.DaemonID]int
	cheapCalls, memberCalls int
}

// testEra is the time of a [testStore] from its start, or its return from a copy, to the next
// return. Its first changes are those of the copy.
type testEra struct {
	number  banyanplank.Era
	begun   time.Time
	changes []testChange
}

// testChange is one change in a [testStore].
type testChange struct {
	topic    banyanplank.Topic
	revision banyanplank.Version
	at       time.Time
	entry    banyanplank.DiscoveryItem
}

// newTestStore returns a store without objects.
func newTestStore() (s *testStore) {
	return &testStore{history: []*testEra{{begun: time.Now()}}, changed: make(chan struct{}), calls: make(map[banyanplank.DaemonID]int)}
}

// before returns the state at a time.
func (e *testEra) before(at time.Time) (earlier *testEra) {
	n := len(e.changes)
	for n > 0 && e.changes[n-1].at.After(at) {
		n--
	}
	return &testEra{number: e.number, begun: e.begun, changes: slices.Clone(e.changes[:n])}
}

// position returns the position of the latest change.
func (e *testEra) position() (position banyanplank.Position) {
	position = banyanplank.Position{Era: e.number, Revision: 1}
	if n := len(e.changes); n > 0 {
		position.Revision = e.changes[n-1].revision
	}
	return position
}

// since returns the changes of a topic after a revision.
func (e *testEra) since(topic banyanplank.Topic, after banyanplank.Version) (entries []banyanplank.DiscoveryItem) {
	for _, c := range e.changes {
		if c.topic == topic && c.revision > after {
			entries = append(entries, c.entry)
		}
	}
	return entries
}

// objects returns the entries of a topic that exist.
func (e *testEra) objects(topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem) {
	for _, c := range e.changes {
		if c.topic != topic {
			continue
		}
		entries = slices.DeleteFunc(entries, func(item banyanplank.DiscoveryItem) bool { return item.Key == c.entry.Key })
		if c.entry.Value != nil {
			entries = append(entries, c.entry)
		}
	}
	return entries
}

// current returns the era that lasts. The mutex must be held.
func (s *testStore) current() (e *testEra) { return s.history[len(s.history)-1] }

// notify wakes the waiting calls. The mutex must be held.
func (s *testStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an entry of a topic. A nil value removes the entry. A store that is away takes
// nothing and returns zero.
func (s *testStore) put(topic banyanplank.Topic, key string, value any) (position banyanplank.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isAway {
		return position
	}
	e := s.current()
	e.changes = append(e.changes, testChange{topic, e.position().Revision + 1, time.Now(), banyanplank.DiscoveryItem{Key: key, Value: value}})
	s.notify()
	return e.position()
}

// objects returns the entries of a topic that exist.
func (s *testStore) objects(topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.current().objects(topic)
}

// setEra sets the era that the store names from its start on.
func (s *testStore) setEra(era banyanplank.Era) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.current().number = era
}

// leave ends all calls and fails the next ones until the store returns.
func (s *testStore) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isAway = true
	s.notify()
}

// returnAsLeft ends the store's absence without a loss.
func (s *testStore) returnAsLeft() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isAway = false
}

// returnFromCopy ends the store's absence, if it is away, and all calls. It has lost what it
// acknowledged after a time.
func (s *testStore) returnFromCopy(copied time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	next := s.current().before(copied)
	next.number, next.begun = next.number+1, time.Now()
	s.history, s.isAway = append(s.history, next), false
	s.notify()
}

// setLag sets the age of what cheap reads return.
func (s *testStore) setLag(lag time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lag = lag
}

// setLatency sets the age that responses have on arrival.
func (s *testStore) setLatency(latency time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.latency = latency
}

// setSilent sets the entries whose calls are not answered from now on. Calls that wait
// for changes are not answered either.
func (s *testStore) setSilent(ids ...banyanplank.DaemonID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = make(map[banyanplank.DaemonID]bool)
	for _, id := range ids {
		s.silent[id] = true
	}
}

// countCall counts a call of an entry. Calls for the list of entries, which follow each start
// of one, are counted apart.
func (s *testStore) countCall(id banyanplank.DaemonID, topic banyanplank.Topic, isCheap bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case topic == banyanplank.TopicMembers:
		s.memberCalls++
		return
	case isCheap:
		s.cheapCalls++
	}
	s.calls[id]++
}

// callCount returns the number of calls of an entry so far for the topics that it follows.
func (s *testStore) callCount(id banyanplank.DaemonID) (calls int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[id]
}

// testCalls counts calls of all entries.
type testCalls struct{ full, cheap, members int }

// totalCalls returns the number of calls so far.
func (s *testStore) totalCalls() (total testCalls) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.calls {
		total.full += n
	}
	return testCalls{full: total.full - s.cheapCalls, cheap: s.cheapCalls, members: s.memberCalls}
}

// since returns the calls after an earlier count.
func (c testCalls) since(earlier testCalls) (later testCalls) {
	return testCalls{c.full - earlier.full, c.cheap - earlier.cheap, c.members - earlier.members}
}

// testReply is how a [testStore] meets a call.
type testReply struct {
	state            *testEra
	changed          chan struct{}
	isAway, isSilent bool
	latency          time.Duration
}

// reply returns how the store meets a call of an entry now.
func (s *testStore) reply(id banyanplank.DaemonID, isCheap bool) (r testReply) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	at, n := time.Now(), len(s.history)-1
	if isCheap {
		at = at.Add(-s.lag)
		for n > 0 && s.history[n].begun.After(at) {
			n--
		}
	}
	return testReply{state: s.history[n].before(at), changed: s.changed, isAway: s.isAway, isSilent: s.silent[id], latency: s.latency}
}

// testStoreTimeout is how long an entry waits for an answer that is due.
const testStoreTimeout = 700 * time.Millisecond

// testStoreClient is the client of one entry. It implements banyanplank.Discovery.
type testStoreClient struct {
	store *testStore
	id    banyanplank.DaemonID
	onEra func(previous, era banyanplank.Era)
	mutex sync.Mutex
	era   banyanplank.Era
}

// recordEra reports an era that is later than those known.
func (c *testStoreClient) recordEra(era banyanplank.Era) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if era > c.era {
		c.onEra(c.era, era)
		c.era = era
	}
}

// call returns the state of the store once it is complete, or wait has passed. It fails if the
// store is away, or returns from a copy meanwhile, and ends with its time limit if the entry gets
// no answer.
func (c *testStoreClient) call(ctx context.Context, wait time.Duration, isCheap bool, isComplete func(state *testEra) bool) (state *testEra, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+testStoreTimeout)
	defer cancel()
	elapsed := time.After(wait)
	var begun *banyanplank.Era
	for {
		r := c.store.reply(c.id, isCheap)
		if begun == nil {
			begun = &r.state.number
		}
		switch {
		case r.isSilent:
			<-ctx.Done()
			return nil, ctx.Err()
		case r.isAway, r.state.number != *begun:
			return nil, banyanplank.ErrUnavailable
		case wait == 0, isComplete(r.state):
			if r.latency > 0 && banyanplank.Sleep(ctx, r.latency) != nil {
				return nil, ctx.Err()
			}
			c.recordEra(r.state.number)
			return r.state, nil
		}
		select {
		case <-r.changed:
		case <-elapsed:
			wait = 0
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// watch returns the changes of a topic after a position. Like the platform's client, it takes
// none that lie between two eras.
func (c *testStoreClient) watch(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position, wait time.Duration, isCheap bool) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	c.store.countCall(c.id, topic, isCheap)
	state, err := c.call(ctx, wait, isCheap, func(state *testEra) bool {
		return state.number != after.Era || len(state.since(topic, after.Revision)) > 0
	})
	switch {
	case err != nil:
		return nil, position, err
	case state.number > after.Era:
		return nil, position, errors.Mark(banyanplank.ErrNewEra, banyanplank.ErrCompacted)
	case state.number < after.Era && isCheap:
		return nil, after, nil
	case state.number < after.Era:
		return nil, position, banyanplank.ErrUnavailable
	}
	return state.since(topic, after.Revision), after.Later(state.position()), nil
}

func (c *testStoreClient) List(ctx context.Context, topic banyanplank.Topic) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	c.store.countCall(c.id, topic, false)
	state, err := c.call(ctx, 0, false, nil)
	if err != nil {
		return nil, position, err
	}
	return state.objects(topic), state.position(), nil
}

func (c *testStoreClient) Changes(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position, wait time.Duration) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return c.watch(ctx, topic, after, wait, false)
}

func (c *testStoreClient) Peek(ctx context.Context, topic banyanplank.Topic, after banyanplank.Position) (entries []banyanplank.DiscoveryItem, position banyanplank.Position, err error) {
	return c.watch(ctx, topic, after, 0, true)
}

func (c *testStoreClient) Register(ctx context.Context, member banyanplank.Member) (position banyanplank.Position, err error) {
	return c.write(ctx, member.ID, member)
}

func (c *testStoreClient) Remove(ctx context.Context, id banyanplank.DaemonID) (err error) {
	_, err = c.write(ctx, id, nil)
	return err
}

// write writes the entry of a member. A nil value removes it.
func (c *testStoreClient) write(ctx context.Context, id banyanplank.DaemonID, value any) (position banyanplank.Position, err error) {
	c.store.countCall(c.id, banyanplank.TopicMembers, false)
	if _, err = c.call(ctx, 0, false, nil); err != nil {
		return position, err
	}
	return c.store.put(banyanplank.TopicMembers, string(id), value), nil
}
