package holders

import (
	"cmp"
	"slices"
)

// Rank returns the holders of an upstream in the order in which a team uses them: by rendezvous hashing, so that the
// loss of one moves its teams only.
func Rank(team string, holders []string) []string {
	ranked := slices.Clone(holders)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(team, b), score(team, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// score returns the weight of a node for a key. All nodes compute the same.
func score(key, node string) uint64 {
	h := uint64(fnvOffset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	// Separates the key from the name.
	h *= fnvPrime
	for i := range len(node) {
		h = (h ^ uint64(node[i])) * fnvPrime
	}
	return mix(h)
}

// mix spreads the last bytes that were hashed over all bits, which FNV does not.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
