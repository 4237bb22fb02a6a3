package engine

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/banyanplank/banyanplank"
)

// sequence is the state of one request in the engine.
type sequence struct {
	attempt        banyanplank.AttemptID
	priority       int
	promptTokens   int
	maxTokens      int
	prefixHashes   []uint64
	seed           uint64
	pendingPrefill int

	mutex      sync.Mutex
	generated  int
	startIndex int
	canceled   bool
	finished   bool
	aborted    bool
	changed    chan struct{}
}

// heldTokens returns the number of KV cache tokens that the sequence uses.
func (s *sequence) heldTokens() (tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.promptTokens + s.generated
}

// generateToken generates one token and reports whether it was the last one. A
// canceled sequence generates none.
func (s *sequence) generateToken() (last bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.canceled {
		return false
	}
	s.generated++
	s.finished = s.generated >= s.maxTokens
	s.notifyReader()
	return s.finished
}

func (s *sequence) isCanceled() (canceled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.canceled
}

// cancel marks the sequence as canceled; a later step removes it from the batch.
func (s *sequence) cancel() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.canceled = true
	s.notifyReader()
}

// abort fails the sequence, so that its reader aborts the connection.
func (s *sequence) abort() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.aborted = true
	s.notifyReader()
}

// notifyReader wakes the reader. The mutex is held.
func (s *sequence) notifyReader() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a snapshot of a sequence for its reader. The channel closes at the
// next change.
type progress struct {
	generated int
	finished  bool
	aborted   bool
	changed   <-chan struct{}
}

func (s *sequence) progress() (p progress) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return progress{
		generated: s.generated,
		finished:  s.finished,
		aborted:   s.aborted || s.canceled,
		changed:   s.changed,
	}
}

// token returns the text of the token at index. It depends only on the request
// body and the index, so that a resumed stream continues with the same text.
func (s *sequence) token(index int) (text string) {
	return "w" + strconv.FormatUint((s.seed+uint64(index)*7919)%10_000, 10) + " "
}

// prefixCache is an LRU cache of prefix block hashes.
type prefixCache struct {
	maxBlocks int
	recency   *list.List
	blocks    map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *prefixCache) clear() {
	c.recency.Init()
	clear(c.blocks)
}

// countCached returns the number of leading blocks of prefix that are cached.
func (c *prefixCache) countCached(prefix []uint64) (blocks int) {
	for _, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return blocks
		}
		c.recency.MoveToFront(element)
		blocks++
	}
	return blocks
}

func (c *prefixCache) add(prefix []uint64) {
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		if c.recency.Len() > c.maxBlocks {
			oldest := c.recency.Remove(c.recency.Back())
			delete(c.blocks, oldest.(uint64))
		}
	}
}
