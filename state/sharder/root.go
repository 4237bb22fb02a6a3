// Package sharder splits a configuration into small content-addressed shards and
// joins them again.
//
// A [Root] names the shards of one revision. The name of a shard is a digest of
// its content, so two revisions share every unchanged shard. Client accounts are
// distributed over shards by a hash of their names, so changing one account
// replaces one account shard and the index.
package sharder

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// maxRecentSubmissions limits the submissions that a root lists.
const maxRecentSubmissions = 16

// Name is the name of a shard: a digest of its content in URL-safe Base64.
type Name string

// digestBytes is the length of the digest in a [Name] before encoding.
const digestBytes = 16

// NameOf returns the name of the shard with the content value.
func NameOf(value []byte) Name {
	sum := sha256.Sum256(value)
	return Name(base64.RawURLEncoding.EncodeToString(sum[:digestBytes]))
}

// Shard is one part of a configuration.
type Shard struct {
	Name  Name
	Value []byte
}

// Submission records the revision that an accepted submission produced.
type Submission struct {
	Revision banyanplank.Revision `toml:"revision"`
	ID       Name                 `toml:"id"`
}

// Root names all shards of one revision. It holds the zones itself, so that
// taking a zone out of service changes no shard.
type Root struct {
	Revision banyanplank.Revision   `toml:"revision"`
	Zones    []banyanplank.ZoneSpec `toml:"zones"`
	Services Name                   `toml:"services"`
	Groups   Name                   `toml:"groups"`
	// Shards is the number of account shards, a power of two. An account is in
	// the shard whose index is the low bits of the hash of its name.
	Shards int `toml:"shards"`
	// Index names the shard that lists the names of the account shards. The list
	// is not in the root because the root is read far more often than it changes.
	Index Name `toml:"index"`
	// Recent lists the latest submissions, newest last.
	Recent []Submission `toml:"recent"`
}

// DecodeRoot decodes the output of [Root.Encode]. It rejects invalid TOML and a
// number of account shards that is not a power of two.
func DecodeRoot(value []byte) (root Root, err error) {
	defer func() { err = errors.Wrap(err, "decode the root") }()
	if err = toml.Unmarshal(value, &root); err != nil {
		return Root{}, err
	}
	if n := root.Shards; n < 0 || n&(n-1) != 0 {
		return Root{}, errors.Newf("number of account shards is %d, want a power of two", n)
	}
	return root, nil
}

// Encode returns the root as TOML. Equal roots have equal encodings. A root
// larger than [banyanplank.MaxValueBytes] is an error.
func (r Root) Encode() (value []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode the root") }()
	value, err = toml.Marshal(r)
	if err == nil && len(value) > banyanplank.MaxValueBytes {
		err = errors.Newf("size is %d bytes, limit is %d", len(value), banyanplank.MaxValueBytes)
	}
	return value, err
}

// Names returns the distinct names of all shards of the root in ascending order.
// The account shards are included only if values has the index.
func (r Root) Names(values map[Name][]byte) (names []Name) {
	names = append(names, r.Services, r.Groups, r.Index)
	if value, ok := values[r.Index]; ok {
		names = append(names, decodeIndex(value)...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return slices.DeleteFunc(names, func(name Name) bool { return name == "" })
}

// accountIndex is the content of the index shard.
type accountIndex struct {
	Accounts []Name `toml:"accounts"`
}

// decodeIndex returns the names of the account shards, or nil if value is not an
// index.
func decodeIndex(value []byte) (names []Name) {
	var i accountIndex
	if toml.Unmarshal(value, &i) != nil {
		return nil
	}
	return i.Accounts
}

// EqualContent reports whether both roots describe the same configuration,
// regardless of their revisions.
func (r Root) EqualContent(other Root) (equal bool) {
	return r.Services == other.Services && r.Groups == other.Groups &&
		r.Index == other.Index && slices.Equal(r.Zones, other.Zones)
}

// AcceptedRevision returns the revision that the submission id produced. It reports false
// if the submission is not among the recent ones.
func (r Root) AcceptedRevision(id Name) (revision banyanplank.Revision, ok bool) {
	for _, s := range r.Recent {
		if s.ID == id {
			return s.Revision, true
		}
	}
	return 0, false
}

// SuccessorOf returns the root as the successor of previous, produced by the
// submission id.
func (r Root) SuccessorOf(previous Root, id Name) (next Root) {
	next = r
	next.Revision = previous.Revision + 1
	next.Recent = append(slices.Clone(previous.Recent), Submission{Revision: next.Revision, ID: id})
	if extra := len(next.Recent) - maxRecentSubmissions; extra > 0 {
		next.Recent = next.Recent[extra:]
	}
	return next
}
