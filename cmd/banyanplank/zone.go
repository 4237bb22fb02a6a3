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

// zoneArgument is the availability zone of a command.
type zoneArgument struct {
	Zone string `positional-arg-name:"ZONE" description:"name of a declared availability zone"`
}

// zoneOutCommand takes a zone out of service.
type zoneOutCommand struct {
	session   *session
	Force     bool         `long:"force" description:"take out the last zone in service too"`
	Arguments zoneArgument `positional-args:"yes" required:"yes"`
}

// zoneInCommand brings a zone back.
type zoneInCommand struct {
	session   *session
	Arguments zoneArgument `positional-args:"yes" required:"yes"`
}

func zoneOutHelp(s *session) (c command) {
	return command{
		name:  "out",
		short: "Take an availability zone out of service",
		long: `Takes a zone out of service. Some seconds later it gets no new work; what runs
there goes on to its end. It changes nothing else, so it never conflicts with
another operator's change of something else.

$ banyanplank zone out langtang-a
$ banyanplank status --daemon 10.0.0.1:9000

The last zone in service is refused unless you say --force.`,
		data: &zoneOutCommand{session: s},
	}
}

func zoneInHelp(s *session) (c command) {
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
	return c.session.moveZone(zoneMove{zone: banyanplank.Zone(c.Arguments.Zone), out: true, force: c.Force})
}

// Execute implements [flags.Commander].
func (c *zoneInCommand) Execute([]string) (err error) {
	return c.session.moveZone(zoneMove{zone: banyanplank.Zone(c.Arguments.Zone)})
}

// zoneMove takes one zone out or brings it back.
type zoneMove struct {
	zone  banyanplank.Zone
	out   bool
	force bool
}

// zoneResult is the outcome of a [zoneMove].
type zoneResult struct {
	Zone     banyanplank.Zone     `json:"zone"`
	Out      bool                 `json:"out"`
	Revision banyanplank.Revision `json:"revision"`
}

// maxRaces bounds how often a move is repeated after a conflict.
const maxRaces = 10

// moveZone submits a move and writes the result.
func (s *session) moveZone(move zoneMove) (err error) {
	ctx, cancel := s.deadline()
	defer cancel()
	a, err := s.accepted()
	if err != nil {
		return err
	}
	revision, err := move.run(ctx, a)
	if err != nil {
		return err
	}
	state := "in service"
	if move.out {
		state = "out of service"
	}
	result := zoneResult{Zone: move.zone, Out: move.out, Revision: revision}
	return s.write(result, fmt.Sprintf("revision %d: zone %s is %s\n", revision, move.zone, state))
}

// run submits the move and repeats it when another change comes first.
func (m zoneMove) run(ctx context.Context, a accepted) (revision banyanplank.Revision, err error) {
	for range maxRaces {
		revision, err = m.submit(ctx, a)
		if _, raced := accepter.AsConflict(err); !raced {
			break
		}
	}
	return revision, err
}

// submit changes the accepted configuration once.
func (m zoneMove) submit(ctx context.Context, a accepted) (revision banyanplank.Revision, err error) {
	current, err := a.Current(ctx)
	if err != nil {
		return 0, err
	}
	next, err := m.apply(current)
	if err != nil {
		return 0, err
	}
	return a.Accept(ctx, current.Revision, next)
}

// apply returns a copy of a configuration with the zone moved.
func (m zoneMove) apply(current *banyanplank.Configuration) (next *banyanplank.Configuration, err error) {
	index := slices.IndexFunc(current.Zones, func(z banyanplank.ZoneSpec) bool { return z.Name == m.zone })
	if index < 0 {
		return nil, usagef("ZONE", string(m.zone), "one of the declared zones: "+zoneNames(current))
	}
	copied := *current
	copied.Zones = slices.Clone(current.Zones)
	copied.Zones[index].Out = m.out
	if m.out && !m.force && !anyZoneIn(&copied) {
		return nil, errors.WithStack(usagef("ZONE", string(m.zone), "a zone that is not the last in service; --force takes it out nevertheless"))
	}
	return &copied, nil
}

// anyZoneIn reports whether a zone is in service.
func anyZoneIn(configuration *banyanplank.Configuration) (in bool) {
	return slices.ContainsFunc(configuration.Zones, func(z banyanplank.ZoneSpec) bool { return !z.Out })
}

// zoneNames lists the declared zones.
func zoneNames(configuration *banyanplank.Configuration) (names string) {
	var list []string
	for _, z := range configuration.Zones {
		list = append(list, string(z.Name))
	}
	return strings.Join(list, ", ")
}
