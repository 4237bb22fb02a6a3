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

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() (text []byte, err error) {
	return []byte(d.String()), nil
}

// UnmarshalText reads what [Digest.MarshalText] wrote.
func (d *Digest) UnmarshalText(text []byte) (err error) {
	_, err = hex.Decode(d[:], text)
	return err
}

// NewKeyDigest digests the idempotency key of one client account. Equal keys
// of different accounts have different digests.
func NewKeyDigest(account AccountID, key string) Digest {
	return digest([]byte(account), []byte(key))
}

// NewCallDigest digests what a call asks for, so that a key that returns with
// another call is noticed.
func NewCallDigest(service ServiceName, method, path string, body []byte) Digest {
	return digest([]byte(service), []byte(method), []byte(path), body)
}

// digest digests fields so that no two different lists have the same input.
func digest(fields ...[]byte) (sum Digest) {
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

// Binding ties the key of a non-repeatable request to the one run of the one
// agent that may start it. An agent refuses a binding that names another
// daemon or incarnation than its own.
type Binding struct {
	Daemon      DaemonID
	Incarnation Incarnation
	// Generation orders the bindings of one key. A key moves to a higher one
	// only after the agent of the lower one has promised never to run it.
	Generation uint64
	// Call digests the call that the key stands for.
	Call Digest
	// Until is when the agent stops starting the request.
	Until time.Time
}

// Bound reports whether the binding names an agent.
func (b Binding) Bound() bool {
	return b.Daemon != ""
}
