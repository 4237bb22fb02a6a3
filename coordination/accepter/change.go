package accepter

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/banyanplank/banyanplank"
)

// Change is one difference between two configurations.
type Change struct {
	// Path names what changed, such as "zones.langtang-1.out". It has no
	// field when the whole item was added or removed.
	Path string `json:"path"`
	// Before and After are the values. Before is empty for an added item and
	// After is empty for a removed one.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change in the form "path: before -> after".
func (c Change) String() (text string) {
	switch {
	case c.Before == "":
		return "+" + c.Path
	case c.After == "":
		return "-" + c.Path
	default:
		return fmt.Sprintf("%s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Diff returns what changes from before to after, in name order within each
// kind of item. The order of the items does not matter.
func Diff(before, after *banyanplank.Configuration) (changes []Change) {
	changes = append(changes, diffItems("zones", before.Zones, after.Zones)...)
	changes = append(changes, diffItems("services", before.Services, after.Services)...)
	changes = append(changes, diffItems("groups", before.Groups, after.Groups)...)
	return append(changes, diffItems("accounts", before.Accounts, after.Accounts)...)
}

// diffItems compares the items of one kind by their names.
func diffItems[T any](kind string, before, after []T) (changes []Change) {
	old, fresh := itemsByName(before), itemsByName(after)
	names := make([]string, 0, len(old))
	for name := range old {
		names = append(names, name)
	}
	for name := range fresh {
		if _, ok := old[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		changes = append(changes, diffItem(kind+"."+name, old[name], fresh[name])...)
	}
	return changes
}

// itemsByName returns the items by their field called Name.
func itemsByName[T any](items []T) (byName map[string]reflect.Value) {
	byName = make(map[string]reflect.Value, len(items))
	for i := range items {
		v := reflect.ValueOf(&items[i]).Elem()
		byName[v.FieldByName("Name").String()] = v
	}
	return byName
}

// diffItem compares two states of one item. An invalid value means that the
// item does not exist.
func diffItem(path string, before, after reflect.Value) (changes []Change) {
	if !before.IsValid() {
		return []Change{{Path: path, After: format(after)}}
	}
	if !after.IsValid() {
		return []Change{{Path: path, Before: format(before)}}
	}
	for i := range before.NumField() {
		old, fresh := before.Field(i), after.Field(i)
		if format(old) == format(fresh) {
			continue
		}
		changes = append(changes, Change{Path: path + "." + fieldName(before.Type().Field(i)), Before: format(old), After: format(fresh)})
	}
	return changes
}

// fieldName returns the TOML key of the field.
func fieldName(field reflect.StructField) (name string) {
	name, _, _ = strings.Cut(field.Tag.Get("toml"), ",")
	return name
}

// format returns the value as text that is never empty.
func format(v reflect.Value) (text string) {
	if d, ok := v.Interface().(banyanplank.Duration); ok {
		value, _ := d.MarshalText()
		return string(value)
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprintf("%v", v.Interface())
}
