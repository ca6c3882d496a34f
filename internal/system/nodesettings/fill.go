package nodesettings

import (
	"reflect"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/findings/quantity"
)

// keyTag is the struct tag that holds a field's key.
const keyTag = "key"

// fill copies the document's values into the fields that are tagged with their keys. An invalid value is a finding and leaves its
// field unchanged.
func fill(settings *Settings, document map[string]any, found *findings.Findings) {
	filler := filler{found: found}
	filler.setTable("", reflect.ValueOf(settings).Elem(), document)
}

type filler struct {
	found *findings.Findings
}

func (f *filler) setTable(path string, target reflect.Value, table map[string]any) {
	for index := range target.NumField() {
		key := target.Type().Field(index).Tag.Get(keyTag)
		value, given := table[key]
		if !given || value == "" {
			continue
		}
		f.setValue(joinKey(path, key), target.Field(index), value)
	}
}

func (f *filler) setValue(path string, target reflect.Value, value any) {
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			f.setTable(path, target, table)
			return
		}
		f.found.Add(path, "%v is not a table", value)
	case reflect.Map:
		f.setStringMap(path, target, value)
	case reflect.Slice:
		f.setList(path, target, value)
	default:
		f.setScalar(path, target, value)
	}
}

func (f *filler) setStringMap(path string, target reflect.Value, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		f.found.Add(path, "%v is not a table", value)
		return
	}
	texts := make(map[string]string, len(table))
	for key, item := range table {
		text, isText := item.(string)
		if !isText {
			f.found.Add(joinKey(path, key), "%v is not a text", item)
			continue
		}
		texts[key] = text
	}
	target.Set(reflect.ValueOf(texts))
}

func (f *filler) setList(path string, target reflect.Value, value any) {
	items, ok := value.([]any)
	if !ok {
		f.found.Add(path, "%v is not a list", value)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for index, item := range items {
		f.setScalar(findings.Item(path, index, ""), list.Index(index), item)
	}
	target.Set(list)
}

func (f *filler) setScalar(path string, target reflect.Value, value any) {
	switch target.Kind() {
	case reflect.String:
		f.setString(path, target, value)
	case reflect.Bool:
		f.setBool(path, target, value)
	case reflect.Float64:
		f.setFloat(path, target, value)
	case reflect.Int:
		f.setInt(path, target, value)
	}
}

func (f *filler) setString(path string, target reflect.Value, value any) {
	text, ok := value.(string)
	if !ok {
		f.found.Add(path, "%v is not a text", value)
		return
	}
	target.SetString(text)
}

func (f *filler) setBool(path string, target reflect.Value, value any) {
	boolean, ok := value.(bool)
	if !ok {
		f.found.Add(path, "%v is neither true nor false", value)
		return
	}
	target.SetBool(boolean)
}

func (f *filler) setFloat(path string, target reflect.Value, value any) {
	if parsed, ok := f.parseNumber(path, value); ok {
		target.SetFloat(parsed)
	}
}

func (f *filler) setInt(path string, target reflect.Value, value any) {
	parsed, ok := f.parseNumber(path, value)
	if !ok {
		return
	}
	integer, ok := quantity.Integer(parsed)
	if !ok {
		f.found.Add(path, "%v is not a whole number", value)
		return
	}
	target.SetInt(integer)
}

func (f *filler) parseNumber(path string, value any) (parsed float64, ok bool) {
	switch number := value.(type) {
	case int64:
		parsed = float64(number)
	case float64:
		parsed = number
	default:
		f.found.Add(path, "%v is not a number", value)
		return 0, false
	}
	if !(parsed >= 0) {
		f.found.Add(path, "%v is negative or no number", value)
		return 0, false
	}
	return parsed, true
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
