// Package listing holds what was read of a list that another system keeps. Such a system
// may return a list in parts, so that an entry that was not read may still be in it.
package listing

// List is what one reader knows of a list: all of it, or a part. The zero value is a part
// without entries.
type List[T any] struct {
	entries []T
	whole   bool
}

// Whole returns a list that has no further entries.
func Whole[T any](entries ...T) List[T] { return List[T]{entries, true} }

// Part returns a list that may have further entries.
func Part[T any](entries ...T) List[T] { return List[T]{entries, false} }

// Page returns a list of which at most limit entries are returned at a time. One with that
// many may have further entries.
func Page[T any](entries []T, limit int) List[T] { return List[T]{entries, len(entries) < limit} }

// Entries returns the entries that were read.
func (l List[T]) Entries() []T { return l.entries }

// IsWhole reports whether an entry that was not read is not in the list.
func (l List[T]) IsWhole() bool { return l.whole }
