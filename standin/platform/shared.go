package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// historyRetention is how long overwritten values stay visible to reads with a
// lag.
const historyRetention = 2 * time.Minute

// historyEntry is the value of an object or instance from since until the next
// entry. The value is unset if the object or instance didn't exist.
type historyEntry[T any] struct {
	since  time.Time
	value  T
	exists bool
}

// sharedState is the state shared by all clients of one platform.
type sharedState struct {
	mu sync.Mutex
	// positions holds the position of the last change.
	positions  []historyEntry[banyanplank.Position]
	objects    map[string][]historyEntry[banyanplank.Object]
	instances  map[banyanplank.InstanceID][]historyEntry[banyanplank.Instance]
	changed    chan struct{}
	callCounts CallCounts
}

func newSharedState() *sharedState {
	return &sharedState{
		objects:   make(map[string][]historyEntry[banyanplank.Object]),
		instances: make(map[banyanplank.InstanceID][]historyEntry[banyanplank.Instance]),
		changed:   make(chan struct{}),
	}
}

// nextChange returns a channel that is closed at the next change.
func (s *sharedState) nextChange() (changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes all pending watches.
func (s *sharedState) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

func (s *sharedState) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the object as it was at the given time.
func (s *sharedState) get(name string, at time.Time) (object banyanplank.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok = valueAt(s.objects[name], at)
	object.Era = s.positionAt(at).Era
	return cloneObject(object), ok
}

// list returns the objects with the name prefix and a version above after, as
// they were at the given time, ordered by name.
func (s *sharedState) list(prefix string, after banyanplank.Version, at time.Time) (objects []banyanplank.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, history := range s.objects {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		object, ok := valueAt(history, at)
		if ok && object.Version > after {
			object.Era = s.positionAt(at).Era
			objects = append(objects, cloneObject(object))
		}
	}
	slices.SortFunc(objects, func(a, b banyanplank.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// put writes the value if the object has the expected version, or doesn't exist
// if expect is zero. Otherwise it returns [banyanplank.ErrConflict].
func (s *sharedState) put(name string, value []byte, expect banyanplank.Version) (position banyanplank.Position, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, _ := valueAt(s.objects[name], time.Now())
	if current.Version != expect {
		return position, banyanplank.ErrConflict
	}
	position = s.advance()
	object := banyanplank.Object{Name: name, Version: position.Revision, Value: value}
	s.objects[name] = appendHistory(s.objects[name], object, true)
	s.notifyLocked()
	return position, nil
}

// remove deletes the object if it has the expected version.
func (s *sharedState) remove(name string, expect banyanplank.Version) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := valueAt(s.objects[name], time.Now())
	if !ok {
		return banyanplank.ErrNotFound
	}
	if current.Version != expect {
		return banyanplank.ErrConflict
	}
	s.advance()
	s.objects[name] = appendHistory(s.objects[name], banyanplank.Object{}, false)
	s.notifyLocked()
	return nil
}

// era returns the era of the store at the given time.
func (s *sharedState) era(at time.Time) (era banyanplank.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positionAt(at).Era
}

// positionAt returns the position of the store at the given time.
func (s *sharedState) positionAt(at time.Time) (position banyanplank.Position) {
	position, _ = valueAt(s.positions, at)
	return position
}

// advance returns the position of the next change.
func (s *sharedState) advance() (position banyanplank.Position) {
	position = s.positionAt(time.Now())
	position.Revision++
	s.positions = appendHistory(s.positions, position, true)
	return position
}

// setEra sets the era.
func (s *sharedState) setEra(era banyanplank.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.positions = appendHistory(s.positions, banyanplank.Position{Era: era, Revision: s.positionAt(time.Now()).Revision}, true)
}

// returnFrom restores the objects as they were at the given time, in the next era.
func (s *sharedState) returnFrom(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, history := range s.objects {
		object, ok := valueAt(history, at)
		s.objects[name] = appendHistory(history, object, ok)
	}
	position := banyanplank.Position{Era: s.positionAt(time.Now()).Era + 1, Revision: s.positionAt(at).Revision}
	s.positions = appendHistory(s.positions, position, true)
	s.notifyLocked()
}

// setInstance records the current state of an instance.
func (s *sharedState) setInstance(instance banyanplank.Instance, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = appendHistory(s.instances[instance.ID], instance, exists)
}

// listInstances returns the instances as they were at the given time, ordered by
// ID.
func (s *sharedState) listInstances(at time.Time) (instances []banyanplank.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, history := range s.instances {
		instance, ok := valueAt(history, at)
		if ok {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(a, b banyanplank.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// appendHistory appends the current value and drops entries that have been
// replaced for longer than [historyRetention].
func appendHistory[T any](history []historyEntry[T], value T, exists bool) []historyEntry[T] {
	now := time.Now()
	for len(history) > 1 && now.Sub(history[1].since) > historyRetention {
		history = history[1:]
	}
	return append(history, historyEntry[T]{since: now, value: value, exists: exists})
}

// valueAt returns the value at the given time, and whether it existed.
func valueAt[T any](history []historyEntry[T], at time.Time) (value T, exists bool) {
	for _, entry := range slices.Backward(history) {
		if !entry.since.After(at) {
			return entry.value, entry.exists
		}
	}
	return value, false
}

// cloneObject returns a copy, so that the caller can't modify the stored value.
func cloneObject(object banyanplank.Object) banyanplank.Object {
	object.Value = slices.Clone(object.Value)
	return object
}
