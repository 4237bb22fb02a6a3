package admitter

import (
	"container/heap"

	"github.com/banyanplank/banyanplank"
)

// share is what an account may use of a contended endpoint.
type share struct {
	weight   int
	priority int
}

// account is the queue of one client account. Its tag is the virtual time at
// which its next request starts.
type account struct {
	id     banyanplank.AccountID
	share  share
	tag    float64
	head   *ticket
	tail   *ticket
	count  int
	bytes  int
	tokens int
	index  int
}

// insert puts t behind the requests of the same or a larger priority.
func (a *account) insert(t *ticket) {
	after := a.tail
	for after != nil && after.priority < t.priority {
		after = after.previous
	}
	t.previous = after
	if after == nil {
		t.next, a.head = a.head, t
	} else {
		t.next, after.next = after.next, t
	}
	if t.next == nil {
		a.tail = t
	} else {
		t.next.previous = t
	}
	a.count++
	a.bytes += t.bytes
	a.tokens += t.tokens
}

// remove takes t out of the list.
func (a *account) remove(t *ticket) {
	if t.previous == nil {
		a.head = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		a.tail = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.previous, t.next = nil, nil
	a.count--
	a.bytes -= t.bytes
	a.tokens -= t.tokens
}

// cost is the virtual time that tokens take of the account.
func (a *account) cost(tokens int) float64 {
	return float64(tokens) / float64(a.share.weight)
}

// order is a heap of the accounts with waiting requests, by tag.
type order []*account

func (o order) Len() int { return len(o) }

func (o order) Less(i, j int) bool {
	if o[i].tag != o[j].tag {
		return o[i].tag < o[j].tag
	}
	if o[i].share.priority != o[j].share.priority {
		return o[i].share.priority > o[j].share.priority
	}
	return o[i].id < o[j].id
}

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

func (o *order) Push(x any) {
	a := x.(*account)
	a.index = len(*o)
	*o = append(*o, a)
}

func (o *order) Pop() any {
	last := len(*o) - 1
	a := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	a.index = idle
	return a
}

// idle is the heap index of an account with nothing waiting.
const idle = -1

// leastSweep is the number of known accounts below which none is forgotten.
const leastSweep = 1024

// queue holds the waiting requests. It is start-time fair queueing: the
// account with the smallest tag goes first, and each start moves its tag by
// the tokens taken over the account's weight.
type queue struct {
	shares   map[banyanplank.AccountID]share
	accounts map[banyanplank.AccountID]*account
	// forgotten holds accounts for reuse.
	forgotten []*account
	waiting   order
	virtual   float64
	// credit is how far the tag of an account that used little may stay behind
	// the virtual time, in tokens. Its next requests go first for as much.
	credit  float64
	sweepAt int
	count   int
	bytes   int
	prompts int
}

func newQueue() *queue {
	return &queue{
		accounts: map[banyanplank.AccountID]*account{},
		sweepAt:  leastSweep,
	}
}

// account returns the state of the account called id. It is valid until the
// next call unless the account has requests waiting.
func (q *queue) account(id banyanplank.AccountID) *account {
	if a, ok := q.accounts[id]; ok {
		return a
	}
	if len(q.accounts) >= q.sweepAt {
		q.sweep()
	}
	a := q.spare()
	*a = account{id: id, share: q.shareOf(id), tag: q.virtual - q.credit, index: idle}
	q.accounts[id] = a
	return a
}

// spare returns an account to fill in, a forgotten one if there is any.
func (q *queue) spare() (a *account) {
	last := len(q.forgotten) - 1
	if last < 0 {
		return &account{}
	}
	a = q.forgotten[last]
	q.forgotten = q.forgotten[:last]
	return a
}

// shareOf returns the configured share of id.
func (q *queue) shareOf(id banyanplank.AccountID) share {
	if s, ok := q.shares[id]; ok {
		return s
	}
	return share{weight: 1}
}

// sweep forgets the accounts with nothing waiting. A tag is ahead of the
// virtual time by one request at most, so an account gains at most one start.
func (q *queue) sweep() {
	for id, a := range q.accounts {
		if a.count == 0 {
			delete(q.accounts, id)
			q.forgotten = append(q.forgotten, a)
		}
	}
	q.sweepAt = max(leastSweep, 2*len(q.accounts))
}

// start returns the virtual time at which the next request of a would start.
func (q *queue) start(a *account) float64 {
	return max(a.tag, q.virtual-q.credit)
}

// push adds t behind the other requests of its account.
func (q *queue) push(t *ticket) {
	a := t.account
	if a.count == 0 {
		a.tag = q.start(a)
	}
	a.insert(t)
	q.count++
	q.bytes += t.bytes
	q.prompts += t.prompt
	if a.index == idle {
		heap.Push(&q.waiting, a)
	}
}

// remove takes the waiting request t out.
func (q *queue) remove(t *ticket) {
	a := t.account
	a.remove(t)
	q.count--
	q.bytes -= t.bytes
	q.prompts -= t.prompt
	if a.count == 0 {
		heap.Remove(&q.waiting, a.index)
	}
}

// first returns the request that goes next, or nil.
func (q *queue) first() *ticket {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0].head
}

// charge accounts for the start of t, which takes tokens.
func (q *queue) charge(t *ticket, tokens int) {
	a := t.account
	start := q.start(a)
	q.virtual = max(q.virtual, start)
	a.tag = start + a.cost(tokens)
	if a.index != idle {
		heap.Fix(&q.waiting, a.index)
	}
}

// ahead returns the waiting tokens that start before a new request t would.
func (q *queue) ahead(t *ticket) (tokens int) {
	own := t.account
	before := own.before(t.priority)
	start := q.start(own) + own.cost(before)
	for _, a := range q.waiting {
		if a == own {
			continue
		}
		tokens += min(a.tokens, max(0, int((start-a.tag)*float64(a.share.weight))))
	}
	return tokens + before
}

// before returns the waiting tokens of the account that go before a new
// request of the given priority.
func (a *account) before(priority int) (tokens int) {
	tokens = a.tokens
	for t := a.tail; t != nil && t.priority < priority; t = t.previous {
		tokens -= t.tokens
	}
	return tokens
}

// largest returns the account whose waiting requests use most for its weight,
// by count or by bytes.
func (q *queue) largest(use func(*account) int) (most *account) {
	for _, a := range q.waiting {
		if most == nil || a.cost(use(a)) > most.cost(use(most)) {
			most = a
		}
	}
	return most
}

// renew takes the accounts' weights and priorities from the configuration.
func (q *queue) renew(accounts []banyanplank.AccountSpec) {
	q.shares = make(map[banyanplank.AccountID]share, len(accounts))
	for _, spec := range accounts {
		q.shares[spec.Name] = share{weight: max(1, spec.Weight), priority: spec.Priority}
	}
	for id, a := range q.accounts {
		a.share = q.shareOf(id)
	}
	heap.Init(&q.waiting)
}
