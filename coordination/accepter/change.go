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
	// Path is the changed item and field, such as "zones.langtang-1.out". It
	// ends with the item if the whole item was added or removed.
	Path string `json:"path"`
	// Before and After are the formatted values. Before is empty for an added
	// item, After for a removed one.
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change as "path: before -> after", or as "+path" or "-path"
// for an added or removed item.
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

// Diff returns the changes from before to after, sorted by name within each kind
// of item. The order of the items in the configurations is ignored.
func Diff(before, after *banyanplank.Configuration) (changes []Change) {
	changes = append(changes, diffItems("zones", before.Zones, after.Zones)...)
	changes = append(changes, diffItems("services", before.Services, after.Services)...)
	changes = append(changes, diffItems("groups", before.Groups, after.Groups)...)
	return append(changes, diffItems("accounts", before.Accounts, after.Accounts)...)
}

// diffItems returns the changes of the items of one kind, matched by name.
func diffItems[T any](kind string, before, after []T) (changes []Change) {
	beforeByName, afterByName := itemsByName(before), itemsByName(after)
	names := make([]string, 0, len(beforeByName))
	for name := range beforeByName {
		names = append(names, name)
	}
	for name := range afterByName {
		if _, ok := beforeByName[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		changes = append(changes, diffItem(kind+"."+name, beforeByName[name], afterByName[name])...)
	}
	return changes
}

// itemsByName returns the items keyed by their field Name.
func itemsByName[T any](items []T) (byName map[string]reflect.Value) {
	byName = make(map[string]reflect.Value, len(items))
	for i := range items {
		v := reflect.ValueOf(&items[i]).Elem()
		byName[v.FieldByName("Name").String()] = v
	}
	return byName
}

// diffItem returns the changes between two states of one item. An invalid value
// means that the item does not exist.
func diffItem(path string, before, after reflect.Value) (changes []Change) {
	if !before.IsValid() {
		return []Change{{Path: path, After: formatValue(after)}}
	}
	if !after.IsValid() {
		return []Change{{Path: path, Before: formatValue(before)}}
	}
	for i := range before.NumField() {
		oldValue, newValue := before.Field(i), after.Field(i)
		if formatValue(oldValue) == formatValue(newValue) {
			continue
		}
		changes = append(changes, Change{Path: path + "." + fieldName(before.Type().Field(i)), Before: formatValue(oldValue), After: formatValue(newValue)})
	}
	return changes
}

// fieldName returns the TOML key of the field.
func fieldName(field reflect.StructField) (name string) {
	name, _, _ = strings.Cut(field.Tag.Get("toml"), ",")
	return name
}

// formatValue returns the value as text, which is never empty, since an empty
// text in a [Change] means an added or removed item.
func formatValue(v reflect.Value) (text string) {
	if d, ok := v.Interface().(banyanplank.Duration); ok {
		value, _ := d.MarshalText()
		return string(value)
	}
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", v.String())
	}
	return fmt.Sprintf("%v", v.Interface())
}
