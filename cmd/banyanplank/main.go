// Command banyanplank is the operators' command line. Its exit codes are:
//
//	0  done
//	1  failed
//	2  wrong use or invalid input; nothing was changed
//	3  conflict with another operator's change; nothing was changed
//	4  the platform's store is unavailable, or the outcome is uncertain
package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// about opens the help.
const about = `Changes and shows what a fleet of banyanplank daemons does.

Operators keep the configuration as a TOML file under version control, check
it, look at what it would change, and submit it:

$ banyanplank check fleet.toml
$ banyanplank diff fleet.toml
$ banyanplank apply fleet.toml

Commands that reach the platform take its address from --platform or from
BANYANPLANK_PLATFORM. Each command explains itself: banyanplank apply --help

Exit codes: 0 done; 1 failed; 2 wrong use or invalid input; 3 conflict with
another change; 4 store unavailable or outcome uncertain.`

// run carries out one command line and returns its exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	s := &session{ctx: ctx, stdout: stdout}
	p := flags.NewNamedParser("banyanplank", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = about
	p.CommandHandler = execute
	err := addCommands(p, s)
	if err == nil {
		_, err = p.ParseArgs(arguments)
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = io.WriteString(stdout, flagsError.Message+"\n")
		return codeDone
	}
	return s.finish(stderr, err)
}

// execute runs a subcommand unless arguments are left over.
func execute(c flags.Commander, left []string) (err error) {
	if len(left) > 0 {
		return usagef("ARGUMENT", left[0], "no further argument; see --help")
	}
	return c.Execute(left)
}

// command is one subcommand with its help.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// addCommands declares the options and all subcommands.
func addCommands(p *flags.Parser, s *session) (err error) {
	_, err = p.AddGroup("Options of all commands", "", &s.options)
	if err != nil {
		return err
	}
	commands := []command{
		checkHelp(s), diffHelp(s), applyHelp(s), getHelp(s),
		statusHelp(s), entriesHelp(s), burnHelp(s), whyHelp(s), versionHelp(s),
	}
	for _, c := range commands {
		_, err = p.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
	}
	if err := addZone(p, s); err != nil {
		return err
	}
	return addGroup(p, s)
}

// addZone declares the command zone with its own subcommands.
func addZone(p *flags.Parser, s *session) (err error) {
	zone, err := p.AddCommand("zone", "Take an availability zone out, or bring it back",
		"Takes an availability zone out of service, or brings it back. See the two subcommands.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []command{zoneOutHelp(s), zoneInHelp(s)} {
		_, err = zone.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
	}
	return nil
}
