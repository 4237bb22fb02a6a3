package banyanplank

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() (text []byte, err error) {
	return []byte(d.String()), nil
}

// UnmarshalText parses the output of [Digest.MarshalText].
func (d *Digest) UnmarshalText(text []byte) (err error) {
	_, err = hex.Decode(d[:], text)
	return err
}

// NewKeyDigest returns the digest of an idempotency key of a client account.
// Equal keys of different accounts have different digests.
func NewKeyDigest(account AccountID, key string) Digest {
	return hashFields([]byte(account), []byte(key))
}

// NewCallDigest returns the digest of the contents of a call. It detects an
// idempotency key that is reused for a different call.
func NewCallDigest(service ServiceName, method, path string, body []byte) Digest {
	return hashFields([]byte(service), []byte(method), []byte(path), body)
}

// hashFields returns the digest of fields. Each field is prefixed with its
// length, so that different lists never hash the same input.
func hashFields(fields ...[]byte) (sum Digest) {
	hash := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		hash.Write(length[:])
		hash.Write(field)
	}
	hash.Sum(sum[:0])
	return sum
}

// Binding ties the key of a non-repeatable request to the single incarnation
// of the single agent that may start it. An agent refuses a binding that names
// another daemon or incarnation than its own.
type Binding struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Generation orders the bindings of one key. A key gets a higher generation
	// only after the agent of the lower one has promised never to run it.
	Generation uint64
	// Call is the digest of the call that the key identifies.
	Call Digest
	// StartDeadline is the time after which the agent must not start the request.
	StartDeadline time.Time
}

// IsBound reports whether the binding names an agent.
func (b Binding) IsBound() bool {
	return b.Daemon != ""
}
