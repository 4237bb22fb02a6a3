package admitter

import (
	"container/heap"

	"github.com/banyanplank/banyanplank"
)

// share is the configured share of an account in a contended endpoint.
type share struct {
	weight   int
	priority int
}

// account is the queue of one client account. Its start tag is the virtual time
// at which its next request starts.
type account struct {
	id        banyanplank.AccountID
	share     share
	startTag  float64
	head      *ticket
	tail      *ticket
	count     int
	bytes     int
	tokens    int
	heapIndex int
}

// insert inserts t behind the requests of the same or a higher priority.
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
	a.bytes += t.bodyBytes
	a.tokens += t.tokens
}

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
	a.bytes -= t.bodyBytes
	a.tokens -= t.tokens
}

// cost returns the virtual time that the account uses for the given tokens.
func (a *account) cost(tokens int) float64 {
	return float64(tokens) / float64(a.share.weight)
}

// accountHeap is a heap of the accounts with waiting requests, by start tag.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	if h[i].share.priority != h[j].share.priority {
		return h[i].share.priority > h[j].share.priority
	}
	return h[i].id < h[j].id
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	a.heapIndex = notInHeap
	return a
}

// notInHeap is the heap index of an account without waiting requests.
const notInHeap = -1

// minSweepAccounts is the smallest number of accounts at which adding one causes
// a sweep.
const minSweepAccounts = 1024

// queue holds the waiting requests. It implements start-time fair queueing: the
// account with the smallest start tag goes first, and each start advances its
// tag by the tokens used divided by the account's weight.
type queue struct {
	shares   map[banyanplank.AccountID]share
	accounts map[banyanplank.AccountID]*account
	// unused holds removed accounts for reuse.
	unused      []*account
	waiting     accountHeap
	virtualTime float64
	// credit is how far the start tag of an account that used little may lag
	// behind the virtual time, in tokens of an account of weight 1. The next
	// requests of the account go first up to that amount.
	credit       float64
	sweepAt      int
	count        int
	bytes        int
	promptTokens int
}

func newQueue() *queue {
	return &queue{
		accounts: map[banyanplank.AccountID]*account{},
		sweepAt:  minSweepAccounts,
	}
}

// account returns the account with the given id and creates it if needed. The
// result is valid until the next call unless the account has waiting requests.
func (q *queue) account(id banyanplank.AccountID) *account {
	if a, ok := q.accounts[id]; ok {
		return a
	}
	if len(q.accounts) >= q.sweepAt {
		q.sweep()
	}
	a := q.newAccount()
	*a = account{id: id, share: q.shareOf(id), startTag: q.virtualTime - q.credit, heapIndex: notInHeap}
	q.accounts[id] = a
	return a
}

// newAccount returns an account to initialize. It reuses a removed one if there is
// any.
func (q *queue) newAccount() (a *account) {
	last := len(q.unused) - 1
	if last < 0 {
		return &account{}
	}
	a = q.unused[last]
	q.unused = q.unused[:last]
	return a
}

// shareOf returns the configured share of an account. The default is weight 1 and
// priority 0.
func (q *queue) shareOf(id banyanplank.AccountID) share {
	if s, ok := q.shares[id]; ok {
		return s
	}
	return share{weight: 1}
}

// sweep removes the accounts without waiting requests. Their start tags are ahead
// of the virtual time by one request at most, so an account gains at most one
// start by being removed.
func (q *queue) sweep() {
	for id, a := range q.accounts {
		if a.count == 0 {
			delete(q.accounts, id)
			q.unused = append(q.unused, a)
		}
	}
	q.sweepAt = max(minSweepAccounts, 2*len(q.accounts))
}

// nextStartTag returns the virtual time at which the next request of a starts.
func (q *queue) nextStartTag(a *account) float64 {
	return max(a.startTag, q.virtualTime-q.credit)
}

// push adds t to the queue of its account, ordered by priority.
func (q *queue) push(t *ticket) {
	a := t.account
	if a.count == 0 {
		a.startTag = q.nextStartTag(a)
	}
	a.insert(t)
	q.count++
	q.bytes += t.bodyBytes
	q.promptTokens += t.promptTokens
	if a.heapIndex == notInHeap {
		heap.Push(&q.waiting, a)
	}
}

// remove removes the waiting request t.
func (q *queue) remove(t *ticket) {
	a := t.account
	a.remove(t)
	q.count--
	q.bytes -= t.bodyBytes
	q.promptTokens -= t.promptTokens
	if a.count == 0 {
		heap.Remove(&q.waiting, a.heapIndex)
	}
}

// first returns the request to start next, or nil if none waits.
func (q *queue) first() *ticket {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0].head
}

// charge charges the account of t with the tokens that t uses from its start on.
func (q *queue) charge(t *ticket, tokens int) {
	a := t.account
	start := q.nextStartTag(a)
	q.virtualTime = max(q.virtualTime, start)
	a.startTag = start + a.cost(tokens)
	if a.heapIndex != notInHeap {
		heap.Fix(&q.waiting, a.heapIndex)
	}
}

// tokensAhead estimates the tokens of the waiting requests that start before a new
// request t.
func (q *queue) tokensAhead(t *ticket) (tokens int) {
	own := t.account
	sameAccount := own.tokensBefore(t.priority)
	start := q.nextStartTag(own) + own.cost(sameAccount)
	for _, a := range q.waiting {
		if a == own {
			continue
		}
		tokens += min(a.tokens, max(0, int((start-a.startTag)*float64(a.share.weight))))
	}
	return tokens + sameAccount
}

// tokensBefore returns the tokens of the account's waiting requests that go before
// a new request of the given priority.
func (a *account) tokensBefore(priority int) (tokens int) {
	tokens = a.tokens
	for t := a.tail; t != nil && t.priority < priority; t = t.previous {
		tokens -= t.tokens
	}
	return tokens
}

// heaviest returns the account with waiting requests that has the largest usage
// for its weight, or nil if none waits.
func (q *queue) heaviest(usage func(*account) int) (heaviest *account) {
	for _, a := range q.waiting {
		if heaviest == nil || a.cost(usage(a)) > heaviest.cost(usage(heaviest)) {
			heaviest = a
		}
	}
	return heaviest
}

// reconfigure sets the weights and priorities of the accounts.
func (q *queue) reconfigure(accounts []banyanplank.AccountSpec) {
	q.shares = make(map[banyanplank.AccountID]share, len(accounts))
	for _, spec := range accounts {
		q.shares[spec.Name] = share{weight: max(1, spec.Weight), priority: spec.Priority}
	}
	for id, a := range q.accounts {
		a.share = q.shareOf(id)
	}
	heap.Init(&q.waiting)
}
