package nodesettings

import "reflect"

// Changed returns the keys whose values differ between two settings, in the order of the fields, with keys inside tables as
// `table.key`. It returns nil if there are none.
func Changed(before, after *Settings) []string {
	return changed("", reflect.ValueOf(before).Elem(), reflect.ValueOf(after).Elem())
}

func changed(path string, before, after reflect.Value) []string {
	var keys []string
	for index := range before.NumField() {
		key := joinKey(path, before.Type().Field(index).Tag.Get(keyTag))
		old, current := before.Field(index), after.Field(index)
		if old.Kind() == reflect.Struct {
			keys = append(keys, changed(key, old, current)...)
			continue
		}
		if !equalValues(old, current) {
			keys = append(keys, key)
		}
	}
	return keys
}

// equalValues treats a missing list or map as an empty one.
func equalValues(old, current reflect.Value) bool {
	switch old.Kind() {
	case reflect.Slice, reflect.Map:
		if old.Len() == 0 && current.Len() == 0 {
			return true
		}
	}
	return reflect.DeepEqual(old.Interface(), current.Interface())
}
