package banyanplank

import (
	"strconv"
	"time"
)

// AccountID identifies a client account, on whose behalf requests run.
type AccountID string

// DaemonID identifies a daemon across restarts of its process. The
// [Incarnation] distinguishes the processes.
type DaemonID string

// GroupName identifies a group of ranks that share the experts of one model.
type GroupName string

// InstanceID identifies a machine in the platform's instance list.
type InstanceID string

// Region identifies a set of availability zones that rarely fail together.
type Region string

// ServiceName identifies a service that callers address.
type ServiceName string

// Zone identifies an availability zone.
type Zone string

// Incarnation orders the processes of one daemon: a later process has a larger
// number. It is the start time of the process in nanoseconds since the Unix
// epoch.
type Incarnation uint64

// NewIncarnation returns the incarnation of a process that started at t.
func NewIncarnation(t time.Time) Incarnation {
	return Incarnation(t.UnixNano())
}

// Revision orders accepted configurations. Zero means that none is known.
type Revision uint64

// String returns the revision as a decimal number.
func (r Revision) String() string {
	return strconv.FormatUint(uint64(r), 10)
}
