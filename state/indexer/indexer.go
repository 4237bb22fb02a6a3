// Package indexer estimates which prompt prefixes the endpoints have cached.
//
// The index is a fixed-size hash table, so its memory is bounded. It may be wrong
// in both directions: a full table overwrites entries, and evictions are reported
// late or never. A wrong result costs one prefill and nothing else.
//
//	x := indexer.New()
//	x.Store(endpoint, request.Demand.PrefixHashes)
//	blocks := x.CachedBlocks(endpoint, request.Demand.PrefixHashes)
//
// An index is not safe for concurrent use.
package indexer

import "math/bits"

// The dimensions of the table.
const (
	// defaultBlocks is the default number of blocks in the table.
	defaultBlocks = 1 << 17
	// ways is the number of slots in which a block may be stored.
	ways = 4
	// BlockBytes is the memory per block of the table, in bytes.
	BlockBytes = 16
)

// EndpointID identifies an endpoint. The caller assigns small consecutive numbers:
// memory grows with the largest one.
type EndpointID uint32

// block is one slot of the table: one cached block of one endpoint.
type block struct {
	// key is a hash of the prefix, the endpoint and its generation. Zero marks
	// a free slot.
	key uint64
	// stamp is the value of the endpoint's storedBlocks at the time of storing. The
	// difference to the present value is the age of the block.
	endpoint EndpointID
	stamp    uint32
}

// endpoint is the cache state of one endpoint.
type endpoint struct {
	// generation is incremented whenever the endpoint has lost its cache, which
	// invalidates all its keys.
	generation uint32
	// storedBlocks counts the blocks ever stored. Blocks age by it.
	storedBlocks uint32
	// capacityBlocks is the capacity of the endpoint's cache in blocks. Zero means
	// unknown.
	capacityBlocks uint32
	// lastSequence is the highest sequence number of the events applied.
	lastSequence uint64
}

// Index is an approximate index of cached prefixes. Create it with [New].
type Index struct {
	blocks    []block
	mask      uint64
	endpoints []endpoint
}

// Option configures an [Index].
type Option func(*Index)

// WithBlocks sets the number of blocks in the table, rounded up to a power of
// two. Each takes [BlockBytes] of memory. The default is 131,072.
func WithBlocks(blocks int) Option {
	return func(x *Index) { x.allocate(blocks) }
}

// New returns an empty index.
func New(options ...Option) *Index {
	x := &Index{}
	x.allocate(defaultBlocks)
	for _, option := range options {
		option(x)
	}
	return x
}

// allocate replaces the table by an empty one of at least count blocks.
func (x *Index) allocate(count int) {
	size := uint64(1) << bits.Len(uint(max(count, ways)-1))
	x.blocks = make([]block, size)
	x.mask = size - 1
}

// endpointState returns the state of an endpoint and creates it if needed. The
// pointer is valid until the next call.
func (x *Index) endpointState(id EndpointID) *endpoint {
	for int(id) >= len(x.endpoints) {
		x.endpoints = append(x.endpoints, endpoint{})
	}
	return &x.endpoints[id]
}

// SetCapacity sets the capacity of the endpoint's cache in blocks. Zero means
// unknown; blocks then do not expire by age.
func (x *Index) SetCapacity(id EndpointID, blocks int) {
	x.endpointState(id).capacityBlocks = uint32(max(0, blocks))
}

// Store records that the endpoint has computed and cached the prefixes, ordered
// from the shortest to the longest.
func (x *Index) Store(id EndpointID, prefixes []uint64) {
	e := x.endpointState(id)
	// Store the longest first, so that the shortest is the most recent: an engine
	// evicts the end of a prefix chain before its start.
	for i := len(prefixes) - 1; i >= 0; i-- {
		e.storedBlocks++
		x.put(e.key(id, prefixes[i]), id, e.storedBlocks)
	}
}

// put stores a block in the slot that already has its key, in a free slot, or in
// that of the oldest block.
func (x *Index) put(key uint64, id EndpointID, stamp uint32) {
	slot, slotAge := uint64(0), uint32(0)
	for i := range uint64(ways) {
		candidate := (key + i) & x.mask
		b := x.blocks[candidate]
		if b.key == key || b.key == 0 {
			slot = candidate
			break
		}
		if candidateAge := x.endpoints[b.endpoint].storedBlocks - b.stamp; i == 0 || candidateAge > slotAge {
			slot, slotAge = candidate, candidateAge
		}
	}
	x.blocks[slot] = block{key: key, endpoint: id, stamp: stamp}
}

// Remove records that the endpoint has evicted the prefixes.
func (x *Index) Remove(id EndpointID, prefixes []uint64) {
	e := x.endpointState(id)
	for _, prefix := range prefixes {
		if slot, ok := x.find(e.key(id, prefix)); ok {
			// The slot keeps a tombstone: put ends its search at a free slot and
			// would store a second copy of a block that is in a later slot.
			x.blocks[slot].key = evictedKey
		}
	}
}

// evictedKey is the key of a slot whose block was evicted. No block has this key.
const evictedKey = ^uint64(0)

// Clear records that the endpoint has lost its whole cache. A restarted engine may number
// its events anew.
func (x *Index) Clear(id EndpointID) {
	e := x.endpointState(id)
	e.generation++
	e.lastSequence = 0
}

// CachedBlocks returns how many leading blocks of the prompt the endpoint has probably
// cached. It uses binary search, because a cached prefix implies that the shorter
// ones are cached too.
func (x *Index) CachedBlocks(id EndpointID, prefixes []uint64) (blocks int) {
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

// has reports whether a block is in the table and is not older than the capacity of the
// endpoint's cache.
func (x *Index) has(e *endpoint, key uint64) bool {
	slot, ok := x.find(key)
	if !ok {
		return false
	}
	return e.capacityBlocks == 0 || e.storedBlocks-x.blocks[slot].stamp < e.capacityBlocks
}

// find returns the slot that holds a key.
func (x *Index) find(key uint64) (slot uint64, ok bool) {
	for i := range uint64(ways) {
		slot = (key + i) & x.mask
		if x.blocks[slot].key == key {
			return slot, true
		}
	}
	return 0, false
}

// key hashes a prefix with the endpoint and its generation. It never returns zero
// or [evictedKey].
func (e *endpoint) key(id EndpointID, prefix uint64) (key uint64) {
	key = prefix ^ (uint64(id)+1)*0x9e3779b97f4a7c15 ^ uint64(e.generation)*0xc2b2ae3d27d4eb4f
	key ^= key >> 32
	key *= 0xd6e8feb86659fd93
	key ^= key >> 32
	if key == 0 || key == evictedKey {
		return 1
	}
	return key
}
