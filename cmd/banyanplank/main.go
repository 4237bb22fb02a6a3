// Command banyanplank is the operators' command line. Its exit codes are:
//
//	0  success
//	1  failure
//	2  usage error or invalid input; nothing was changed
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

// programHelp is the program's description in its help.
const programHelp = `Configures and inspects a fleet of banyanplank daemons.

Operators keep the configuration as a TOML file under version control, check
it, look at what it would change, and submit it:

$ banyanplank check fleet.toml
$ banyanplank diff fleet.toml
$ banyanplank apply fleet.toml

Commands that reach the platform take its address from --platform or from
BANYANPLANK_PLATFORM. For the help of a command: banyanplank apply --help

Exit codes: 0 done; 1 failed; 2 wrong use or invalid input; 3 conflict with
another change; 4 store unavailable or outcome uncertain.`

// run parses the arguments, executes the command and returns its exit code.
func run(ctx context.Context, arguments []string, stdout, stderr io.Writer) (code int) {
	s := &session{ctx: ctx, stdout: stdout}
	p := flags.NewNamedParser("banyanplank", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = programHelp
	p.CommandHandler = runCommand
	err := addCommands(p, s)
	if err == nil {
		_, err = p.ParseArgs(arguments)
	}
	var flagsError *flags.Error
	if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
		_, _ = io.WriteString(stdout, flagsError.Message+"\n")
		return exitOK
	}
	return s.reportError(stderr, err)
}

// runCommand executes a subcommand. It rejects surplus arguments.
func runCommand(c flags.Commander, rest []string) (err error) {
	if len(rest) > 0 {
		return newUsageError("ARGUMENT", rest[0], "no further argument; see --help")
	}
	return c.Execute(rest)
}

// command is the name, help and implementation of a subcommand.
type command struct {
	name  string
	short string
	long  string
	data  flags.Commander
}

// addCommands adds the common options and all subcommands to the parser.
func addCommands(p *flags.Parser, s *session) (err error) {
	_, err = p.AddGroup("Options of all commands", "", &s.options)
	if err != nil {
		return err
	}
	commands := []command{
		newCheckCommand(s), newDiffCommand(s), newApplyCommand(s), newGetCommand(s),
		newStatusCommand(s), newEntriesCommand(s), newBurnCommand(s), newWhyCommand(s), newVersionCommand(s),
	}
	for _, c := range commands {
		_, err = p.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
	}
	if err := addZoneCommands(p, s); err != nil {
		return err
	}
	return addGroupCommands(p, s)
}

// addZoneCommands adds the zone command and its subcommands.
func addZoneCommands(p *flags.Parser, s *session) (err error) {
	zone, err := p.AddCommand("zone", "Take an availability zone out, or bring it back",
		"Takes an availability zone out of service, or brings it back. See the two subcommands.", &struct{}{})
	if err != nil {
		return err
	}
	for _, c := range []command{newZoneOutCommand(s), newZoneInCommand(s)} {
		_, err = zone.AddCommand(c.name, c.short, c.long, c.data)
		if err != nil {
			return err
		}
	}
	return nil
}
