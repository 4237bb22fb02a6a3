package sharder

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// ErrMissing reports that a shard of the root is not available.
var ErrMissing = errors.New("shard missing")

// ErrCorrupt reports that the content of a shard does not match its name.
var ErrCorrupt = errors.New("shard does not match its name")

// Verify returns [ErrCorrupt] if the content of the shard does not match its name.
func Verify(shard Shard) (err error) {
	if NameOf(shard.Value) != shard.Name {
		return errors.Wrapf(ErrCorrupt, "shard %s", shard.Name)
	}
	return nil
}

// Missing returns the names of the root's shards that are not in values. The
// account shards are known only if values has the index, so callers that had to
// fetch the index call Missing again.
func Missing(root Root, values map[Name][]byte) (names []Name) {
	for _, name := range root.Names(values) {
		if _, ok := values[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Join assembles the configuration from the root and its shards. It decodes every
// shard; use a [Joiner] to decode unchanged shards of successive revisions once.
// The errors are those of [Joiner.Join].
func Join(root Root, values map[Name][]byte) (configuration *banyanplank.Configuration, err error) {
	return new(Joiner).Join(root, values)
}

// Joiner joins successive revisions and decodes only shards that the preceding
// revision did not have. The zero value is ready to use.
type Joiner struct {
	sections map[Name]section
}

// Join assembles the configuration from the root and its shards. Accounts are
// sorted by name. The error is [ErrMissing] for a shard that is not in values,
// [ErrCorrupt] for one that does not match its name, or a decoding error.
func (j *Joiner) Join(root Root, values map[Name][]byte) (configuration *banyanplank.Configuration, err error) {
	defer func() { err = errors.Wrapf(err, "join revision %d", root.Revision) }()
	if missing := Missing(root, values); len(missing) > 0 {
		return nil, errors.Wrapf(ErrMissing, "%d shards", len(missing))
	}
	if err = Verify(Shard{Name: root.Index, Value: values[root.Index]}); err != nil {
		return nil, err
	}
	accounts := slices.Compact(slices.Sorted(slices.Values(decodeIndex(values[root.Index]))))
	sections := make(map[Name]section, len(accounts))
	for _, name := range append(slices.Clone(accounts), root.Services, root.Groups) {
		if sections[name], err = j.loadSection(name, values); err != nil {
			return nil, err
		}
	}
	j.sections = sections
	configuration = &banyanplank.Configuration{
		Revision: root.Revision,
		Zones:    slices.Clone(root.Zones),
		Services: sections[root.Services].Services,
		Groups:   sections[root.Groups].Groups,
		Accounts: make([]banyanplank.AccountSpec, 0, countAccounts(sections)),
	}
	for _, name := range accounts {
		configuration.Accounts = append(configuration.Accounts, sections[name].Accounts...)
	}
	slices.SortFunc(configuration.Accounts, compareAccounts)
	return configuration, nil
}

// loadSection returns the content of the shard called name, from the preceding
// revision if that had it.
func (j *Joiner) loadSection(name Name, values map[Name][]byte) (s section, err error) {
	if s, ok := j.sections[name]; ok {
		return s, nil
	}
	value := values[name]
	if err = Verify(Shard{Name: name, Value: value}); err != nil {
		return section{}, err
	}
	return s, toml.Unmarshal(value, &s)
}

func countAccounts(sections map[Name]section) (count int) {
	for _, s := range sections {
		count += len(s.Accounts)
	}
	return count
}
