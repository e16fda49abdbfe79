// Package jsonc decodes JSON with comments strictly and reports every error
// with its line and JSON path.
package jsonc

import (
	"fmt"
	"slices"
	"strings"
)

// Code is the stable kind of an error in a document.
type Code string

// The codes of errors in documents.
const (
	CodeSyntax            Code = "syntax"
	CodeTooLarge          Code = "too_large"
	CodeUnknownField      Code = "unknown_field"
	CodeDuplicate         Code = "duplicate"
	CodeWrongType         Code = "wrong_type"
	CodeBadDuration       Code = "bad_duration"
	CodeMissing           Code = "missing"
	CodeOutOfRange        Code = "out_of_range"
	CodeBadName           Code = "bad_name"
	CodeBadValue          Code = "bad_value" // not one of the allowed values
	CodeBadAddress        Code = "bad_address"
	CodeUnknownTeam       Code = "unknown_team"
	CodeUnknownService    Code = "unknown_service"
	CodeUnknownDataCentre Code = "unknown_data_centre"
	CodeBadDependency     Code = "bad_dependency"
	CodeDependencyCycle   Code = "dependency_cycle"
	CodeNotApplicable     Code = "not_applicable" // the field has no meaning here
	CodeNeverFits         Code = "never_fits"     // no declared worker shape holds the demand
	CodeOverQuota         Code = "over_quota"     // the demand can't run within the team's quota
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

// Errors is every error found in a document, in the order of lines.
type Errors struct{ List []Error }

func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, one := range e.List {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the single errors.
func (e *Errors) Unwrap() []error {
	errs := make([]error, len(e.List))
	for i, one := range e.List {
		errs[i] = one
	}
	return errs
}

// Has reports whether an error with the given code and path is in the list.
func (e *Errors) Has(code Code, path string) bool {
	return slices.ContainsFunc(e.List, func(one Error) bool { return one.Code == code && one.Path == path })
}
