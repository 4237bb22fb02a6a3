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
// continues after a mistake, so that one pass reports all of them.
type binder struct {
	*reporter
	// failed is the set of fields whose value could not be bound.
	failed map[string]bool
}

// isBound reports whether the field has a usable value. A field that failed to
// bind is not checked again.
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

// bindTable binds the keys of a TOML table to the fields of a struct.
func (b *binder) bindTable(path string, target reflect.Value, table map[string]any) {
	keys := keysOf(target.Type())
	for _, key := range sortedKeys(table) {
		index := slices.Index(keys, key)
		if index < 0 {
			b.reject(joinPath(path, key), table[key], "no such key; known keys are "+strings.Join(knownKeys(keys), ", "))
			continue
		}
		b.bindValue(joinPath(path, key), target.Field(index), table[key])
	}
}

// bindValue binds one TOML value by the type of its target.
func (b *binder) bindValue(field string, target reflect.Value, value any) {
	if target.Type() == durationType {
		b.bindDuration(field, target, value)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		b.bindNestedTable(field, target, value)
	case reflect.Slice:
		b.bindArray(field, target, value)
	case reflect.String:
		text, ok := value.(string)
		b.setScalar(field, target, value, text, ok, "text")
	case reflect.Bool:
		flag, ok := value.(bool)
		b.setScalar(field, target, value, flag, ok, "true or false")
	case reflect.Float64:
		number, ok := toFloat(value)
		b.setScalar(field, target, value, number, ok, "a number")
	default:
		number, ok := value.(int64)
		b.setScalar(field, target, value, number, ok, "a whole number")
	}
}

// setScalar stores scalar in target, or rejects value unless ok holds.
func (b *binder) setScalar(field string, target reflect.Value, value, scalar any, ok bool, allowed string) {
	if !ok {
		b.reject(field, value, allowed)
		return
	}
	target.Set(reflect.ValueOf(scalar).Convert(target.Type()))
}

// bindDuration binds text such as "1.6s".
func (b *binder) bindDuration(field string, target reflect.Value, value any) {
	text, ok := value.(string)
	parsed, err := time.ParseDuration(text)
	b.setScalar(field, target, value, parsed, ok && err == nil, `a duration such as "1.6s" or "62ms"`)
}

func (b *binder) bindNestedTable(field string, target reflect.Value, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		b.reject(field, value, "a table")
		return
	}
	b.bindTable(field, target, table)
}

// bindArray binds an array of scalars or tables to a slice.
func (b *binder) bindArray(field string, target reflect.Value, value any) {
	items, ok := value.([]any)
	if !ok {
		b.reject(field, value, "an array")
		return
	}
	for i, item := range items {
		element := reflect.New(target.Type().Elem()).Elem()
		b.bindValue(itemPath(field, i, itemName(item)), element, item)
		target.Set(reflect.Append(target, element))
	}
}

// keysOf returns the TOML keys of a struct in the order of its fields. A field
// without a key has "-".
func keysOf(t reflect.Type) (keys []string) {
	for i := range t.NumField() {
		key, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		keys = append(keys, key)
	}
	return keys
}

// knownKeys returns keys without the fields that have no key.
func knownKeys(keys []string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(key string) bool { return key == "-" })
}

// sortedKeys returns the keys of a table in ascending order.
func sortedKeys(table map[string]any) (keys []string) {
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// itemName returns the name of an item, or "" if it has none.
func itemName(item any) (name string) {
	table, _ := item.(map[string]any)
	name, _ = table["name"].(string)
	return name
}

// joinPath appends a key to a path.
func joinPath(path, key string) (field string) {
	if path == "" {
		return key
	}
	return path + "." + key
}

// itemPath returns the path of an item. It uses the name if that is valid, and
// otherwise the position, which starts at 1.
func itemPath(path string, index int, name string) (field string) {
	if namePattern.MatchString(name) {
		return fmt.Sprintf("%s[%s]", path, name)
	}
	return fmt.Sprintf("%s[#%d]", path, index+1)
}

// toFloat converts a finite float or an integer.
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
