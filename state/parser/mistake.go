package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Mistake is one invalid field of a configuration.
type Mistake struct {
	// Field is the path of the field, such as services[chat].kind. An item
	// without a valid name is given by its position, as in services[#2].name.
	Field string `json:"field"`
	// Value is the invalid value, or a description of it.
	Value string `json:"value"`
	// Allowed describes the values that the field accepts.
	Allowed string `json:"allowed"`
}

// String formats the mistake as one human-readable line.
func (m Mistake) String() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed: %s", m.Field, m.Value, m.Allowed)
}

// Mistakes is an error with all mistakes of one configuration.
type Mistakes []Mistake

// Error returns one line for each mistake.
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

func (r *reporter) report(field string, value any, allowed string) {
	mistake := Mistake{Field: field, Value: formatValue(value), Allowed: allowed}
	r.mistakes = append(r.mistakes, mistake)
}

// err returns the collected mistakes as an error, or nil if there are none.
func (r *reporter) err() (err error) {
	if len(r.mistakes) == 0 {
		return nil
	}
	return slices.Clip(r.mistakes)
}

// description stands for a value that is described rather than quoted.
type description string

// maxFormattedBytes limits the text of a value in a [Mistake].
const maxFormattedBytes = 80

// formatValue formats a value for a [Mistake], truncated to [maxFormattedBytes].
func formatValue(value any) (text string) {
	switch v := value.(type) {
	case string:
		text = strconv.Quote(v)
	case map[string]any:
		return "a table"
	case []any:
		return "an array of " + strconv.Itoa(len(v))
	case description:
		return string(v)
	default:
		text = fmt.Sprint(v)
	}
	if len(text) > maxFormattedBytes {
		text = strings.ToValidUTF8(text[:maxFormattedBytes], "") + "..."
	}
	return text
}
