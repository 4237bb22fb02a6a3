package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank/state/explainer"
)

// whyCommand explains how a call ended, from the log lines of entries.
type whyCommand struct {
	session   *session
	Worst     bool `long:"worst" description:"show the seconds in which most calls ended unserved, with their causes, instead of one call"`
	Arguments struct {
		Names []string `positional-arg-name:"ID FILE" description:"id of the call, unless --worst is given, and files with the lines of entries; without files, standard input"`
	} `positional-args:"yes"`
}

func newWhyCommand(s *session) (c command) {
	return command{
		name:  "why",
		short: "Explain how a call ended, from the logs of entries",
		long: `Reads the log lines of entries and explains how a call ended: all calls of the same
request, in order, and what the entries logged around that time about the request or
its endpoints, such as endpoint deaths, convictions, zones that go out or come back,
and lost topics. Pass the logs of all entries; the command contacts no daemon:

$ banyanplank why 9c41d07be2a35f68 entry-*.log
$ banyanplank why --worst entry-*.log

Exit code 1 means that no line names the call.`,
		data: &whyCommand{session: s},
	}
}

// Execute implements [flags.Commander].
func (c *whyCommand) Execute([]string) (err error) {
	names := c.Arguments.Names
	id := ""
	if !c.Worst {
		if len(names) == 0 {
			return newUsageError("ID", "", "the id of a call, or --worst")
		}
		id, names = names[0], names[1:]
	}
	e, err := readLogs(names)
	if err != nil {
		return err
	}
	if c.Worst {
		seconds := e.WorstSeconds()
		return c.session.writeResult(seconds, formatWorstSeconds(seconds))
	}
	report, err := e.Explain(id)
	if err != nil {
		return err
	}
	return c.session.writeResult(report, formatReport(report))
}

// readLogs reads log lines from files, or from standard input without any.
func readLogs(names []string) (e *explainer.Explainer, err error) {
	e = explainer.New()
	if len(names) == 0 {
		return e, e.Read("stdin", os.Stdin)
	}
	for _, name := range names {
		if err := readLogFile(e, name); err != nil {
			return nil, err
		}
	}
	return e, nil
}

// readLogFile reads the log lines of one file. The file name without its
// extension is the daemon's name; the name - stands for standard input.
func readLogFile(e *explainer.Explainer, name string) (err error) {
	var from io.Reader = os.Stdin
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return newUsageError("FILE", name, "a file that can be read: "+errors.UnwrapAll(err).Error())
		}
		defer func() { _ = file.Close() }()
		from = file
	}
	return e.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), from)
}

// timeFormat is the layout of printed times.
const timeFormat = "15:04:05.000"

// formatReport formats a report as text. An asterisk marks the requested call.
func formatReport(report *explainer.Report) (text string) {
	var b strings.Builder
	fmt.Fprintf(&b, "call %s, request %s\n", report.ID, report.Request)
	for _, call := range report.Calls {
		mark := " "
		if call.IsQueried {
			mark = "*"
		}
		fmt.Fprintf(&b, "%s %s %s %s %s as %s: %s\n", mark, call.StartedAt.Format(timeFormat), call.Daemon, call.Fields["kind"], call.Fields["route"], call.Fields["id"], call.Cause)
	}
	if len(report.Events) > 0 {
		fmt.Fprintf(&b, "what entries logged around that time about the request or its endpoints\n")
	}
	for _, line := range report.Events {
		fmt.Fprintf(&b, "  %s %s %s%s\n", line.At.Format(timeFormat), line.Daemon, line.Event, formatFields(&line))
	}
	return b.String()
}

// shownFields are the fields of an event that are printed, in this order.
var shownFields = []string{"service", "topic", "key", "endpoint", "endpoints", "requests", "value", "how", "before", "after", "took", "pause", "revision", "age", "error"}

// formatFields formats the [shownFields] of a log line as key=value pairs.
func formatFields(l *explainer.Line) (text string) {
	for _, name := range shownFields {
		if value := l.Fields[name]; value != "" {
			text += " " + name + "=" + value
		}
	}
	return text
}

// formatWorstSeconds formats the seconds with the most unserved calls, with their causes.
func formatWorstSeconds(seconds []explainer.SecondSummary) (text string) {
	var b strings.Builder
	for _, s := range seconds {
		fmt.Fprintf(&b, "%s %d of %d calls unserved\n", s.At.Format(timeFormat), s.Unserved, s.Calls)
		for _, cause := range s.Causes {
			fmt.Fprintf(&b, "  %4d %s, such as %s\n", cause.Count, cause.Reason, cause.ExampleID)
		}
	}
	if len(seconds) == 0 {
		return "no call ended unserved\n"
	}
	return b.String()
}
