package reporter

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// WriteText writes the report as plain text.
func (r Report) WriteText(out io.Writer) (err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "service-level burn at %s, revision %d, %d daemons, %d of them from storage\n",
		r.At.Format(time.RFC3339), r.Revision, r.Daemons, r.Stored)
	for _, problem := range r.Problems {
		fmt.Fprintf(&b, "problem: %s\n", problem)
	}
	for _, s := range r.Services {
		if len(s.Objectives) == 0 {
			fmt.Fprintf(&b, "\nservice %s has no objective\n", s.Name)
		}
		for _, o := range s.Objectives {
			fmt.Fprintf(&b, "\nservice %s, %s: %s of the budget of three days left\n", s.Name, o.Title(), o.formatLeft())
			o.writeText(&b)
		}
	}
	_, err = out.Write(b.Bytes())
	return errors.Wrap(err, "write report")
}

// Title returns a title such as "availability 99.9%, first token in 1.6s".
func (o Objective) Title() (text string) {
	text = fmt.Sprintf("%s %s", o.Aspect, formatPercent(o.Target))
	if o.First > 0 {
		text += fmt.Sprintf(", first token in %s", time.Duration(o.First))
	}
	if o.Between > 0 {
		text += fmt.Sprintf(", %s between tokens", time.Duration(o.Between))
	}
	return text
}

// writeText writes the alerts and the table of windows of an objective.
func (o Objective) writeText(b *bytes.Buffer) {
	for _, p := range o.Pages {
		state := "quiet"
		if p.Firing {
			state = "PAGE"
		}
		fmt.Fprintf(b, "  %s: %s\n", p.Title(), state)
	}
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprint(w, "  BY\tNAME\tCALLS 3d\tBAD 3d\t")
	for _, window := range o.Windows {
		_, _ = fmt.Fprintf(w, "%s\t", window.Name)
	}
	_, _ = fmt.Fprintln(w)
	writeRow(w, "service", "all", o.Windows)
	for _, s := range o.Zones {
		writeRow(w, "zone", s.Title(), s.Windows)
	}
	for _, s := range o.Accounts {
		writeRow(w, "account", s.Title(), s.Windows)
	}
	_ = w.Flush()
}

// writeRow writes the calls of the longest window and the burn rate of each window.
func writeRow(w io.Writer, kind, name string, list []Window) {
	long := list[window3d]
	_, _ = fmt.Fprintf(w, "  %s\t%s\t%d\t%d\t", kind, name, long.Calls, long.Bad)
	for _, window := range list {
		_, _ = fmt.Fprintf(w, "%.2f\t", window.Burn)
	}
	_, _ = fmt.Fprintln(w)
}

// Title returns the rule as text, such as "14.4 times over 1h and 5m".
func (p Page) Title() (text string) {
	return fmt.Sprintf("%g times over %s and %s", p.Rate, p.Long, p.Short)
}

// Title returns the name, or "(others)" if it is empty.
func (s Share) Title() (name string) {
	if s.Name == "" {
		return "(others)"
	}
	return s.Name
}

// formatLeft returns the remaining share of the budget as a percentage.
func (o Objective) formatLeft() (text string) {
	return fmt.Sprintf("%.1f%%", 100*o.Left)
}

// percentDigits is the number of significant digits of a percentage.
const percentDigits = 5

// formatPercent returns a share as a percentage.
func formatPercent(share float64) (text string) {
	return strconv.FormatFloat(100*share, 'g', percentDigits, 64) + "%"
}
