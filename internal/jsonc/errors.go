// Package jsonc is a strict decoder for JSON with comments. It reports all errors
// of a document, each with its line and JSON path.
package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Code identifies the kind of an error in a document. Codes are stable.
type Code string

// The codes of errors in documents. They include the codes of the checks that other
// packages, such as servicetext and settings, make on a decoded document.
const (
	CodeSyntax            Code = "syntax"
	CodeTooLarge          Code = "too_large"
	CodeUnknownField      Code = "unknown_field"
	CodeDuplicate         Code = "duplicate" // a field, name or address occurs twice
	CodeWrongType         Code = "wrong_type"
	CodeBadDuration       Code = "bad_duration"
	CodeMissing           Code = "missing" // a required field or entry is absent
	CodeOutOfRange        Code = "out_of_range"
	CodeBadName           Code = "bad_name"  // not a valid name
	CodeBadValue          Code = "bad_value" // not one of the allowed values
	CodeBadAddress        Code = "bad_address"
	CodeUnknownTeam       Code = "unknown_team"
	CodeUnknownService    Code = "unknown_service"
	CodeUnknownDataCentre Code = "unknown_data_centre"
	CodeBadDependency     Code = "bad_dependency"
	CodeDependencyCycle   Code = "dependency_cycle"
	CodeNotApplicable     Code = "not_applicable" // the field does not apply in this context
	CodeNeverFits         Code = "never_fits"     // the demand exceeds every declared worker shape
	CodeOverQuota         Code = "over_quota"     // the demand exceeds the team's quota
)

// Error is one error in a document.
type Error struct {
	Code    Code   `json:"code"`
	Line    int    `json:"line"` // from 1
	Path    string `json:"path"` // for example $.services[3].deadline
	Message string `json:"message"`
}

func (e Error) Error() string {
	return fmt.Sprintf("line %d: %s: %s (%s)", e.Line, e.Path, e.Message, e.Code)
}

// Errors holds all errors of a document, sorted by line.
type Errors struct{ List []Error }

func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, one := range e.List {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual errors.
func (e *Errors) Unwrap() []error {
	errs := make([]error, len(e.List))
	for i, one := range e.List {
		errs[i] = one
	}
	return errs
}

// Has reports whether the list contains an error with the given code and path.
// Only tests use it.
func (e *Errors) Has(code Code, path string) bool {
	return slices.ContainsFunc(e.List, func(one Error) bool { return one.Code == code && one.Path == path })
}
