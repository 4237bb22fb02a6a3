package parser

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

// Print formats a configuration as TOML that is easy to compare in a diff: one
// table per item, items sorted by name, one field per line, and no fields with
// their zero value. Equal configurations give equal text. The error is
// [Mistakes] if the configuration does not pass [Check].
func Print(configuration *banyanplank.Configuration) (text []byte, err error) {
	err = Check(configuration)
	if err != nil {
		return nil, err
	}
	p := &printer{}
	sorted := Sort(configuration)
	writeTables(p, "zones", sorted.Zones)
	writeTables(p, "services", sorted.Services)
	writeTables(p, "groups", sorted.Groups)
	writeTables(p, "accounts", sorted.Accounts)
	return p.buffer.Bytes(), nil
}

// Sort returns a copy of a configuration with every list in the order that
// [Print] uses.
func Sort(configuration *banyanplank.Configuration) (sorted *banyanplank.Configuration) {
	sorted = &banyanplank.Configuration{
		Revision: configuration.Revision,
		Zones:    sortBy(configuration.Zones, func(z banyanplank.ZoneSpec) string { return string(z.Name) }),
		Services: sortBy(configuration.Services, func(s banyanplank.ServiceSpec) string { return string(s.Name) }),
		Groups:   sortBy(configuration.Groups, func(g banyanplank.GroupSpec) string { return string(g.Name) }),
		Accounts: sortBy(configuration.Accounts, func(a banyanplank.AccountSpec) string { return string(a.Name) }),
	}
	for i := range sorted.Services {
		s := &sorted.Services[i]
		s.AtMostOncePaths = sortBy(s.AtMostOncePaths, func(prefix string) string { return prefix })
	}
	for i := range sorted.Groups {
		g := &sorted.Groups[i]
		g.Zones = sortBy(g.Zones, func(z banyanplank.Zone) string { return string(z) })
		g.QuietSpans = sortBy(g.QuietSpans, func(q banyanplank.QuietSpan) banyanplank.Duration { return q.Until })
		g.QuietSpans = sortBy(g.QuietSpans, func(q banyanplank.QuietSpan) banyanplank.Duration { return q.From })
	}
	return sorted
}

// sortBy returns a copy of items in a stable order by key.
func sortBy[T any, K cmp.Ordered](items []T, key func(T) K) (sorted []T) {
	sorted = slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return sorted
}

// printer builds TOML text.
type printer struct {
	buffer bytes.Buffer
}

// writeTables writes an array of tables with one table for each item.
func writeTables[T any](p *printer, key string, items []T) {
	for _, item := range items {
		p.writeHeader("[[" + key + "]]")
		p.writeTable(key, reflect.ValueOf(item))
	}
}

// writeHeader writes the header of a table, after a blank line unless it is the
// first.
func (p *printer) writeHeader(text string) {
	if p.buffer.Len() > 0 {
		p.buffer.WriteByte('\n')
	}
	p.buffer.WriteString(text + "\n")
}

// writeTable writes the scalars and arrays of a struct, then its tables, since
// TOML assigns a key after a header to that table.
func (p *printer) writeTable(path string, item reflect.Value) {
	keys := keysOf(item.Type())
	for i, key := range keys {
		field := item.Field(i)
		if !isTable(field.Type()) && !isZero(field) {
			fmt.Fprintf(&p.buffer, "%s = %s\n", key, formatLiteral(field))
		}
	}
	for i, key := range keys {
		field := item.Field(i)
		if isTable(field.Type()) && !isZero(field) {
			p.writeHeader("[" + joinPath(path, key) + "]")
			p.writeTable(joinPath(path, key), field)
		}
	}
}

// isTable reports whether a field of this type is written as a table.
func isTable(t reflect.Type) (table bool) {
	return t.Kind() == reflect.Struct
}

// isZero reports whether a field is omitted. An empty slice and a negative zero
// count as zero.
func isZero(field reflect.Value) (zero bool) {
	switch field.Kind() {
	case reflect.Slice:
		return field.Len() == 0
	case reflect.Float64:
		return field.Float() == 0
	default:
		return field.IsZero()
	}
}

// formatLiteral formats a scalar, an array or an inline table.
func formatLiteral(value reflect.Value) (text string) {
	if value.Type() == durationType {
		return strconv.Quote(time.Duration(value.Int()).String())
	}
	switch value.Kind() {
	case reflect.String:
		return strconv.Quote(value.String())
	case reflect.Bool:
		return strconv.FormatBool(value.Bool())
	case reflect.Float64:
		return formatFloat(value.Float())
	case reflect.Slice:
		return formatArray(value)
	case reflect.Struct:
		return formatInlineTable(value)
	default:
		return strconv.FormatInt(value.Int(), 10)
	}
}

// formatFloat formats a number with a decimal point, so that TOML reads a float.
func formatFloat(number float64) (text string) {
	text = strconv.FormatFloat(number, 'f', -1, 64)
	if strings.Contains(text, ".") {
		return text
	}
	return text + ".0"
}

// formatArray formats an array. An array of several items has one item per line.
func formatArray(value reflect.Value) (text string) {
	if value.Len() == 1 {
		return "[" + formatLiteral(value.Index(0)) + "]"
	}
	var b strings.Builder
	b.WriteString("[\n")
	for i := range value.Len() {
		b.WriteString("  " + formatLiteral(value.Index(i)) + ",\n")
	}
	b.WriteString("]")
	return b.String()
}

// formatInlineTable formats a struct as an inline table with all its fields.
func formatInlineTable(value reflect.Value) (text string) {
	var fields []string
	for i, key := range keysOf(value.Type()) {
		fields = append(fields, key+" = "+formatLiteral(value.Field(i)))
	}
	return "{ " + strings.Join(fields, ", ") + " }"
}
