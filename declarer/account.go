package declarer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/banyanplank/banyanplank"
)

// AccountOption configures a client account.
type AccountOption func(*banyanplank.AccountSpec)

// WithAccount declares a client account. The digest is that of its secret key, as
// returned by [Digest]; keep the secret itself out of the program. Without options
// the account has weight 1 and no limits.
func WithAccount(name banyanplank.AccountID, digest string, options ...AccountOption) Option {
	spec := banyanplank.AccountSpec{Name: name, KeyDigest: digest}
	for _, option := range options {
		option(&spec)
	}
	return func(d *Declaration) {
		d.configuration.Accounts = append(d.configuration.Accounts, spec)
	}
}

// Digest returns the hexadecimal SHA-256 digest of a secret key.
func Digest(secret string) (digest string) {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// WithWeight sets the account's share of a contended endpoint relative to other
// accounts. Use equal weights for equal shares. The default is 1.
func WithWeight(weight int) AccountOption {
	return func(a *banyanplank.AccountSpec) { a.Weight = weight }
}

// WithPriority orders the account's requests before those of accounts with a lower
// priority. Use it sparingly, as it can starve them. The default is 0.
func WithPriority(priority int) AccountOption {
	return func(a *banyanplank.AccountSpec) { a.Priority = priority }
}

// WithRate limits the account's requests per second. Use it to keep one account
// from saturating the fleet. The default is no limit.
func WithRate(rate float64) AccountOption {
	return func(a *banyanplank.AccountSpec) { a.MaxRate = rate }
}

// WithConcurrent limits the account's requests in flight. Use it for accounts with
// long answers. The default is no limit.
func WithConcurrent(requests int) AccountOption {
	return func(a *banyanplank.AccountSpec) { a.MaxConcurrent = requests }
}
