package gateway

import (
	"bytes"
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/state/loader"
)

// Settings is the TOML file of an entry that calls endpoints directly.
type Settings struct {
	// Name identifies this entry among the entries.
	Name   banyanplank.DaemonID `toml:"name"`
	Zone   banyanplank.Zone     `toml:"zone"`
	Region banyanplank.Region   `toml:"region"`
	Listen Listen               `toml:"listen"`
	// Platform is the address of the platform's store.
	Platform netip.AddrPort `toml:"platform"`
	// Contracts lists the parts of the platform's rules that are in force. Without it, all
	// may be.
	Contracts []string `toml:"contracts"`
	Limits    Limits   `toml:"limits"`
	// Duties is what one entry at a time does for all. Optional.
	Duties Duties `toml:"duties"`
}

// Listen holds the addresses that an entry listens on, and the port of its agents.
type Listen struct {
	// Caller accepts calls, Directory lists the entries to call, and Ready answers
	// the platform's readiness checks.
	Caller    netip.AddrPort `toml:"caller"`
	Directory netip.AddrPort `toml:"directory"`
	Ready     netip.AddrPort `toml:"ready"`
	// Peer receives the heartbeats of the other entries and serves topics to them.
	Peer netip.AddrPort `toml:"peer"`
	// Agent is the port on which the agents beside model servers listen, on the
	// servers' own addresses. Optional.
	Agent uint16 `toml:"agent"`
	// Metrics serves the metrics. Optional.
	Metrics netip.AddrPort `toml:"metrics"`
}

// Limits bounds the resources and retries of an entry, and times its shutdown.
type Limits struct {
	// Memory is the memory of the instance in bytes.
	Memory int64 `toml:"memory"`
	// Held bounds the bytes of bodies, responses and events that all calls buffer
	// together. Zero means a quarter of the memory.
	Held int64 `toml:"held"`
	// Connections bounds the connections of callers and others to all addresses of the
	// entry. Zero means one for each 128 KiB of Memory, and at most half of Descriptors.
	Connections int `toml:"connections"`
	// Descriptors is the number of files and connections that the process may open. Zero
	// means no limit.
	Descriptors int `toml:"descriptors"`
	// Share, Slack and Span bound the retries to one service by all entries: a
	// fraction of its requests plus a number, within a span of time.
	Share float64              `toml:"share"`
	Slack int                  `toml:"slack"`
	Span  banyanplank.Duration `toml:"span"`
	// Grace is the time from SIGTERM to the exit.
	Grace banyanplank.Duration `toml:"grace"`
	// Beat is the time between two heartbeats of an endpoint. Optional.
	Beat banyanplank.Duration `toml:"beat"`
	// Keep is the longest time for which callers cache a directory response.
	Keep banyanplank.Duration `toml:"keep"`
}

// Duties holds the settings of the calls to the platform that one entry at a time makes.
// Without Address or Names, none are made. Times that are 0 or absent have defaults.
type Duties struct {
	// Address is where the calls are sent.
	Address netip.AddrPort `toml:"address"`
	// Names lists the enabled duties. Unknown ones are ignored.
	Names []banyanplank.Duty `toml:"names"`
	// Rate is the number of calls per second that all entries together may make. Zero means
	// no limit.
	Rate float64 `toml:"rate"`
	// Lease is the time within which no other entry may act and then this one again. The
	// default is 3 s.
	Lease banyanplank.Duration `toml:"lease"`
	// Window is the length of a usage window, and Late how long after its end the report is
	// due. The defaults are 5 s and 10 s.
	Window banyanplank.Duration `toml:"window"`
	Late   banyanplank.Duration `toml:"late"`
	// Off is the largest deviation of a reported count from the true count, as a fraction.
	Off float64 `toml:"off"`
	// Thaw is the time after a freeze of the instance in which calls don't count. Absent
	// means 300 ms.
	Thaw *banyanplank.Duration `toml:"thaw"`
}

// enabled reports whether a duty is enabled.
func (d *Duties) enabled(duty banyanplank.Duty) (enabled bool) {
	return d.Address.IsValid() && slices.Contains(d.Names, duty)
}

// Load reads and checks the settings file at path. The error is a
// [*loader.Error] that lists every mistake.
func Load(path string) (settings Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, &loader.Error{Mistakes: []loader.Mistake{{File: path, Key: "file", Reason: err.Error()}}}
	}
	return Parse(path, text)
}

// Parse reads and checks settings from text. File is used in error messages only. The
// error is a [*loader.Error] that lists every mistake.
func Parse(file string, text []byte) (settings Settings, err error) {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, &loader.Error{Mistakes: decodeMistakes(file, err)}
	}
	var found []loader.Mistake
	for _, c := range settings.checks() {
		if !c.ok {
			found = append(found, loader.Mistake{File: file, Key: c.key, Reason: c.want})
		}
	}
	if len(found) > 0 {
		return Settings{}, &loader.Error{Mistakes: found}
	}
	return settings, nil
}

// decodeMistakes converts an error of the decoder to mistakes.
func decodeMistakes(file string, err error) (found []loader.Mistake) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, e := range strict.Errors {
			key := ""
			for i, part := range e.Key() {
				if i > 0 {
					key += "."
				}
				key += part
			}
			found = append(found, loader.Mistake{File: file, Key: key, Reason: "no such setting"})
		}
		return found
	}
	return []loader.Mistake{{File: file, Key: "file", Reason: err.Error()}}
}

type check struct {
	key  string
	ok   bool
	want string
}

// checks returns the conditions on the settings.
func (s *Settings) checks() (all []check) {
	return []check{
		{"name", s.Name != "", "is empty, want the name of this entry"},
		{"zone", s.Zone != "", "is empty, want an availability zone"},
		{"listen.caller", s.Listen.Caller.IsValid(), "want an address such as 10.0.0.1:8080"},
		{"listen.directory", s.Listen.Directory.IsValid(), "want an address such as 10.0.0.1:8081"},
		{"listen.ready", s.Listen.Ready.IsValid(), "want an address such as 10.0.0.1:8082"},
		{"listen.peer", s.Listen.Peer.IsValid(), "want an address such as 10.0.0.1:8083"},
		{"platform", s.Platform.IsValid(), "want the address of the platform's store"},
		{"limits.memory", s.Limits.Memory >= 32<<20, "want at least 33554432 bytes"},
		{"limits.held", s.Limits.Held >= 0, "want a number of bytes, or 0 for a quarter of the memory"},
		{"limits.connections", s.Limits.Connections >= 0, "want a number of connections, or 0 for one for each 128 KiB of memory"},
		{"limits.descriptors", s.Limits.Descriptors >= 0, "want a number of descriptors, or 0 for no limit"},
		{"limits.share", s.Limits.Share >= 0, "want a share of at least 0"},
		{"limits.slack", s.Limits.Slack >= 0, "want a number of at least 0"},
		{"limits.span", s.Limits.Span > 0, "want a time above 0s"},
		{"limits.grace", s.Limits.Grace > 0, "want a time above 0s"},
		{"limits.beat", s.Limits.Beat >= 0, "want a time, or 0s for 1.2s"},
		{"limits.keep", s.Limits.Keep > 0, "want a time above 0s"},
		{"duties.rate", s.Duties.Rate >= 0, "want a number of calls per second, or 0 for no limit"},
		{"duties.lease", s.Duties.Lease >= 0, "want a time, or 0s for 3s"},
		{"duties.window", s.Duties.Window >= 0, "want a time, or 0s for 5s"},
		{"duties.late", s.Duties.Late >= 0, "want a time, or 0s for 10s"},
		{"duties.off", s.Duties.Off >= 0 && s.Duties.Off < 1, "want a fraction from 0 to below 1"},
		{"duties.thaw", s.Duties.Thaw == nil || *s.Duties.Thaw >= 0, "want a time of at least 0s"},
	}
}
