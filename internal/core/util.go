package core

import (
	"cmp"
	"slices"
)

// sortedKeys returns the keys of a map in ascending order, so that effects do not
// depend on the order of map iteration.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	ks := make([]K, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.Sort(ks)
	return ks
}

func contains[T comparable](s []T, v T) bool { return slices.Contains(s, v) }
