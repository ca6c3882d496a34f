package nodesettings

import (
	"reflect"

	"gaugeslip/internal/system/findings"
	"gaugeslip/internal/system/findings/quantity"
)

// keyTag is the tag that gives a field its key.
const keyTag = "key"

// fill puts the document's values into the fields that are tagged with their keys. What can't be used is a finding and leaves
// the field as it is.
func fill(settings *Settings, document map[string]any, found *findings.Findings) {
	filler := filler{found: found}
	filler.table("", reflect.ValueOf(settings).Elem(), document)
}

type filler struct {
	found *findings.Findings
}

func (f *filler) table(path string, target reflect.Value, table map[string]any) {
	for index := range target.NumField() {
		key := target.Type().Field(index).Tag.Get(keyTag)
		value, given := table[key]
		if !given || value == "" {
			continue
		}
		f.value(join(path, key), target.Field(index), value)
	}
}

func (f *filler) value(path string, target reflect.Value, value any) {
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			f.table(path, target, table)
			return
		}
		f.found.Add(path, "%v is not a table", value)
	case reflect.Map:
		f.texts(path, target, value)
	case reflect.Slice:
		f.list(path, target, value)
	default:
		f.scalar(path, target, value)
	}
}

func (f *filler) texts(path string, target reflect.Value, value any) {
	table, ok := value.(map[string]any)
	if !ok {
		f.found.Add(path, "%v is not a table", value)
		return
	}
	texts := make(map[string]string, len(table))
	for key, item := range table {
		text, isText := item.(string)
		if !isText {
			f.found.Add(join(path, key), "%v is not a text", item)
			continue
		}
		texts[key] = text
	}
	target.Set(reflect.ValueOf(texts))
}

func (f *filler) list(path string, target reflect.Value, value any) {
	items, ok := value.([]any)
	if !ok {
		f.found.Add(path, "%v is not a list", value)
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for index, item := range items {
		f.scalar(findings.Item(path, index, ""), list.Index(index), item)
	}
	target.Set(list)
}

func (f *filler) scalar(path string, target reflect.Value, value any) {
	switch target.Kind() {
	case reflect.String:
		f.text(path, target, value)
	case reflect.Bool:
		f.truth(path, target, value)
	case reflect.Float64:
		f.figure(path, target, value)
	case reflect.Int:
		f.whole(path, target, value)
	}
}

func (f *filler) text(path string, target reflect.Value, value any) {
	text, ok := value.(string)
	if !ok {
		f.found.Add(path, "%v is not a text", value)
		return
	}
	target.SetString(text)
}

func (f *filler) truth(path string, target reflect.Value, value any) {
	truth, ok := value.(bool)
	if !ok {
		f.found.Add(path, "%v is neither true nor false", value)
		return
	}
	target.SetBool(truth)
}

func (f *filler) figure(path string, target reflect.Value, value any) {
	if figure, ok := f.number(path, value); ok {
		target.SetFloat(figure)
	}
}

func (f *filler) whole(path string, target reflect.Value, value any) {
	figure, ok := f.number(path, value)
	if !ok {
		return
	}
	whole, ok := quantity.Integer(figure)
	if !ok {
		f.found.Add(path, "%v is not a whole number", value)
		return
	}
	target.SetInt(whole)
}

func (f *filler) number(path string, value any) (figure float64, ok bool) {
	switch number := value.(type) {
	case int64:
		figure = float64(number)
	case float64:
		figure = number
	default:
		f.found.Add(path, "%v is not a number", value)
		return 0, false
	}
	if !(figure >= 0) {
		f.found.Add(path, "%v is negative or no number", value)
		return 0, false
	}
	return figure, true
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
