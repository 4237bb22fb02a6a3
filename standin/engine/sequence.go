package engine

import (
	"container/list"
	"strconv"
	"sync"

	"github.com/banyanplank/banyanplank"
)

// sequence is one request in the engine.
type sequence struct {
	attempt  banyanplank.AttemptID
	priority int
	prompt   int
	longest  int
	prefix   []uint64
	seed     uint64
	unread   int

	mutex    sync.Mutex
	made     int
	first    int
	canceled bool
	finished bool
	broken   bool
	changed  chan struct{}
}

// held returns the tokens that the sequence keeps in memory.
func (s *sequence) held() (tokens int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.prompt + s.made
}

// makeToken makes one token and reports whether it was the last one.
func (s *sequence) makeToken() (last bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.canceled {
		return false
	}
	s.made++
	s.finished = s.made >= s.longest
	s.signal()
	return s.finished
}

func (s *sequence) isCanceled() (canceled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.canceled
}

// cancel makes the engine drop the sequence.
func (s *sequence) cancel() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.canceled = true
	s.signal()
}

// cut ends the sequence without a clean end.
func (s *sequence) cut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.broken = true
	s.signal()
}

// signal wakes the reader. The mutex is held.
func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is a reader's view of a sequence.
type progress struct {
	made     int
	finished bool
	broken   bool
	changed  <-chan struct{}
}

func (s *sequence) progress() (p progress) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return progress{
		made:     s.made,
		finished: s.finished,
		broken:   s.broken || s.canceled,
		changed:  s.changed,
	}
}

// word returns the token at index, the same in every run of the same body.
func (s *sequence) word(index int) (text string) {
	return "w" + strconv.FormatUint((s.seed+uint64(index)*7919)%10_000, 10) + " "
}

// prefixCache keeps the most recently used prefix blocks.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

func (c *prefixCache) clear() {
	c.order.Init()
	clear(c.blocks)
}

// match returns how many blocks from the start are cached.
func (c *prefixCache) match(prefix []uint64) (blocks int) {
	for _, hash := range prefix {
		element, ok := c.blocks[hash]
		if !ok {
			return blocks
		}
		c.order.MoveToFront(element)
		blocks++
	}
	return blocks
}

func (c *prefixCache) add(prefix []uint64) {
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		if c.order.Len() > c.limit {
			oldest := c.order.Remove(c.order.Back())
			delete(c.blocks, oldest.(uint64))
		}
	}
}
