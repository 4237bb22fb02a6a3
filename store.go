package banyanplank

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Version is the platform's version of one object. Zero means that the object
// does not exist. The versions of all objects come from one counter, which increases
// within an [Era].
type Version uint64

// Object is an object in the platform's object API.
type Object struct {
	Name    string
	Version Version
	// Era is that of the store when it returned the object. Versions are compared together with
	// it only. See [Object.Position].
	Era Era
	// Value is at most [MaxValueBytes] bytes long.
	Value []byte
}

// Position returns the object's version and its era.
func (o Object) Position() (position Position) { return Position{Era: o.Era, Revision: o.Version} }

// The errors of an [ObjectStore].
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the expected one.
	// Nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the store refused the call or was not reached.
	// Nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrDenied means that the store rejected the client's key, so that a retry
	// does not help. Such errors match ErrUnavailable too.
	ErrDenied = errors.New("object store denied access")
	// ErrUncertain means that no reply arrived: the write may have taken effect.
	ErrUncertain = errors.New("object store reply lost")
	// ErrTooLarge means that a value is longer than [MaxValueBytes]. Nothing was
	// written.
	ErrTooLarge = errors.New("object value too large")
)

// MaxValueBytes is the maximum length of an object's value in bytes.
const MaxValueBytes = 1 << 20

// ObjectStore is the platform's object API. Every method counts as one call
// against the platform's limits, including a Watch call that waits.
type ObjectStore interface {
	// Get returns the object with the given name, or [ErrNotFound] with an object that has
	// the era of the store only.
	Get(ctx context.Context, name string) (object Object, err error)
	// Put writes value if the object still has the version expect, and
	// returns the position of the change. Expect zero creates the object.
	Put(ctx context.Context, name string, value []byte, expect Version) (position Position, err error)
	// Delete removes the object if it still has the version expect.
	Delete(ctx context.Context, name string, expect Version) (err error)
	// List returns the objects whose names begin with prefix, in name order.
	List(ctx context.Context, prefix string) (objects []Object, err error)
	// Watch waits until an object whose name begins with prefix changes after a
	// position, and returns the changed objects that still exist. It
	// returns neither objects nor an error if the store ends the wait early, and
	// [ErrNewEra] if the store is in a later era.
	Watch(ctx context.Context, prefix string, after Position) (objects []Object, err error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The states of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is a machine in the platform's instance list.
type Instance struct {
	ID    InstanceID    `json:"id"`
	Zone  Zone          `json:"zone"`
	State InstanceState `json:"state"`
}

// InstanceList reads the platform's list of instances, which lags behind the
// actual state.
type InstanceList interface {
	// Instances returns the live and leaving instances.
	Instances(ctx context.Context) (instances []Instance, err error)
}
