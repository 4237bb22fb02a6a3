package sharder

import (
	"cmp"
	"math/bits"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// Sizes of the account shards.
const (
	// targetAccountsPerShard is the number of accounts per shard that a new split
	// aims at.
	targetAccountsPerShard = 100
	// maxAccountShards limits the size of the index.
	maxAccountShards = 512
)

// section is the content of one shard. Exactly one of the lists is used.
type section struct {
	Services []banyanplank.ServiceSpec `toml:"services,omitempty"`
	Groups   []banyanplank.GroupSpec   `toml:"groups,omitempty"`
	Accounts []banyanplank.AccountSpec `toml:"accounts,omitempty"`
}

// Split splits the configuration into a root without a revision and its shards.
// It keeps the number of account shards of previous while that still fits, so
// that unchanged shards keep their names. A shard larger than
// [banyanplank.MaxValueBytes] is an error.
func Split(configuration *banyanplank.Configuration, previous Root) (root Root, shards []Shard, err error) {
	defer func() { err = errors.Wrap(err, "split the configuration") }()
	root.Zones = slices.Clone(configuration.Zones)
	sections := []section{{Services: configuration.Services}, {Groups: configuration.Groups}}
	count := shardCount(len(configuration.Accounts), previous.Shards)
	sections = append(sections, splitAccounts(configuration.Accounts, count)...)
	names := make([]Name, 0, len(sections))
	for _, s := range sections {
		shard, err := encodeSection(s)
		if err != nil {
			return Root{}, nil, err
		}
		shards = append(shards, shard)
		names = append(names, shard.Name)
	}
	list, err := toml.Marshal(accountIndex{Accounts: names[2:]})
	if err != nil {
		return Root{}, nil, err
	}
	shards = append(shards, Shard{Name: NameOf(list), Value: list})
	root.Services, root.Groups, root.Index, root.Shards = names[0], names[1], NameOf(list), count
	return root, shards, nil
}

// SubmissionID returns the ID of the submission of configuration on top of base. The
// same configuration on the same base has the same ID, so a repeated submission
// is recognized. The errors are those of [Split] and [Root.Encode].
func SubmissionID(configuration *banyanplank.Configuration, base banyanplank.Revision) (id Name, err error) {
	root, _, err := Split(configuration, Root{})
	if err != nil {
		return "", err
	}
	value, err := root.Encode()
	if err != nil {
		return "", err
	}
	return NameOf(strconv.AppendUint(value, uint64(base), 10)), nil
}

// shardCount returns the number of shards for the accounts. It keeps previous while
// that is between half and twice the wanted power of two, so that a small change
// does not move accounts between shards.
func shardCount(accounts, previous int) (count int) {
	wanted := 1
	if needed := (accounts + targetAccountsPerShard - 1) / targetAccountsPerShard; needed > 1 {
		wanted = 1 << bits.Len(uint(needed-1))
	}
	wanted = min(wanted, maxAccountShards)
	if previous > 0 && wanted <= 2*previous && previous <= 2*wanted {
		return previous
	}
	return wanted
}

// splitAccounts distributes the accounts over count sections, each sorted by name.
func splitAccounts(accounts []banyanplank.AccountSpec, count int) (sections []section) {
	sections = make([]section, count)
	for _, a := range accounts {
		s := &sections[shardIndex(a.Name, count)]
		s.Accounts = append(s.Accounts, a)
	}
	for _, s := range sections {
		slices.SortFunc(s.Accounts, compareAccounts)
	}
	return sections
}

// shardIndex returns the index of the shard that holds the account. The count is
// a power of two.
func shardIndex(account banyanplank.AccountID, count int) (index int) {
	return int(xxhash.Sum64String(string(account)) & uint64(count-1))
}

func compareAccounts(a, b banyanplank.AccountSpec) (order int) {
	return cmp.Compare(a.Name, b.Name)
}

// encodeSection returns the shard that holds the section.
func encodeSection(s section) (shard Shard, err error) {
	value, err := toml.Marshal(s)
	if err != nil {
		return Shard{}, err
	}
	if len(value) > banyanplank.MaxValueBytes {
		return Shard{}, errors.Newf("shard with %d services, %d groups and %d accounts has %d bytes, limit is %d",
			len(s.Services), len(s.Groups), len(s.Accounts), len(value), banyanplank.MaxValueBytes)
	}
	return Shard{Name: NameOf(value), Value: value}, nil
}
