package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Mistake is one thing that is wrong with a configuration.
type Mistake struct {
	// Field is the path of the field, such as services[chat].kind. An item
	// without a name is given by its place, as in services[#2].name.
	Field string `json:"field"`
	// Value is what stands there, in TOML.
	Value string `json:"value"`
	// Allowed tells what may stand there.
	Allowed string `json:"allowed"`
}

// String returns the mistake as one line for people.
func (m Mistake) String() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", m.Field, m.Value, m.Allowed)
}

// Mistakes is the error that holds all mistakes of one configuration.
type Mistakes []Mistake

// Error implements error with one line for each mistake.
func (m Mistakes) Error() string {
	lines := make([]string, 0, len(m))
	for _, mistake := range m {
		lines = append(lines, mistake.String())
	}
	return strings.Join(lines, "\n")
}

// reporter collects mistakes.
type reporter struct {
	mistakes Mistakes
}

// report adds one mistake.
func (r *reporter) report(field string, value any, allowed string) {
	mistake := Mistake{Field: field, Value: show(value), Allowed: allowed}
	r.mistakes = append(r.mistakes, mistake)
}

// err returns all mistakes as an error, or nil.
func (r *reporter) err() (err error) {
	if len(r.mistakes) == 0 {
		return nil
	}
	return slices.Clip(r.mistakes)
}

// phrase describes a value that is not shown itself.
type phrase string

// maxShown bounds the text of a value in a mistake, in bytes.
const maxShown = 80

// show writes a value for a mistake.
func show(value any) (text string) {
	switch v := value.(type) {
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array of " + strconv.Itoa(len(v))
	case phrase:
		return string(v)
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > maxShown {
		text = strings.ToValidUTF8(text[:maxShown], "") + "..."
	}
	return text
}
