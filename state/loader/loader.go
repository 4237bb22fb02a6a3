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

// The defaults of the limits.
const (
	defaultBody    = 8 << 20
	defaultTimeout = 2 * time.Minute
	defaultDrain   = 5 * time.Minute
	defaultHeld    = 256 << 20
)

// Mistake is one setting that cannot stand.
type Mistake struct {
	File string
	// Key is the dotted name of the setting.
	Key string
	// Reason tells what the value is and what is allowed.
	Reason string
}

// String returns "file: key: reason".
func (m Mistake) String() string {
	return fmt.Sprintf("%s: %s: %s", m.File, m.Key, m.Reason)
}

// Error holds all mistakes of one settings file.
type Error struct {
	Mistakes []Mistake
}

// Error implements error, one mistake a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings file at path. The error is an [*Error]
// that lists every mistake.
func Load(path string) (settings Settings, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings, &Error{Mistakes: []Mistake{{File: path, Key: "file", Reason: err.Error()}}}
	}
	return Parse(path, text)
}

// Parse reads and checks settings from text. File only serves messages. The
// error is an [*Error] that lists every mistake.
func Parse(file string, text []byte) (settings Settings, err error) {
	settings = Settings{Limits: Limits{
		Body:    defaultBody,
		Timeout: banyanplank.Duration(defaultTimeout),
		Drain:   banyanplank.Duration(defaultDrain),
		Held:    defaultHeld,
	}}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, &Error{Mistakes: mistakesOf(file, err)}
	}
	checker := checker{file: file}
	checker.check(&settings)
	if len(checker.mistakes) > 0 {
		return Settings{}, &Error{Mistakes: checker.mistakes}
	}
	return settings, nil
}

// mistakesOf turns the errors of the decoder into mistakes.
func mistakesOf(file string, err error) (mistakes []Mistake) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for _, e := range strict.Errors {
			mistakes = append(mistakes, Mistake{File: file, Key: strings.Join(e.Key(), "."), Reason: "there is no such setting"})
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

// checker collects mistakes.
type checker struct {
	file     string
	mistakes []Mistake
}

func (c *checker) add(key, format string, args ...any) {
	c.mistakes = append(c.mistakes, Mistake{File: c.file, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) check(s *Settings) {
	c.need("name", string(s.Name))
	c.need("instance", string(s.Instance))
	c.need("zone", string(s.Zone))
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.admin", s.Listen.Admin)
	c.url("platform.address", s.Platform.Address)
	c.keys(s.Keys)
	c.limits(s.Limits)
	switch s.Role {
	case banyanplank.RoleEntry:
		c.address("listen.caller", s.Listen.Caller)
		if s.Endpoint != (Endpoint{}) {
			c.add("endpoint", "is set, but an entry has no endpoint")
		}
	case banyanplank.RoleAgent:
		c.endpoint(s.Endpoint)
		if s.Listen.Caller.IsValid() {
			c.add("listen.caller", "is %s, but an agent serves no callers", s.Listen.Caller)
		}
	default:
		c.add("role", "is %q, want %q or %q", s.Role, banyanplank.RoleEntry, banyanplank.RoleAgent)
	}
}

func (c *checker) need(key, value string) {
	if value == "" {
		c.add(key, "is missing or empty")
	}
}

func (c *checker) address(key string, value netip.AddrPort) {
	if !value.IsValid() {
		c.add(key, "is missing, want an address and port such as 10.0.0.1:8080")
	}
}

func (c *checker) url(key, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(key, "is %q, want a URL such as http://10.0.0.1:8000", value)
	}
}

func (c *checker) keys(k Keys) {
	if k.Insecure {
		return
	}
	c.pem("keys.certificate", k.Certificate)
	c.pem("keys.key", k.Key)
	c.pem("keys.authority", k.Authority)
}

func (c *checker) pem(key, path string) {
	if path == "" {
		c.add(key, "is missing; name a PEM file, or set keys.insecure to turn TLS off")
		return
	}
	if _, err := os.Stat(path); err != nil {
		c.add(key, "cannot be read: %v", err)
	}
}

func (c *checker) limits(l Limits) {
	c.positive("limits.body", l.Body)
	c.positive("limits.timeout", int64(l.Timeout))
	c.positive("limits.drain", int64(l.Drain))
	c.positive("limits.held", l.Held)
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(key, "is %d, want a positive number", value)
	}
}

func (c *checker) endpoint(e Endpoint) {
	c.url("endpoint.address", e.Address)
	c.need("endpoint.service", string(e.Service))
	c.positive("endpoint.capacity", int64(e.Capacity))
	if e.Rank < 0 {
		c.add("endpoint.rank", "is %d, want zero or more", e.Rank)
	}
	if e.Rank > 0 && e.Group == "" {
		c.add("endpoint.rank", "is %d, but endpoint.group is missing", e.Rank)
	}
}
