package platform

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/banyanplank/banyanplank"
)

// historyKept is how long overwritten values stay readable for lagging reads.
const historyKept = 2 * time.Minute

// state is a value that something had from a point in time on.
type state[T any] struct {
	since  time.Time
	value  T
	exists bool
}

// shared holds what all views of one platform see.
type shared struct {
	mu        sync.Mutex
	version   banyanplank.Version
	objects   map[string][]state[banyanplank.Object]
	instances map[banyanplank.InstanceID][]state[banyanplank.Instance]
	changed   chan struct{}
	calls     Calls
}

// newShared returns an empty state.
func newShared() *shared {
	return &shared{
		objects:   make(map[string][]state[banyanplank.Object]),
		instances: make(map[banyanplank.InstanceID][]state[banyanplank.Instance]),
		changed:   make(chan struct{}),
	}
}

// changes returns a channel that closes at the next change.
func (s *shared) changes() (changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes all waiting watches.
func (s *shared) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

func (s *shared) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the object called name as it was at a time.
func (s *shared) get(name string, at time.Time) (object banyanplank.Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok = stateAt(s.objects[name], at)
	return clone(object), ok
}

// list returns the objects below prefix with a version above after, as they
// were at a time.
func (s *shared) list(prefix string, after banyanplank.Version, at time.Time) (objects []banyanplank.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, history := range s.objects {
		if !strings.HasPrefix(name, prefix) {
			continue
		}
		object, ok := stateAt(history, at)
		if ok && object.Version > after {
			objects = append(objects, clone(object))
		}
	}
	slices.SortFunc(objects, func(a, b banyanplank.Object) int { return cmp.Compare(a.Name, b.Name) })
	return objects
}

// put writes a value under a condition.
func (s *shared) put(name string, value []byte, expect banyanplank.Version) (version banyanplank.Version, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, _ := stateAt(s.objects[name], time.Now())
	if current.Version != expect {
		return 0, banyanplank.ErrConflict
	}
	s.version++
	object := banyanplank.Object{Name: name, Version: s.version, Value: value}
	s.objects[name] = record(s.objects[name], object, true)
	s.notifyLocked()
	return s.version, nil
}

// remove deletes an object under a condition.
func (s *shared) remove(name string, expect banyanplank.Version) (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := stateAt(s.objects[name], time.Now())
	if !ok {
		return banyanplank.ErrNotFound
	}
	if current.Version != expect {
		return banyanplank.ErrConflict
	}
	s.version++
	s.objects[name] = record(s.objects[name], banyanplank.Object{}, false)
	s.notifyLocked()
	return nil
}

// setInstance records the present state of an instance.
func (s *shared) setInstance(instance banyanplank.Instance, exists bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances[instance.ID] = record(s.instances[instance.ID], instance, exists)
}

// instancesAt returns the list as it was at a time, ordered by identifier.
func (s *shared) instancesAt(at time.Time) (instances []banyanplank.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, history := range s.instances {
		instance, ok := stateAt(history, at)
		if ok {
			instances = append(instances, instance)
		}
	}
	slices.SortFunc(instances, func(a, b banyanplank.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return instances
}

// record appends the present state to a history and drops what no read can
// see any more.
func record[T any](history []state[T], value T, exists bool) []state[T] {
	now := time.Now()
	for len(history) > 1 && now.Sub(history[1].since) > historyKept {
		history = history[1:]
	}
	return append(history, state[T]{since: now, value: value, exists: exists})
}

// stateAt returns the value that a history gives for a time.
func stateAt[T any](history []state[T], at time.Time) (value T, exists bool) {
	for _, s := range slices.Backward(history) {
		if !s.since.After(at) {
			return s.value, s.exists
		}
	}
	return value, false
}

// clone copies an object so that its reader cannot change the stored value.
func clone(object banyanplank.Object) banyanplank.Object {
	object.Value = slices.Clone(object.Value)
	return object
}
