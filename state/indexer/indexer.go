// Package indexer estimates which prompt prefixes the endpoints have cached.
//
// The index is a fixed table, so its memory is bounded. It may be wrong both
// ways: it forgets when the table is full, and it learns of evictions late or
// never. A wrong answer costs a prefill, nothing else.
//
//	x := indexer.New()
//	x.Store(endpoint, request.Demand.Prefix)
//	blocks := x.Covered(endpoint, request.Demand.Prefix)
//
// An index is not safe for use by several goroutines at once.
package indexer

import "math/bits"

// The defaults and the shape of the table.
const (
	// defaultBlocks is the number of cached blocks that the table holds.
	defaultBlocks = 1 << 17
	// ways is the number of places that one block may take.
	ways = 4
	// BlockBytes is the memory that the table takes for one block.
	BlockBytes = 16
)

// EndpointID is a small number that the owner of the index gives an endpoint.
type EndpointID uint32

// block is one cached block at one endpoint.
type block struct {
	// key is a hash of the prefix, the endpoint and its generation. Zero marks
	// a free place.
	key uint64
	// endpoint and stamp tell how many blocks the endpoint has stored since.
	endpoint EndpointID
	stamp    uint32
}

// endpoint is what the index knows of one endpoint.
type endpoint struct {
	// generation changes whenever the endpoint has lost its cache.
	generation uint32
	// stored counts the blocks stored, which ages the earlier ones.
	stored uint32
	// size is the number of blocks that the endpoint's cache holds. Zero means
	// unknown.
	size uint32
	// sequence is the largest number of the events taken in.
	sequence uint64
}

// Index is an approximate index of cached prefixes. Create it with [New].
type Index struct {
	blocks    []block
	mask      uint64
	endpoints []endpoint
}

// Option configures an [Index].
type Option func(*Index)

// WithBlocks sets how many cached blocks the table holds, rounded up to a power
// of two. Each takes [BlockBytes]. The default is 131,072.
func WithBlocks(blocks int) Option {
	return func(x *Index) { x.resize(blocks) }
}

// New returns an empty index.
func New(options ...Option) *Index {
	x := &Index{}
	x.resize(defaultBlocks)
	for _, option := range options {
		option(x)
	}
	return x
}

// resize makes an empty table.
func (x *Index) resize(count int) {
	size := uint64(1) << bits.Len(uint(max(count, ways)-1))
	x.blocks = make([]block, size)
	x.mask = size - 1
}

// state returns what is known of an endpoint.
func (x *Index) state(id EndpointID) *endpoint {
	for int(id) >= len(x.endpoints) {
		x.endpoints = append(x.endpoints, endpoint{})
	}
	return &x.endpoints[id]
}

// Resize tells how many blocks the endpoint's cache holds.
func (x *Index) Resize(id EndpointID, blocks int) {
	x.state(id).size = uint32(max(0, blocks))
}

// Store tells that the endpoint has computed the prefixes, shortest first.
func (x *Index) Store(id EndpointID, prefixes []uint64) {
	e := x.state(id)
	// The longest goes first, so that the shortest is the youngest: an engine
	// evicts the end of a chain before its start.
	for i := len(prefixes) - 1; i >= 0; i-- {
		e.stored++
		x.put(e.key(id, prefixes[i]), id, e.stored)
	}
}

// put writes one block over its own earlier place, a free one or the oldest.
func (x *Index) put(key uint64, id EndpointID, stamp uint32) {
	place, age := uint64(0), uint32(0)
	for i := range uint64(ways) {
		at := (key + i) & x.mask
		b := x.blocks[at]
		if b.key == key || b.key == 0 {
			place = at
			break
		}
		if old := x.endpoints[b.endpoint].stored - b.stamp; i == 0 || old > age {
			place, age = at, old
		}
	}
	x.blocks[place] = block{key: key, endpoint: id, stamp: stamp}
}

// Remove tells that the endpoint has evicted the prefixes.
func (x *Index) Remove(id EndpointID, prefixes []uint64) {
	e := x.state(id)
	for _, prefix := range prefixes {
		if at, ok := x.find(e.key(id, prefix)); ok {
			// The place stays taken by a key that nobody asks for, so that the
			// search past it goes on.
			x.blocks[at].key = removed
		}
	}
}

// removed is the key of a place whose block was evicted.
const removed = ^uint64(0)

// Clear tells that the endpoint has lost its whole cache.
func (x *Index) Clear(id EndpointID) {
	x.state(id).generation++
}

// Covered returns how many blocks of the prompt the endpoint has probably
// cached. It searches by halves, because a cached prefix implies the shorter
// ones.
func (x *Index) Covered(id EndpointID, prefixes []uint64) (blocks int) {
	if int(id) >= len(x.endpoints) {
		return 0
	}
	e := &x.endpoints[id]
	if len(prefixes) == 0 || !x.has(e, e.key(id, prefixes[0])) {
		return 0
	}
	low, high := 1, len(prefixes)
	for low < high {
		middle := (low + high + 1) / 2
		if x.has(e, e.key(id, prefixes[middle-1])) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// has reports whether a block is in the table and young enough.
func (x *Index) has(e *endpoint, key uint64) bool {
	at, ok := x.find(key)
	if !ok {
		return false
	}
	return e.size == 0 || e.stored-x.blocks[at].stamp < e.size
}

// find returns the place of a key.
func (x *Index) find(key uint64) (at uint64, ok bool) {
	for i := range uint64(ways) {
		at = (key + i) & x.mask
		if x.blocks[at].key == key {
			return at, true
		}
	}
	return 0, false
}

// key mixes a prefix hash with the endpoint and its generation.
func (e *endpoint) key(id EndpointID, prefix uint64) (key uint64) {
	key = prefix ^ (uint64(id)+1)*0x9e3779b97f4a7c15 ^ uint64(e.generation)*0xc2b2ae3d27d4eb4f
	key ^= key >> 32
	key *= 0xd6e8feb86659fd93
	key ^= key >> 32
	if key == 0 || key == removed {
		return 1
	}
	return key
}
