package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/banyanplank/banyanplank"
	"github.com/banyanplank/banyanplank/coordination/accepter"
	"github.com/banyanplank/banyanplank/state/parser"
	"github.com/banyanplank/banyanplank/transport/storer"
)

// options are those of all commands.
type options struct {
	Platform string        `long:"platform" value-name:"URL" env:"BANYANPLANK_PLATFORM" description:"address of the platform's object API, such as http://10.0.0.9:8080"`
	Key      string        `long:"platform-key" value-name:"FILE" env:"BANYANPLANK_PLATFORM_KEY" description:"file with the bearer key for the platform"`
	Timeout  time.Duration `long:"timeout" value-name:"TIME" default:"20s" description:"give up after this time"`
	JSON     bool          `long:"json" description:"write the result, or the failure, as JSON"`
}

// accepted reads and replaces the accepted configuration.
type accepted interface {
	Current(ctx context.Context) (configuration *banyanplank.Configuration, err error)
	Accept(ctx context.Context, base banyanplank.Revision, configuration *banyanplank.Configuration) (revision banyanplank.Revision, err error)
}

// session is one run of the command line.
type session struct {
	options options
	ctx     context.Context
	stdout  io.Writer
}

// deadline bounds the command by its timeout.
func (s *session) deadline() (ctx context.Context, cancel context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.options.Timeout)
}

// store connects to the platform.
func (s *session) store() (store *storer.Storer, err error) {
	if s.options.Platform == "" {
		return nil, usagef("--platform", "", "the platform's address, such as http://10.0.0.9:8080")
	}
	var options []storer.Option
	if s.options.Key != "" {
		key, err := readKey("--platform-key", s.options.Key)
		if err != nil {
			return nil, err
		}
		options = append(options, storer.WithKey(key))
	}
	store, err = storer.New(s.options.Platform, options...)
	if err != nil {
		return nil, usagef("--platform", s.options.Platform, "a URL of scheme http or https")
	}
	return store, nil
}

// accepted connects to the accepted configuration.
func (s *session) accepted() (a accepted, err error) {
	store, err := s.store()
	if err != nil {
		return nil, err
	}
	return accepter.New(store, accepter.WithCheck(parser.Check)), nil
}

// current reads the accepted configuration.
func (s *session) current(ctx context.Context) (configuration *banyanplank.Configuration, err error) {
	a, err := s.accepted()
	if err != nil {
		return nil, err
	}
	return a.Current(ctx)
}

// write writes text, or value as JSON if that was asked for.
func (s *session) write(value any, text string) (err error) {
	if !s.options.JSON {
		_, err = io.WriteString(s.stdout, text)
		return errors.Wrap(err, "write result")
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}

// maxKeyFile bounds a file with a key in bytes.
const maxKeyFile = 4096

// readKey reads a secret key from the file that an option names.
func readKey(option, file string) (key string, err error) {
	text, err := readFile(option, file, maxKeyFile)
	if err != nil {
		return "", err
	}
	key = strings.TrimSpace(string(text))
	if key == "" {
		return "", usagef(option, file, "a file that is not empty")
	}
	return key, nil
}

// readFile reads a file up to a number of bytes. The name - stands for
// standard input.
func readFile(field, name string, most int64) (text []byte, err error) {
	file := os.Stdin
	if name != "-" {
		file, err = os.Open(name)
		if err != nil {
			return nil, usagef(field, name, "a file that can be read: "+err.Error())
		}
		defer file.Close()
	}
	text, err = io.ReadAll(io.LimitReader(file, most+1))
	if err != nil {
		return nil, usagef(field, name, "a file that can be read: "+err.Error())
	}
	if int64(len(text)) > most {
		return nil, usagef(field, name, fmt.Sprintf("a file of at most %d bytes", most))
	}
	return text, nil
}

// maxConfigurationFile bounds a configuration file in bytes.
const maxConfigurationFile = 64 << 20

// readConfiguration reads and checks a configuration file.
func readConfiguration(name string) (configuration *banyanplank.Configuration, err error) {
	text, err := readFile("FILE", name, maxConfigurationFile)
	if err != nil {
		return nil, err
	}
	return parser.Parse(text)
}
