package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/coordination/rebalancer"
)

// addGroupCommands adds the group command and its subcommands.
func addGroupCommands(p *flags.Parser, s *session) (err error) {
	group, err := p.AddCommand("group", "Inspect and control a group of ranks",
		"Shows the expert map of a group of ranks, or controls its rebalancing. See the subcommands.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []command{newGroupStatusCommand(s), newGroupPauseCommand(s), newGroupResumeCommand(s), newGroupRebalanceCommand(s)} {
		_, err = group.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
	}
	return nil
}

// groupStatusCommand shows the expert map of a group.
type groupStatusCommand struct {
	session *session
	Daemons []string `long:"daemon" value-name:"ADDRESS" description:"operators' address of an agent of the group; may be given several times"`
}

func newGroupStatusCommand(s *session) (c command) {
	return command{
		name:  "status",
		short: "Show a group's map, plan, skew and stalls",
		long: `Asks agents of a group for its expert map. Only the agent that coordinates the
group answers; it is one of ranks 0, 1 and 2, so name these three.

$ banyanplank group status --daemon 10.0.2.1:9000 --daemon 10.0.2.2:9000 --daemon 10.0.2.3:9000

The exit code is 1 when none of them coordinates the group.`,
		data: &groupStatusCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *groupStatusCommand) Execute([]string) (err error) {
	addresses, err := parseAddresses("--daemon", c.Daemons)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	replies := fetchAll[rebalancer.Status](ctx, addresses, "/v1/group", "")
	for _, f := range replies {
		if f.err == nil {
			return c.session.writeResult(f.reply, formatGroupStatus(f.reply))
		}
	}
	var text strings.Builder
	for _, p := range failedFetches(replies) {
		_, _ = fmt.Fprintf(&text, "problem: %s: %s\n", p.Address, p.Message)
	}
	if err := c.session.writeResult(failedFetches(replies), text.String()); err != nil {
		return err
	}
	return errNoCoordinator
}

// errNoCoordinator is returned when no named daemon coordinates a group.
var errNoCoordinator = errors.New("none of the daemons coordinates a group")

// formatGroupStatus formats a group's status as a table and detail lines.
func formatGroupStatus(s rebalancer.Status) (text string) {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "GROUP\tMAP\tPHASE\tFENCE\tHELD\tHEAVIEST")
	_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%t\t%s\n", s.Group, s.Map, s.Phase, s.Fence, s.Held, formatHeaviestLoad(s.Loads))
	_ = w.Flush()
	p := s.Plan
	_, _ = fmt.Fprintf(&b, "\nplan: %s, %d slots, %d bytes, gains %v for %v in ten minutes, skew %.3f to %.3f, %d experts pending\n",
		formatPlanReason(p), p.Loads, p.Bytes, p.Gain, p.Cost, p.Before, p.After, p.Pending)
	if len(s.Skew) > 0 {
		_, _ = fmt.Fprintf(&b, "skew: %.3f\n", s.Skew)
	}
	for _, stall := range s.Stalls {
		_, _ = fmt.Fprintf(&b, "stall: rank %d is %s since %s, lasting: %t\n",
			stall.Rank, stall.Kind, stall.Since.UTC().Format("15:04:05"), stall.Persistent)
	}
	if s.Problem != "" {
		_, _ = fmt.Fprintf(&b, "problem: %s\n", s.Problem)
	}
	return b.String()
}

// formatPlanReason formats why the latest plan does or does not move experts.
func formatPlanReason(p rebalancer.PlanStatus) (text string) {
	if p.Reason == "" {
		return "none yet"
	}
	return string(p.Reason)
}

// formatHeaviestLoad formats the highest load of a rank relative to the mean, or
// - for none.
func formatHeaviestLoad(loads []float64) (text string) {
	if len(loads) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", slices.Max(loads))
}

// groupArgument is the argument of commands that change one group.
type groupArgument struct {
	Group string `positional-arg-name:"GROUP" description:"name of a declared group of ranks"`
}

// groupPauseCommand pauses or resumes the rebalancing of a group.
type groupPauseCommand struct {
	session   *session
	paused    bool
	Arguments groupArgument `positional-args:"yes" required:"yes"`
}

func newGroupPauseCommand(s *session) (c command) {
	return command{
		name:  "pause",
		short: "Stop a group's rebalancing",
		long: `Stops making plans for a group. A switch that is under way is finished.

$ banyanplank group pause langtang`,
		data: &groupPauseCommand{session: s, paused: true},
	}
}

func newGroupResumeCommand(s *session) (c command) {
	return command{
		name:  "resume",
		short: "Continue a group's rebalancing",
		long: `Makes plans for a group again.

$ banyanplank group resume langtang`,
		data: &groupPauseCommand{session: s},
	}
}

// pauseResult is the JSON form of a [groupPauseCommand]'s result.
type pauseResult struct {
	Group    banyanplank.GroupName `json:"group"`
	Paused   bool                  `json:"paused"`
	Revision banyanplank.Revision  `json:"revision"`
}

// Execute implements [flags.Commander]. The change is retried, up to
// [maxSubmitAttempts] times, when it conflicts with another one.
func (c *groupPauseCommand) Execute([]string) (err error) {
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	store, err := c.session.configurationStore()
	if err != nil {
		return err
	}
	var revision banyanplank.Revision
	for range maxSubmitAttempts {
		revision, err = c.submit(ctx, store)
		if _, isConflict := accepter.AsConflict(err); !isConflict {
			break
		}
	}
	if err != nil {
		return err
	}
	state := "is rebalanced"
	if c.paused {
		state = "is paused"
	}
	result := pauseResult{Group: banyanplank.GroupName(c.Arguments.Group), Paused: c.paused, Revision: revision}
	return c.session.writeResult(result, fmt.Sprintf("revision %d: group %s %s\n", revision, c.Arguments.Group, state))
}

// submit makes one attempt to change the accepted configuration.
func (c *groupPauseCommand) submit(ctx context.Context, store configurationStore) (revision banyanplank.Revision, err error) {
	current, err := store.Current(ctx)
	if err != nil {
		return 0, err
	}
	name := banyanplank.GroupName(c.Arguments.Group)
	index := slices.IndexFunc(current.Groups, func(g banyanplank.GroupSpec) bool { return g.Name == name })
	if index < 0 {
		return 0, newUsageError("GROUP", c.Arguments.Group, "one of the declared groups: "+groupNames(current))
	}
	next := *current
	next.Groups = slices.Clone(current.Groups)
	next.Groups[index].Paused = c.paused
	return store.Accept(ctx, current.Revision, &next)
}

// groupNames returns the names of the declared groups, separated by commas.
func groupNames(configuration *banyanplank.Configuration) (names string) {
	var list []string
	for _, g := range configuration.Groups {
		list = append(list, string(g.Name))
	}
	return strings.Join(list, ", ")
}

// groupRebalanceCommand requests an immediate plan.
type groupRebalanceCommand struct {
	session *session
	Daemons []string `long:"daemon" value-name:"ADDRESS" description:"operators' address of an agent of the group; may be given several times"`
}

func newGroupRebalanceCommand(s *session) (c command) {
	return command{
		name:  "rebalance",
		short: "Make a plan now",
		long: `Asks the agent that coordinates a group for a plan now, even while rebalancing is
paused or in a quiet span. The limits on bytes and the minimum gain still apply.
Name the agents of ranks 0, 1 and 2.

$ banyanplank group rebalance --daemon 10.0.2.1:9000 --daemon 10.0.2.2:9000 --daemon 10.0.2.3:9000`,
		data: &groupRebalanceCommand{session: s},
	}
}

// rebalanceResult is the JSON form of a [groupRebalanceCommand]'s result.
type rebalanceResult struct {
	Daemon string `json:"daemon"`
}

// Execute implements [flags.Commander].
func (c *groupRebalanceCommand) Execute([]string) (err error) {
	addresses, err := parseAddresses("--daemon", c.Daemons)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	for _, address := range addresses {
		requested, requestErr := requestRebalance(ctx, address)
		if requested {
			result := rebalanceResult{Daemon: address.String()}
			return c.session.writeResult(result, fmt.Sprintf("asked %s for a plan\n", address))
		}
		err = errors.CombineErrors(err, requestErr)
	}
	if err != nil {
		return err
	}
	return errNoCoordinator
}

// requestRebalance requests a plan from one daemon. It returns false without an
// error when the daemon does not coordinate a group.
func requestRebalance(ctx context.Context, address netip.AddrPort) (requested bool, err error) {
	target := "http://" + address.String() + "/v1/group/rebalance"
	defer func() { err = errors.Wrapf(err, "post %s", target) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := daemonClient.Do(request)
	if err != nil {
		return false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return false, nil
	}
	if response.StatusCode != http.StatusAccepted {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
		return false, errors.Newf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return true, nil
}
