// Package parser reads, checks and prints the configuration that operators
// write in TOML.
//
//	configuration, err := parser.Parse(text)
//	var mistakes parser.Mistakes
//	if errors.As(err, &mistakes) {
//		for _, m := range mistakes {
//			fmt.Println(m) // services[chat].kind: "modell" is not allowed; ...
//		}
//	}
//
// Reading is strict: an unknown key is a mistake, and a configuration with a
// mistake is refused as a whole.
package parser

import (
	"fmt"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"github.com/banyanplank/banyanplank"
)

// maxText bounds the text of a configuration in bytes.
const maxText = 64 << 20

// Parse reads a configuration. The error is [Mistakes] with everything that is
// wrong; the configuration is then nil.
func Parse(text []byte) (configuration *banyanplank.Configuration, err error) {
	r := &reporter{}
	document, ok := read(text, r)
	if !ok {
		return nil, r.err()
	}
	configuration = &banyanplank.Configuration{}
	binder := binder{reporter: r}
	binder.table("", reflect.ValueOf(configuration).Elem(), document)
	check(configuration, binder.isBound, r)
	if err = r.err(); err != nil {
		return nil, err
	}
	return configuration, nil
}

// Check checks a configuration that was not read from text. The error is
// [Mistakes].
func Check(configuration *banyanplank.Configuration) (err error) {
	r := &reporter{}
	check(configuration, func(string) bool { return true }, r)
	return r.err()
}

// read turns text into a tree of TOML values.
func read(text []byte, r *reporter) (document map[string]any, ok bool) {
	if len(text) > maxText {
		r.report("text", phrase(fmt.Sprintf("%d bytes", len(text))), fmt.Sprintf("at most %d bytes", maxText))
		return nil, false
	}
	err := toml.Unmarshal(text, &document)
	if err == nil {
		return document, true
	}
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		r.report("text", phrase(err.Error()), "TOML")
		return nil, false
	}
	row, column := decode.Position()
	r.report(fmt.Sprintf("line %d, column %d", row, column), phrase(decode.Error()), "TOML")
	return nil, false
}
