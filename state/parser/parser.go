// Package parser parses, validates and prints the TOML configuration that
// operators write.
//
//	configuration, err := parser.Parse(text)
//	var mistakes parser.Mistakes
//	if errors.As(err, &mistakes) {
//		for _, m := range mistakes {
//			fmt.Println(m) // services[chat].kind: "modell" is not allowed; ...
//		}
//	}
//
// Parsing is strict: an unknown key is a mistake, and a configuration with any
// mistake is rejected as a whole.
package parser

import (
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// maxTextBytes limits the size of the text of a configuration.
const maxTextBytes = 64 << 20

// Parse parses and validates a configuration. The error is [Mistakes] with every
// mistake in the text; the configuration is then nil.
func Parse(text []byte) (configuration *banyanplank.Configuration, err error) {
	r := &reporter{}
	document, ok := decodeTOML(text, r)
	if !ok {
		return nil, r.err()
	}
	configuration = &banyanplank.Configuration{}
	binder := binder{reporter: r}
	binder.bindTable("", reflect.ValueOf(configuration).Elem(), document)
	check(configuration, binder.isBound, r)
	if err = r.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Check validates a configuration that was not parsed from text. The error is
// [Mistakes].
func Check(configuration *banyanplank.Configuration) (err error) {
	r := &reporter{}
	check(configuration, func(string) bool { return true }, r)
	return r.err()
}

// decodeTOML decodes text into a tree of TOML values. It reports a text that is
// too large or not TOML.
func decodeTOML(text []byte, r *reporter) (document map[string]any, ok bool) {
	if len(text) > maxTextBytes {
		r.report("text", description(fmt.Sprintf("%d bytes", len(text))), fmt.Sprintf("at most %d bytes", maxTextBytes))
		return nil, false
	}
	err := toml.Unmarshal(text, &document)
	if err == nil {
		return document, true
	}
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		r.report("text", description(err.Error()), "TOML")
		return nil, false
	}
	row, column := decodeErr.Position()
	r.report(fmt.Sprintf("line %d, column %d", row, column), description(decodeErr.Error()), "TOML")
	return nil, false
}
