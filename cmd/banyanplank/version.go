package main

import (
	"fmt"
	"runtime/debug"
)

// versionCommand prints the program's build information.
type versionCommand struct {
	session *session
}

func newVersionCommand(s *session) (c command) {
	return command{
		name:  "version",
		short: "Print the version of this program",
		long:  "Prints the version of this program and of the Go release that built it.",
		data:  &versionCommand{session: s},
	}
}

// buildVersion is the JSON form of the build information.
type buildVersion struct {
	Version string `json:"version"`
	Go      string `json:"go"`
	Commit  string `json:"commit,omitempty"`
}

// Execute implements [flags.Commander].
func (c *versionCommand) Execute([]string) (err error) {
	b := buildVersion{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if ok {
		b = buildVersion{Version: info.Main.Version, Go: info.GoVersion}
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				b.Commit = setting.Value
			}
		}
	}
	return c.session.writeResult(b, fmt.Sprintf("banyanplank %s %s\n", b.Version, b.Go))
}
