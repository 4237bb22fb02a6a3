package banyanplank

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across repetitions by its caller. The upper
// half is a hash of the client account, the lower half a hash of the call.
type Fingerprint uint64

// Fingerprint returns the request's fingerprint.
func (r *Request) Fingerprint() Fingerprint {
	return NewFingerprint(r.Account, string(r.Service), r.Path, r.Body)
}

// NewFingerprint returns the fingerprint of a call of an account. Scope
// distinguishes equal paths, such as those of two hosts.
func NewFingerprint(account AccountID, scope, path string, body []byte) Fingerprint {
	var call xxhash.Digest
	call.Reset()
	// Writes to a digest never fail.
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

// Account returns the half that all requests of an account share.
func (f Fingerprint) Account() uint32 {
	return uint32(f >> 32)
}

// DeathID identifies one crash of one endpoint.
type DeathID uint64

// NewDeathID returns the id of the death that ended the given boot of an
// endpoint.
func NewDeathID(endpoint, boot string) DeathID {
	return DeathID(xxhash.Sum64String(endpoint + "\x00" + boot))
}

// FindingKind is what a finding reports.
type FindingKind uint8

// The kinds of findings.
const (
	// FindingDeath reports the requests that an endpoint was running when it
	// died.
	FindingDeath FindingKind = iota
	// FindingWithdrawn revokes a FindingDeath: the endpoint had not died.
	FindingWithdrawn
	// FindingCleared reports suspect requests that ran to completion.
	FindingCleared
	// FindingConvicted reports requests that were identified as crashing
	// endpoints.
	FindingConvicted
	// FindingAcquitted reports convicted requests that ran to completion
	// nevertheless.
	FindingAcquitted
	// FindingTrial reports that an entry is about to run, or runs, a request with suspect
	// parts. Its Death identifies the trial.
	FindingTrial
)

// StoredFindings is what a daemon saved in a [FindingStore]. Ages and remaining times are as
// of the wall-clock time At.
type StoredFindings struct {
	At       time.Time
	Findings []Finding
}

// Finding is a message between daemons about requests and parts of prompts that crash
// endpoints.
// It takes about 8 bytes for each request that was running.
type Finding struct {
	Kind  FindingKind
	Death DeathID
	// Requests lists the requests, most recently started first.
	Requests []Fingerprint
	// Parts lists parts of prompts: of a FindingDeath those of requests that had no answer
	// yet, of a FindingCleared those that were answered, of a FindingConvicted those that
	// crash endpoints together.
	Parts []PartID
	// RunTimes holds how long each request had been running when the endpoint died.
	// It is empty if unknown.
	RunTimes []time.Duration
	// Age is the time since the endpoint died, or since the answer that cleared.
	Age time.Duration
	// Remaining is the time until a conviction expires.
	Remaining time.Duration
}
