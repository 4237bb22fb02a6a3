package loader

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// The default limits.
const (
	defaultBodyBytes    = 8 << 20
	defaultCallTimeout  = 2 * time.Minute
	defaultDrainTimeout = 5 * time.Minute
	defaultHeldBytes    = 256 << 20
)

// Mistake is one invalid setting.
type Mistake struct {
	File string
	// Key is the dotted name of the setting, or "file" for a file that cannot be read
	// or parsed.
	Key string
	// Reason states what is wrong and, where possible, which values are allowed.
	Reason string
}

// String returns the mistake as "file: key: reason".
func (m Mistake) String() string {
	return fmt.Sprintf("%s: %s: %s", m.File, m.Key, m.Reason)
}

// Error lists all mistakes of one settings file.
type Error struct {
	Mistakes []Mistake
}

// Error returns the mistakes, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the settings file at path. The error is an [*Error]
// that lists every mistake.
func Load(path string) (settings Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, &Error{Mistakes: []Mistake{{File: path, Key: "file", Reason: err.Error()}}}
	}
	return Parse(path, text)
}

// Parse decodes and validates settings in TOML. The name of the file is used in
// error messages only. The error is an [*Error] that lists every mistake; the
// settings are then zero.
func Parse(file string, text []byte) (settings Settings, err error) {
	settings = Settings{Limits: Limits{
		Body:    defaultBodyBytes,
		Timeout: banyanplank.Duration(defaultCallTimeout),
		Drain:   banyanplank.Duration(defaultDrainTimeout),
		Held:    defaultHeldBytes,
	}}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, &Error{Mistakes: decodeMistakes(file, err)}
	}
	checker := checker{file: file}
	checker.checkSettings(&settings)
	if len(checker.mistakes) > 0 {
		return Settings{}, &Error{Mistakes: checker.mistakes}
	}
	return settings, nil
}

// decodeMistakes converts an error of the TOML decoder into mistakes.
func decodeMistakes(file string, err error) (mistakes []Mistake) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, e := range strict.Errors {
			mistakes = append(mistakes, Mistake{File: file, Key: strings.Join(e.Key(), "."), Reason: "no such setting"})
		}
		return mistakes
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		key := strings.Join(decode.Key(), ".")
		return []Mistake{{File: file, Key: key, Reason: fmt.Sprintf("line %d: %s", line, decode.Error())}}
	}
	return []Mistake{{File: file, Key: "file", Reason: err.Error()}}
}

// checker validates settings and collects the mistakes.
type checker struct {
	file     string
	mistakes []Mistake
}

func (c *checker) addf(key, format string, args ...any) {
	c.mistakes = append(c.mistakes, Mistake{File: c.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkSettings(s *Settings) {
	c.requireText("name", string(s.Name))
	c.requireText("instance", string(s.Instance))
	c.requireText("zone", string(s.Zone))
	c.requireAddress("listen.peer", s.Listen.Peer)
	c.requireAddress("listen.admin", s.Listen.Admin)
	c.checkURL("platform.address", s.Platform.Address)
	c.checkKeys(s.Keys)
	c.checkLimits(s.Limits)
	switch s.Role {
	case banyanplank.RoleEntry:
		c.requireAddress("listen.caller", s.Listen.Caller)
		if s.Endpoint != (Endpoint{}) {
			c.addf("endpoint", "is set, but an entry has no endpoint")
		}
	case banyanplank.RoleAgent:
		c.checkEndpoint(s.Endpoint)
		if s.Listen.Caller.IsValid() {
			c.addf("listen.caller", "is %s, but an agent serves no callers", s.Listen.Caller)
		}
	default:
		c.addf("role", "is %q, want %q or %q", s.Role, banyanplank.RoleEntry, banyanplank.RoleAgent)
	}
}

func (c *checker) requireText(key, value string) {
	if value == "" {
		c.addf(key, "is missing or empty")
	}
}

func (c *checker) requireAddress(key string, value netip.AddrPort) {
	if !value.IsValid() {
		c.addf(key, "is missing, want an address and port such as 10.0.0.1:8080")
	}
}

func (c *checker) checkURL(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.addf(key, "is %q, want a URL such as http://10.0.0.1:8000", value)
	}
}

func (c *checker) checkKeys(k Keys) {
	if k.Insecure {
		return
	}
	c.checkPEMFile("keys.certificate", k.Certificate)
	c.checkPEMFile("keys.key", k.Key)
	c.checkPEMFile("keys.authority", k.Authority)
}

func (c *checker) checkPEMFile(key, path string) {
	if path == "" {
		c.addf(key, "is missing; name a PEM file, or set keys.insecure to turn TLS off")
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.addf(key, "cannot be read: %v", err)
	}
}

func (c *checker) checkLimits(l Limits) {
	c.requirePositive("limits.body", l.Body)
	c.requirePositive("limits.timeout", int64(l.Timeout))
	c.requirePositive("limits.drain", int64(l.Drain))
	c.requirePositive("limits.held", l.Held)
}

func (c *checker) requirePositive(key string, value int64) {
	if value <= 0 {
		c.addf(key, "is %d, want a positive number", value)
	}
}

func (c *checker) checkEndpoint(e Endpoint) {
	c.checkURL("endpoint.address", e.Address)
	c.requireText("endpoint.service", string(e.Service))
	c.requirePositive("endpoint.capacity", int64(e.Capacity))
	if e.Rank < 0 {
		c.addf("endpoint.rank", "is %d, want zero or more", e.Rank)
	}
	if e.Rank > 0 && e.Group == "" {
		c.addf("endpoint.rank", "is %d, but endpoint.group is missing", e.Rank)
	}
}
