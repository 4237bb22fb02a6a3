package indexer

// EventKind is the kind of a cache event.
type EventKind uint8

// The kinds of cache events.
const (
	// EventStored reports prefixes added to the cache.
	EventStored EventKind = iota
	// EventRemoved reports prefixes evicted from the cache.
	EventRemoved
	// EventCleared reports that the whole cache was lost.
	EventCleared
)

// Event is a cache event published by an engine. Events may arrive out of order,
// duplicated and with gaps.
type Event struct {
	Endpoint EndpointID
	Kind     EventKind
	// Sequence numbers the events of one endpoint. Zero means that they have no
	// numbers.
	Sequence uint64
	Prefixes []uint64
}

// ApplyEvent updates the index from an event. A late or duplicate event only
// adds prefixes: it removes none, because a newer event may have stored them
// again.
func (x *Index) ApplyEvent(event Event) {
	e := x.endpointState(event.Endpoint)
	isLate := event.Sequence != 0 && event.Sequence <= e.lastSequence
	e.lastSequence = max(e.lastSequence, event.Sequence)
	switch {
	case event.Kind == EventStored && isLate:
		x.storeMissing(event)
	case event.Kind == EventStored:
		x.Store(event.Endpoint, event.Prefixes)
	case isLate:
	case event.Kind == EventRemoved:
		x.Remove(event.Endpoint, event.Prefixes)
	case event.Kind == EventCleared:
		x.Clear(event.Endpoint)
		e.lastSequence = event.Sequence
	}
}

// storeMissing adds the prefixes that are not in the index. Unlike
// [Index.Store], it does not count them, so that a duplicate event does not age
// the other blocks again.
func (x *Index) storeMissing(event Event) {
	e := x.endpointState(event.Endpoint)
	for _, prefix := range event.Prefixes {
		key := e.key(event.Endpoint, prefix)
		if _, ok := x.find(key); !ok {
			x.put(key, event.Endpoint, e.storedBlocks)
		}
	}
}
