package parser

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/banyanplank/banyanplank"
)

var durationType = reflect.TypeFor[banyanplank.Duration]()

// binder copies a tree of TOML values into the types of a configuration. It
// goes on after a mistake, so that all are found in one pass.
type binder struct {
	*reporter
	// failed holds the fields that hold no usable value.
	failed map[string]bool
}

// isBound reports whether the field has a usable value. A field that failed is
// not checked again.
func (b *binder) isBound(field string) (ok bool) {
	return !b.failed[field]
}

// reject reports a value that cannot be bound.
func (b *binder) reject(field string, value any, allowed string) {
	if b.failed == nil {
		b.failed = make(map[string]bool)
	}
	b.failed[field] = true
	b.report(field, value, allowed)
}

// table binds a TOML table to a struct.
func (b *binder) table(path string, target reflect.Value, table map[string]any) {
	keys := keysOf(target.Type())
	for _, key := range sortedKeys(table) {
		index := slices.Index(keys, key)
		if index < 0 {
			b.reject(join(path, key), table[key], "no such key; keys here are "+strings.Join(known(keys), ", "))
			continue
		}
		b.value(join(path, key), target.Field(index), table[key])
	}
}

// value binds one TOML value.
func (b *binder) value(field string, target reflect.Value, value any) {
	if target.Type() == durationType {
		b.duration(field, target, value)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		b.nested(field, target, value)
	case reflect.Slice:
		b.slice(field, target, value)
	case reflect.String:
		text, ok := value.(string)
		b.set(field, target, value, text, ok, "text")
	case reflect.Bool:
		flag, ok := value.(bool)
		b.set(field, target, value, flag, ok, "true or false")
	case reflect.Float64:
		number, ok := toFloat(value)
		b.set(field, target, value, number, ok, "a number")
	default:
		number, ok := value.(int64)
		b.set(field, target, value, number, ok, "a whole number")
	}
}

// set stores a scalar, or reports that value is no such thing.
func (b *binder) set(field string, target reflect.Value, value, scalar any, ok bool, allowed string) {
	if !ok {
		b.reject(field, value, allowed)
		return
	}
	target.Set(reflect.ValueOf(scalar).Convert(target.Type()))
}

// duration binds text such as "1.6s".
func (b *binder) duration(field string, target reflect.Value, value any) {
	text, ok := value.(string)
	parsed, err := time.ParseDuration(text)
	b.set(field, target, value, parsed, ok && err == nil, `a duration such as "1.6s" or "62ms"`)
}

// nested binds a table within a table.
func (b *binder) nested(field string, target reflect.Value, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		b.reject(field, value, "a table")
		return
	}
	b.table(field, target, table)
}

// slice binds an array of scalars or of tables.
func (b *binder) slice(field string, target reflect.Value, value any) {
	items, ok := value.([]any)
	if !ok {
		b.reject(field, value, "an array")
		return
	}
	for i, item := range items {
		element := reflect.New(target.Type().Elem()).Elem()
		b.value(itemPath(field, i, nameIn(item)), element, item)
		target.Set(reflect.Append(target, element))
	}
}

// keysOf returns the TOML keys of a struct by the index of their fields, with
// "-" for fields that have none.
func keysOf(t reflect.Type) (keys []string) {
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		keys = append(keys, key)
	}
	return keys
}

// known returns the keys that may be written.
func known(keys []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return key == "-" })
}

// sortedKeys returns the keys of a table in order.
func sortedKeys(table map[string]any) (keys []string) {
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// nameIn returns the name of an item, if it has one.
func nameIn(item any) (name string) {
	table, _ := item.(map[string]any)
	name, _ = table["name"].(string)
	return name
}

// join appends a key to a path.
func join(path, key string) (field string) {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemPath returns the path of an item, by its name if that reads well.
func itemPath(path string, index int, name string) (field string) {
	if namePattern.MatchString(name) {
		return fmt.Sprintf("%s[%s]", path, name)
	}
	return fmt.Sprintf("%s[#%d]", path, index+1)
}

// toFloat accepts floats and whole numbers.
func toFloat(value any) (number float64, ok bool) {
	switch v := value.(type) {
	case float64:
		return v, !math.IsNaN(v) && !math.IsInf(v, 0)
	case int64:
		return float64(v), true
	default:
		return 0, false
	}
}
