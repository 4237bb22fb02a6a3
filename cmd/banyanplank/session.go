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

// options are the options of all commands.
type options struct {
	Platform    string        `long:"platform" value-name:"URL" env:"BANYANPLANK_PLATFORM" description:"address of the platform's object API, such as http://10.0.0.9:8080"`
	PlatformKey string        `long:"platform-key" value-name:"FILE" env:"BANYANPLANK_PLATFORM_KEY" description:"file with the bearer key for the platform"`
	Timeout     time.Duration `long:"timeout" value-name:"TIME" default:"20s" description:"give up after this time"`
	JSON        bool          `long:"json" description:"write the result, or the failure, as JSON"`
}

// configurationStore reads and replaces the accepted configuration. Accept fails
// with a conflict if base is not the revision in force.
type configurationStore interface {
	Current(ctx context.Context) (configuration *banyanplank.Configuration, err error)
	Accept(ctx context.Context, base banyanplank.Revision, configuration *banyanplank.Configuration) (revision banyanplank.Revision, err error)
}

// session is the state of one run of the program that its commands share.
type session struct {
	options options
	ctx     context.Context
	stdout  io.Writer
}

// withTimeout returns a context that ends after the command's timeout.
func (s *session) withTimeout() (ctx context.Context, cancel context.CancelFunc) {
	return context.WithTimeout(s.ctx, s.options.Timeout)
}

// objectStore returns a client of the platform's object store.
func (s *session) objectStore() (store *storer.Storer, err error) {
	if s.options.Platform == "" {
		return nil, newUsageError("--platform", "", "the platform's address, such as http://10.0.0.9:8080")
	}
	var options []storer.Option
	if s.options.PlatformKey != "" {
		key, err := readKey("--platform-key", s.options.PlatformKey)
		if err != nil {
			return nil, err
		}
		options = append(options, storer.WithKey(key))
	}
	store, err = storer.New(s.options.Platform, options...)
	if err != nil {
		return nil, newUsageError("--platform", s.options.Platform, "a URL of scheme http or https")
	}
	return store, nil
}

// configurationStore returns the store of the accepted configuration, which
// checks each configuration before it accepts it.
func (s *session) configurationStore() (configurations configurationStore, err error) {
	store, err := s.objectStore()
	if err != nil {
		return nil, err
	}
	return accepter.New(store, accepter.WithCheck(parser.Check)), nil
}

// currentConfiguration reads the accepted configuration.
func (s *session) currentConfiguration(ctx context.Context) (configuration *banyanplank.Configuration, err error) {
	store, err := s.configurationStore()
	if err != nil {
		return nil, err
	}
	return store.Current(ctx)
}

// writeResult writes text to standard output, or value as JSON with --json.
func (s *session) writeResult(value any, text string) (err error) {
	if !s.options.JSON {
		_, err = io.WriteString(s.stdout, text)
		return errors.Wrap(err, "write result")
	}
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write result")
}

// maxKeyFileBytes bounds the size of a key file.
const maxKeyFileBytes = 4096

// readKey reads a secret key from the file given to an option.
func readKey(option, file string) (key string, err error) {
	text, err := readFile(option, file, maxKeyFileBytes)
	if err != nil {
		return "", err
	}
	key = strings.TrimSpace(string(text))
	if key == "" {
		return "", newUsageError(option, file, "a file that is not empty")
	}
	return key, nil
}

// readFile reads a file of at most limit bytes. The name - stands for standard
// input. Errors name the field.
func readFile(field, name string, limit int64) (text []byte, err error) {
	file := os.Stdin
	if name != "-" {
		file, err = os.Open(name)
		if err != nil {
			return nil, newUsageError(field, name, "a file that can be read: "+err.Error())
		}
		defer file.Close()
	}
	text, err = io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, newUsageError(field, name, "a file that can be read: "+err.Error())
	}
	if int64(len(text)) > limit {
		return nil, newUsageError(field, name, fmt.Sprintf("a file of at most %d bytes", limit))
	}
	return text, nil
}

// maxConfigurationFileBytes bounds the size of a configuration file.
const maxConfigurationFileBytes = 64 << 20

// readConfiguration reads, parses and checks a configuration file.
func readConfiguration(name string) (configuration *banyanplank.Configuration, err error) {
	text, err := readFile("FILE", name, maxConfigurationFileBytes)
	if err != nil {
		return nil, err
	}
	return parser.Parse(text)
}
