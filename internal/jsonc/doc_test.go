package jsonc

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

type sample struct {
	Name  string               `json:"name"`
	Wait  time.Duration        `json:"wait"`
	Count int                  `json:"count"`
	Share float64              `json:"share"`
	On    bool                 `json:"on"`
	Inner *struct{ A []int64 } `json:"inner"`
	List  []sample             `json:"list"`
	By    map[string][]string  `json:"by"`
}

// Guards against errors that are lost, reported twice or reported with a wrong
// line or path.
func TestDecodeErrors(t *testing.T) {
	for _, tc := range []struct {
		name, doc string
		code      Code
		line      int
		path      string
	}{
		{"syntax", "{\n\"name\": }", CodeSyntax, 2, "$"},
		{"truncated", "{\n\"name\": \"x\"", CodeSyntax, 2, "$"},
		{"trailing value", "{} {}", CodeSyntax, 1, "$"},
		{"invalid utf-8", "{\n\n\"name\": \"\xff\"}", CodeSyntax, 3, "$"},
		{"too deep", strings.Repeat("[", 1<<18), CodeSyntax, 1, "$"},
		{"too large", "{/*" + strings.Repeat(" ", 1<<20) + "*/}", CodeTooLarge, 1, "$"},
		{"root is not an object", "[]", CodeWrongType, 1, "$"},
		{"unknown field", "{\n\"nam\": 1}", CodeUnknownField, 2, "$.nam"},
		{"field in another case", "{\"Name\": \"x\"}", CodeUnknownField, 1, "$.Name"},
		{"nested unknown field", "{\"list\": [{},\n{\"x\": 1}]}", CodeUnknownField, 2, "$.list[1].x"},
		{"duplicate", "{\"count\": 1,\n\"count\": 2}", CodeDuplicate, 2, "$.count"},
		{"duplicate map key", "{\"by\": {\"a-b\": [],\n\"a-b\": []}}", CodeDuplicate, 2, `$.by["a-b"]`},
		{"null", "{\"name\": null}", CodeWrongType, 1, "$.name"},
		{"fraction", "{\"count\": 1.5}", CodeWrongType, 1, "$.count"},
		{"overflow", "{\"count\": 99999999999999999999}", CodeWrongType, 1, "$.count"},
		{"float overflow", "{\"share\": 1e999}", CodeWrongType, 1, "$.share"},
		{"duration without unit", "{\"wait\": 30}", CodeWrongType, 1, "$.wait"},
		{"duration with unknown unit", "{\"wait\": \"30 parsecs\"}", CodeBadDuration, 1, "$.wait"},
		{"array for object", "{\"inner\": []}", CodeWrongType, 1, "$.inner"},
		{"object for array", "{\"list\": {}}", CodeWrongType, 1, "$.list"},
		{"string for bool", "{\"on\": \"true\"}", CodeWrongType, 1, "$.on"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var v sample
			err := Decode([]byte(tc.doc), 1<<20, &v).Err()
			var errs *Errors
			is.True(errors.As(err, &errs))
			is.Equal(len(errs.List), 1)
			got := errs.List[0]
			is.Equal(got.Code, tc.code)
			is.Equal(got.Line, tc.line)
			is.Equal(got.Path, tc.path)
		})
	}
}

// Guards against counting brackets in strings and comments as nesting, and
// against losing values of a valid document.
func TestDecode(t *testing.T) {
	is := is.New(t)
	brackets := strings.Repeat("[{", maxDepth)
	var v sample
	d := Decode([]byte("{ // "+brackets+"\n/* "+brackets+" */ \"name\": \"\\\""+brackets+"\",\n"+
		`"wait": "1m30s", "count": -3, "share": 0.5, "on": true, "by": {"tartu": ["a"],}, "list": [{"count": 2}]}`), 1<<20, &v)
	is.NoErr(d.Err())
	is.Equal(v.Name, `"`+brackets)
	is.Equal(v.Wait, 90*time.Second)
	is.Equal(v.Count, -3)
	is.Equal(v.Share, 0.5)
	is.True(v.On)
	is.Equal(v.By["tartu"], []string{"a"})
	is.Equal(v.List[0].Count, 2)
	is.True(d.Has("$.list[0].count"))
	is.True(!d.Has("$.list[0].name"))
}

// Guards against a second error about a value that could not be decoded, and
// against an error about an absent value without the line of its parent.
func TestAddf(t *testing.T) {
	is := is.New(t)
	var v sample
	d := Decode([]byte("{\"inner\": 3,\n\"list\": [\n{}]}"), 1<<20, &v)
	d.Addf(CodeOutOfRange, "$.inner.a[2]", "must be above 0")
	d.Require("$.list[0].name")
	d.Require("$.name")
	var errs *Errors
	is.True(errors.As(d.Err(), &errs))
	is.Equal(len(errs.List), 3)
	is.True(errs.Has(CodeWrongType, "$.inner"))
	is.True(errs.Has(CodeMissing, "$.name"))
	is.Equal(errs.List[2], Error{CodeMissing, 3, "$.list[0].name", "is required"})
}
