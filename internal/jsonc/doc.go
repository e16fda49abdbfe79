package jsonc

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// maxDepth bounds the nesting of a document. The parser is recursive, so without
// a limit a long run of opening brackets would exhaust the stack.
const maxDepth = 32

// Doc is a decoded document. It collects the errors of decoding and of later
// validation.
type Doc struct {
	lines     map[string]int  // path -> line
	undecoded map[string]bool // paths whose value could not be decoded
	newlines  []int           // offsets of newlines
	broken    bool
	errs      []Error
}

// Decode parses a document of at most maxBytes into v, a pointer to a struct.
// Field names must match the json tags, including case. A time.Duration is
// encoded as a string such as "30s". Values that can't be decoded are left zero
// and reported by Err.
func Decode(data []byte, maxBytes int, v any) *Doc {
	d := &Doc{lines: map[string]int{"$": 1}, undecoded: map[string]bool{}}
	for i, c := range data {
		if c == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	if len(data) > maxBytes {
		return d.reject(CodeTooLarge, 1, "document has %d bytes, allowed are %d", len(data), maxBytes)
	}
	if at := invalidUTF8Offset(data); at >= 0 {
		return d.reject(CodeSyntax, d.lineAt(at), "text is not valid UTF-8")
	}
	if at := tooDeepOffset(data); at >= 0 {
		return d.reject(CodeSyntax, d.lineAt(at), "values are nested more than %d deep", maxDepth)
	}
	root, err := hujson.Parse(data)
	if err != nil {
		line, message := syntaxError(err)
		return d.reject(CodeSyntax, line, "%s", message)
	}
	d.decode(root, v)
	return d
}

// Broken reports whether the document could not be parsed at all. Its values must
// then not be validated.
func (d *Doc) Broken() bool { return d.broken }

// Has reports whether the document has a value at path.
func (d *Doc) Has(path string) bool { return d.lines[path] > 0 }

// Len returns the number of errors collected so far.
func (d *Doc) Len() int { return len(d.errs) }

// Err returns an *Errors with all errors collected so far, or nil if there are
// none.
func (d *Doc) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	list := slices.Clone(d.errs)
	slices.SortStableFunc(list, func(a, b Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Path, b.Path))
	})
	return &Errors{List: list}
}

// Addf adds an error about the value at path. The error is dropped if that value
// or an enclosing one could not be decoded, because this is already reported.
func (d *Doc) Addf(code Code, path, format string, args ...any) {
	line := 0
	for p := path; p != ""; p = parent(p) {
		if d.undecoded[p] {
			return
		}
		if line == 0 {
			line = d.lines[p]
		}
	}
	d.errs = append(d.errs, Error{Code: code, Line: max(line, 1), Path: path, Message: fmt.Sprintf(format, args...)})
}

// Require reports whether the document has a value at path, and adds an error if
// not.
func (d *Doc) Require(path string) bool {
	if d.Has(path) {
		return true
	}
	d.Addf(CodeMissing, path, "is required")
	return false
}

func (d *Doc) reject(code Code, line int, format string, args ...any) *Doc {
	d.broken = true
	d.errs = append(d.errs, Error{Code: code, Line: line, Path: "$", Message: fmt.Sprintf(format, args...)})
	return d
}

func (d *Doc) lineAt(offset int) int {
	n, _ := slices.BinarySearch(d.newlines, offset)
	return n + 1
}

// parent returns the path of the enclosing value, or an empty string for the
// root. If the last name is quoted and contains a dot or bracket, the result is
// only a prefix of path.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

// invalidUTF8Offset returns the offset of the first byte that is not valid UTF-8,
// or -1.
func invalidUTF8Offset(data []byte) int {
	for i := 0; i < len(data); {
		r, n := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && n == 1 {
			return i
		}
		i += n
	}
	return -1
}

// tooDeepOffset returns the offset at which the nesting exceeds maxDepth, or -1.
func tooDeepOffset(data []byte) int {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			for i++; i < len(data) && data[i] != '"'; i++ {
				if data[i] == '\\' {
					i++
				}
			}
		case '/':
			i += commentLength(data[i:])
		case '[', '{':
			if depth++; depth > maxDepth {
				return i
			}
		case ']', '}':
			depth--
		}
	}
	return -1
}

// commentLength returns the length of the comment at the start of data without
// its first byte, or 0 if data does not start with a comment.
func commentLength(data []byte) int {
	end := ""
	switch {
	case bytes.HasPrefix(data, []byte("//")):
		end = "\n"
	case bytes.HasPrefix(data, []byte("/*")):
		end = "*/"
	default:
		return 0
	}
	n := bytes.Index(data[2:], []byte(end))
	if n < 0 {
		return len(data)
	}
	return n + 1 + len(end)
}

// syntaxError returns the line and reason of a parser error, which has the form
// "hujson: line 3, column 5: reason".
func syntaxError(err error) (line int, message string) {
	message = strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(message, "line %d,", &line); n != 1 {
		return 1, message
	}
	if _, rest, found := strings.Cut(message, ", "); found {
		message = rest
	}
	return line, message
}
