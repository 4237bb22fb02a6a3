package sharder

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// ErrMissing means that the shards at hand do not make up the whole root.
var ErrMissing = errors.New("shard missing")

// ErrCorrupt means that a shard's content does not fit its name.
var ErrCorrupt = errors.New("shard does not match its name")

// Verify reports a shard whose content does not fit its name.
func Verify(shard Shard) (err error) {
	if NameOf(shard.Value) != shard.Name {
		return errors.Wrapf(ErrCorrupt, "shard %s", shard.Name)
	}
	return nil
}

// Missing returns the names of the root's shards that values lacks. The account
// shards are known only when values has the index, so ask again after reading
// what was missing.
func Missing(root Root, values map[Name][]byte) (names []Name) {
	for _, name := range root.Names(values) {
		if _, ok := values[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// Join makes the configuration out of the root and its shards. It decodes only
// shards; use a [Joiner] to decode each shard once.
func Join(root Root, values map[Name][]byte) (configuration *banyanplank.Configuration, err error) {
	return new(Joiner).Join(root, values)
}

// Joiner joins successive revisions and decodes only shards that it has not
// seen in the revision before. The zero value is ready to use.
type Joiner struct {
	sections map[Name]section
}

// Join makes the configuration out of the root and its shards. Accounts are in
// name order.
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
		if sections[name], err = j.section(name, values); err != nil {
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

// section returns the decoded shard called name.
func (j *Joiner) section(name Name, values map[Name][]byte) (s section, err error) {
	if s, ok := j.sections[name]; ok {
		return s, nil
	}
	value := values[name]
	if err = Verify(Shard{Name: name, Value: value}); err != nil {
		return section{}, err
	}
	return s, toml.Unmarshal(value, &s)
}

// countAccounts returns the number of accounts in all sections.
func countAccounts(sections map[Name]section) (count int) {
	for _, s := range sections {
		count += len(s.Accounts)
	}
	return count
}
