package banyanplank

import (
	"strconv"
	"time"
)

// AccountID names a client account, the party on whose behalf a request runs.
type AccountID string

// DaemonID names one daemon process slot. It stays the same when the process
// restarts; the [Incarnation] tells the runs apart.
type DaemonID string

// GroupName names a group of ranks that share the experts of one model.
type GroupName string

// InstanceID names a machine as the platform's instance list knows it.
type InstanceID string

// Region names a set of availability zones that fail together only rarely.
type Region string

// ServiceName names a service that callers address.
type ServiceName string

// Zone names an availability zone.
type Zone string

// Incarnation orders the runs of one daemon: a later run has a larger number.
// It is the start time of the process in nanoseconds since the Unix epoch.
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
