package jsonc

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	plainName    = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]*$`)
)

// Field returns the path of the named member of the object at path.
func Field(path, name string) string {
	if plainName.MatchString(name) {
		return path + "." + name
	}
	return path + "[" + strconv.Quote(name) + "]"
}

// Index returns the path of element i of the array at path.
func Index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func (d *Doc) decode(root hujson.Value, v any) {
	d.value(root, "$", reflect.ValueOf(v).Elem())
}

// value decodes v into to. It panics if the target type is not supported, which
// is a programming error.
func (d *Doc) value(v hujson.Value, path string, to reflect.Value) {
	d.lines[path] = d.lineAt(v.StartOffset)
	if to.Type() == durationType {
		d.duration(v, path, to)
		return
	}
	switch to.Kind() {
	case reflect.Pointer:
		to.Set(reflect.New(to.Type().Elem()))
		if d.value(v, path, to.Elem()); d.undecoded[path] {
			to.SetZero()
		}
	case reflect.Struct, reflect.Map:
		d.object(v, path, to)
	case reflect.Slice:
		d.array(v, path, to)
	default:
		d.scalar(v, path, to)
	}
}

func (d *Doc) object(v hujson.Value, path string, to reflect.Value) {
	o, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object")
		return
	}
	fields := fieldsOf(to)
	if to.Kind() == reflect.Map {
		to.Set(reflect.MakeMap(to.Type()))
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := Field(path, name)
		line := d.lineAt(m.Name.StartOffset)
		if seen[name] {
			d.errs = append(d.errs, Error{CodeDuplicate, line, at, "is given twice"})
			continue
		}
		seen[name] = true
		if to.Kind() == reflect.Map {
			elem := reflect.New(to.Type().Elem()).Elem()
			d.value(m.Value, at, elem)
			to.SetMapIndex(reflect.ValueOf(name).Convert(to.Type().Key()), elem)
			continue
		}
		field, ok := fields[name]
		if !ok {
			d.errs = append(d.errs, Error{CodeUnknownField, line, at, "is not a known field"})
			continue
		}
		d.value(m.Value, at, field)
	}
}

func (d *Doc) array(v hujson.Value, path string, to reflect.Value) {
	a, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array")
		return
	}
	to.Set(reflect.MakeSlice(to.Type(), len(a.Elements), len(a.Elements)))
	for i, e := range a.Elements {
		d.value(e, Index(path, i), to.Index(i))
	}
}

func (d *Doc) scalar(v hujson.Value, path string, to reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	kind := v.Value.Kind()
	switch to.Kind() {
	case reflect.String:
		if kind != '"' {
			d.wrongType(v, path, "a string")
			return
		}
		to.SetString(lit.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			d.wrongType(v, path, "true or false")
			return
		}
		to.SetBool(lit.Bool())
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(string(lit), 10, 64)
		if kind != '0' || err != nil {
			d.wrongType(v, path, "a whole number")
			return
		}
		to.SetInt(n)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(lit), 64)
		if kind != '0' || err != nil {
			d.wrongType(v, path, "a number")
			return
		}
		to.SetFloat(f)
	default:
		panic("jsonc: unsupported target type " + to.Type().String())
	}
}

func (d *Doc) duration(v hujson.Value, path string, to reflect.Value) {
	lit, _ := v.Value.(hujson.Literal)
	if v.Value.Kind() != '"' {
		d.wrongType(v, path, `a string with a unit, such as "30s"`)
		return
	}
	dur, err := time.ParseDuration(lit.String())
	if err != nil {
		d.Addf(CodeBadDuration, path, `%q is not a duration such as "30s" or "1h30m"`, lit.String())
		d.undecoded[path] = true
		return
	}
	to.SetInt(int64(dur))
}

func (d *Doc) wrongType(v hujson.Value, path, want string) {
	have := "null"
	switch v.Value.Kind() {
	case '{':
		have = "an object"
	case '[':
		have = "an array"
	case '"':
		have = "a string"
	case '0':
		have = "the number " + v.Value.(hujson.Literal).String()
	case 't', 'f':
		have = v.Value.(hujson.Literal).String()
	}
	d.Addf(CodeWrongType, path, "must be %s, not %s", want, have)
	d.undecoded[path] = true
}

// fieldsOf returns the fields of a struct by JSON name, or nil if v is no struct.
func fieldsOf(v reflect.Value) map[string]reflect.Value {
	if v.Kind() != reflect.Struct {
		return nil
	}
	fields := map[string]reflect.Value{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}
