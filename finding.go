package banyanplank

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint knows a request again when its caller repeats it. The upper half
// is a hash of the client account, the lower half one of the call.
type Fingerprint uint64

// Fingerprint returns the request's fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	return NewFingerprint(r.Account, string(r.Service), r.Path, r.Body)
}

// NewFingerprint returns the fingerprint of a call of an account. Scope tells equal
// paths apart, such as those of two hosts.
func NewFingerprint(account AccountID, scope, path string, body []byte) Fingerprint {
	var call xxhash.Digest
	call.Reset()
	// A digest's writes do not fail.
	_, _ = call.WriteString(scope)
	_, _ = call.WriteString("\x00")
	_, _ = call.WriteString(path)
	_, _ = call.WriteString("\x00")
	_, _ = call.Write(body)
	return Fingerprint(xxhash.Sum64String(string(account))<<32 | call.Sum64()>>32)
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}

// Account returns the part that is the same for all requests of an account.
func (f Fingerprint) Account() uint32 {
	return uint32(f >> 32)
}

// DeathID names one death of one endpoint.
type DeathID uint64

// NewDeathID returns the id of the death that ended a boot of an endpoint.
func NewDeathID(endpoint, boot string) DeathID {
	return DeathID(xxhash.Sum64String(endpoint + "\x00" + boot))
}

// FindingKind tells what a finding reports.
type FindingKind uint8

// The kinds of findings.
const (
	// FindingDeath reports which requests an endpoint ran when it died.
	FindingDeath FindingKind = iota
	// FindingWithdrawn reports that the endpoint had not died after all.
	FindingWithdrawn
	// FindingCleared reports that suspects ran to their end.
	FindingCleared
	// FindingConvicted reports requests that are found to crash endpoints.
	FindingConvicted
	// FindingAcquitted reports convicted requests that ran to their end all the same.
	FindingAcquitted
)

// Finding is what daemons tell each other of crashing requests. It takes about
// 8 bytes for each request that ran.
type Finding struct {
	Kind  FindingKind
	Death DeathID
	// Requests lists the requests, the latest started first.
	Requests []Fingerprint
	// Ran holds how long each request had run when the endpoint died. It is empty
	// when that isn't known.
	Ran []time.Duration
	// Age is how long ago the endpoint died.
	Age time.Duration
	// Left is how long a conviction still holds.
	Left time.Duration
}
