// Package delta computes and applies the differences between two lists of entries with unique keys.
// With them, the leader sends hundreds of nodes what has changed and not everything it knows.
package delta

import "google.golang.org/protobuf/proto"

// Diff returns the entries of to that are missing from or different in from, and the
// keys that occur in from only.
func Diff[T proto.Message](from, to []T, key func(T) string) (changed []T, removed []string) {
	unmatched := make(map[string]T, len(from))
	for _, entry := range from {
		unmatched[key(entry)] = entry
	}
	for _, entry := range to {
		if old, ok := unmatched[key(entry)]; !ok || !proto.Equal(old, entry) {
			changed = append(changed, entry)
		}
		delete(unmatched, key(entry))
	}
	for k := range unmatched {
		removed = append(removed, k)
	}
	return changed, removed
}

// Merge returns the entries of base without those whose keys are in changed or removed,
// followed by the changed entries.
func Merge[T any](base, changed []T, removed []string, key func(T) string) []T {
	superseded := make(map[string]bool, len(changed)+len(removed))
	for _, entry := range changed {
		superseded[key(entry)] = true
	}
	for _, k := range removed {
		superseded[k] = true
	}
	all := make([]T, 0, len(base)+len(changed))
	for _, entry := range base {
		if !superseded[key(entry)] {
			all = append(all, entry)
		}
	}
	return append(all, changed...)
}
