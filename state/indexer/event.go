package indexer

// EventKind tells what a cache event reports.
type EventKind uint8

// The kinds of cache events.
const (
	// EventStored reports cached prefixes.
	EventStored EventKind = iota
	// EventRemoved reports evicted prefixes.
	EventRemoved
	// EventCleared reports that the whole cache is empty.
	EventCleared
)

// Event is what an engine publishes of its cache. Events come late, doubled
// and with gaps.
type Event struct {
	Endpoint EndpointID
	Kind     EventKind
	// Sequence numbers the events of one endpoint. Zero means unnumbered.
	Sequence uint64
	Prefixes []uint64
}

// Observe takes in an event. A late or doubled one only adds what may be
// cached: it evicts nothing, because a younger event may have stored it again.
func (x *Index) Observe(event Event) {
	e := x.state(event.Endpoint)
	isLate := event.Sequence != 0 && event.Sequence <= e.sequence
	e.sequence = max(e.sequence, event.Sequence)
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
	}
}

// storeMissing adds the prefixes that are not there, without ageing others
// twice.
func (x *Index) storeMissing(event Event) {
	e := x.state(event.Endpoint)
	for _, prefix := range event.Prefixes {
		key := e.key(event.Endpoint, prefix)
		if _, ok := x.find(key); !ok {
			x.put(key, event.Endpoint, e.stored)
		}
	}
}
