package main

import (
	"bytes"
	"fmt"
	"text/tabwriter"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/daemon"
)

// statusCommand shows the status of daemons.
type statusCommand struct {
	session  *session
	Daemons  []string `long:"daemon" value-name:"ADDRESS" description:"operators' address of a daemon; may be given several times"`
	Revision uint64   `long:"revision" value-name:"REVISION" description:"fail unless every daemon has this revision or a later one in force"`
}

func newStatusCommand(s *session) (c command) {
	return command{
		name:  "status",
		short: "Show what daemons have in force",
		long: `Asks daemons for the revision that they have in force, whether they are ready,
how many requests they run, and which daemons and zones they know. The zones
are those of the first daemon that answers; RUNNING there is the sum over the
daemons that you name, so it shows how a zone that is out drains.

$ banyanplank status --daemon 10.0.0.1:9000 --daemon 10.0.1.1:9000

With --revision the exit code is 1 until all of them have that revision or a
later one, so that a script can wait for it after "banyanplank apply". It is
also 1 if a daemon does not answer.`,
		data: &statusCommand{session: s},
	}
}

// statusReport is the JSON form of the result.
type statusReport struct {
	Daemons  []daemon.Status `json:"daemons"`
	Problems []daemonProblem `json:"problems"`
}

// Execute implements [flags.Commander].
func (c *statusCommand) Execute([]string) (err error) {
	addresses, err := parseAddresses("--daemon", c.Daemons)
	if err != nil {
		return err
	}
	ctx, cancel := c.session.withTimeout()
	defer cancel()
	replies := fetchAll[daemon.Status](ctx, addresses, "/v1/status", "")
	report := statusReport{Problems: failedFetches(replies)}
	for _, f := range replies {
		if f.err == nil {
			report.Daemons = append(report.Daemons, f.reply)
		}
	}
	c.requireRevision(&report)
	err = c.session.writeResult(report, report.text())
	if err == nil && len(report.Problems) > 0 {
		err = errIncomplete
	}
	return err
}

// requireRevision adds a problem for each daemon that has an earlier revision in
// force than requested.
func (c *statusCommand) requireRevision(report *statusReport) {
	for _, d := range report.Daemons {
		if d.Revision < banyanplank.Revision(c.Revision) {
			message := fmt.Sprintf("has revision %s in force, not yet %d", formatRevision(d.Revision), c.Revision)
			report.Problems = append(report.Problems, daemonProblem{Address: string(d.Name), Message: message})
		}
	}
}

// text formats the report as tables.
func (r statusReport) text() (text string) {
	var b bytes.Buffer
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DAEMON\tROLE\tZONE\tREVISION\tREADY\tSTATE\tRUNNING\tPEERS")
	for _, d := range r.Daemons {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%s\t%d\t%s\n",
			d.Name, d.Role, d.Zone, formatRevision(d.Revision), d.Ready, ownState(d), d.Running, formatPeerCounts(d.Members))
	}
	_ = w.Flush()
	if len(r.Daemons) > 0 {
		writeZoneTable(&b, r.Daemons)
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&b, "problem: %s: %s\n", p.Address, p.Message)
	}
	return b.String()
}

// formatPeerCounts formats the number of members by state, such as
// "7 live, 1 leaving".
func formatPeerCounts(members []daemon.MemberStatus) (text string) {
	counts := make(map[string]int)
	for _, m := range members {
		counts[m.State]++
	}
	text = fmt.Sprintf("%d live", counts[banyanplank.MemberLive.String()])
	for _, state := range []banyanplank.MemberState{banyanplank.MemberSuspect, banyanplank.MemberLeaving, banyanplank.MemberGone} {
		if n := counts[state.String()]; n > 0 {
			text += fmt.Sprintf(", %d %s", n, state)
		}
	}
	return text
}

// ownState returns a daemon's own member state, such as "leaving" while it
// drains, or - if its list of members lacks it.
func ownState(d daemon.Status) (state string) {
	for _, m := range d.Members {
		if m.Name == d.Name {
			return m.State
		}
	}
	return "-"
}

// writeZoneTable writes the zones and members that the first daemon lists, with
// the requests that all named daemons run in each zone.
func writeZoneTable(b *bytes.Buffer, daemons []daemon.Status) {
	first := daemons[0]
	running := make(map[banyanplank.Zone]int)
	for _, d := range daemons {
		running[d.Zone] += d.Running
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "\nZONE\tSTATE\tENTRIES\tAGENTS\tRUNNING")
	for _, z := range first.Zones {
		state := "in"
		if z.Out {
			state = "out"
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", z.Name, state,
			countMembers(first.Members, z.Name, banyanplank.RoleEntry),
			countMembers(first.Members, z.Name, banyanplank.RoleAgent), running[z.Name])
	}
	_ = w.Flush()
}

// countMembers returns the number of members in a zone with a role that are not
// gone.
func countMembers(members []daemon.MemberStatus, zone banyanplank.Zone, role banyanplank.Role) (count int) {
	for _, m := range members {
		if m.Zone == zone && m.Role == role && m.State != banyanplank.MemberGone.String() {
			count++
		}
	}
	return count
}
