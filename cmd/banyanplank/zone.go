package main

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
)

// zoneArgument is the argument of commands that change one availability zone.
type zoneArgument struct {
	Zone string `positional-arg-name:"ZONE" description:"name of a declared availability zone"`
}

// zoneOutCommand takes a zone out of service.
type zoneOutCommand struct {
	session   *session
	Force     bool         `long:"force" description:"take out the last zone in service too"`
	Arguments zoneArgument `positional-args:"yes" required:"yes"`
}

// zoneInCommand brings a zone back into service.
type zoneInCommand struct {
	session   *session
	Arguments zoneArgument `positional-args:"yes" required:"yes"`
}

func newZoneOutCommand(s *session) (c command) {
	return command{
		name:  "out",
		short: "Take an availability zone out of service",
		long: `Takes a zone out of service. Some seconds later it gets no new work; requests that
run there are completed. The command changes nothing else, so it never conflicts
with another operator's change of something else.

$ banyanplank zone out langtang-a
$ banyanplank status --daemon 10.0.0.1:9000

The last zone in service is refused unless you pass --force.`,
		data: &zoneOutCommand{session: s},
	}
}

func newZoneInCommand(s *session) (c command) {
	return command{
		name:  "in",
		short: "Bring an availability zone back into service",
		long: `Brings a zone back into service. Its endpoints get work again as their agents
find them ready.

$ banyanplank zone in langtang-a`,
		data: &zoneInCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *zoneOutCommand) Execute([]string) (err error) {
	return c.session.changeZone(zoneChange{zone: banyanplank.Zone(c.Arguments.Zone), out: true, force: c.Force})
}

// Execute implements [flags.Commander].
func (c *zoneInCommand) Execute([]string) (err error) {
	return c.session.changeZone(zoneChange{zone: banyanplank.Zone(c.Arguments.Zone)})
}

// zoneChange is a request to take a zone out of service or bring it back. Force
// allows taking out the last zone in service.
type zoneChange struct {
	zone  banyanplank.Zone
	out   bool
	force bool
}

// zoneResult is the JSON form of an accepted [zoneChange].
type zoneResult struct {
	Zone     banyanplank.Zone     `json:"zone"`
	Out      bool                 `json:"out"`
	Revision banyanplank.Revision `json:"revision"`
}

// maxSubmitAttempts bounds the attempts to submit a change that conflicts with
// other changes.
const maxSubmitAttempts = 10

// changeZone submits a zone change and writes the result.
func (s *session) changeZone(change zoneChange) (err error) {
	ctx, cancel := s.withTimeout()
	defer cancel()
	store, err := s.configurationStore()
	if err != nil {
		return err
	}
	revision, err := change.submitWithRetry(ctx, store)
	if err != nil {
		return err
	}
	state := "in service"
	if change.out {
		state = "out of service"
	}
	result := zoneResult{Zone: change.zone, Out: change.out, Revision: revision}
	return s.writeResult(result, fmt.Sprintf("revision %d: zone %s is %s\n", revision, change.zone, state))
}

// submitWithRetry submits the change, up to [maxSubmitAttempts] times while it
// conflicts with other changes.
func (c zoneChange) submitWithRetry(ctx context.Context, store configurationStore) (revision banyanplank.Revision, err error) {
	for range maxSubmitAttempts {
		revision, err = c.submit(ctx, store)
		if _, isConflict := accepter.AsConflict(err); !isConflict {
			break
		}
	}
	return revision, err
}

// submit makes one attempt to change the accepted configuration.
func (c zoneChange) submit(ctx context.Context, store configurationStore) (revision banyanplank.Revision, err error) {
	current, err := store.Current(ctx)
	if err != nil {
		return 0, err
	}
	next, err := c.applyTo(current)
	if err != nil {
		return 0, err
	}
	return store.Accept(ctx, current.Revision, next)
}

// applyTo returns a copy of the configuration with the zone taken out or brought
// back. It fails if the zone is not declared, or if no zone would remain in
// service without force.
func (c zoneChange) applyTo(current *banyanplank.Configuration) (next *banyanplank.Configuration, err error) {
	index := slices.IndexFunc(current.Zones, func(z banyanplank.ZoneSpec) bool { return z.Name == c.zone })
	if index < 0 {
		return nil, newUsageError("ZONE", string(c.zone), "one of the declared zones: "+zoneNames(current))
	}
	copied := *current
	copied.Zones = slices.Clone(current.Zones)
	copied.Zones[index].Out = c.out
	if c.out && !c.force && !hasZoneInService(&copied) {
		return nil, errors.WithStack(newUsageError("ZONE", string(c.zone), "a zone that is not the last in service; --force takes it out nevertheless"))
	}
	return &copied, nil
}

// hasZoneInService reports whether any zone is in service.
func hasZoneInService(configuration *banyanplank.Configuration) (in bool) {
	return slices.ContainsFunc(configuration.Zones, func(z banyanplank.ZoneSpec) bool { return !z.Out })
}

// zoneNames returns the names of the declared zones, separated by commas.
func zoneNames(configuration *banyanplank.Configuration) (names string) {
	var list []string
	for _, z := range configuration.Zones {
		list = append(list, string(z.Name))
	}
	return strings.Join(list, ", ")
}
