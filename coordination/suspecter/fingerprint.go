package suspecter

import (
	"github.com/cespare/xxhash/v2"

	"github.com/banyanplank/banyanplank"
)

// Fingerprint knows a request again when its caller repeats it. The upper half
// is a hash of the client account, the lower half one of the call.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(request *banyanplank.Request) Fingerprint {
	account := xxhash.Sum64String(string(request.Account))
	var call xxhash.Digest
	call.Reset()
	// A digest's writes do not fail.
	_, _ = call.WriteString(string(request.Service))
	_, _ = call.WriteString("\x00")
	_, _ = call.WriteString(request.Path)
	_, _ = call.WriteString("\x00")
	_, _ = call.Write(request.Body)
	return Fingerprint(account<<32 | call.Sum64()>>32)
}

// account returns the part that is the same for all requests of an account.
func (f Fingerprint) account() uint32 {
	return uint32(f >> 32)
}

// DeathID names one death of one endpoint.
type DeathID uint64

// DeathOf returns the id of the death that ended a boot of the endpoint beside
// a daemon.
func DeathOf(daemon banyanplank.DaemonID, boot string) DeathID {
	return DeathID(xxhash.Sum64String(string(daemon) + "\x00" + boot))
}
