// Package rendezvous implements weighted rendezvous hashing: it ranks instances for
// a key so that all instances agree, and a membership change moves few keys.
package rendezvous

import (
	"hash/fnv"
	"math"
)

// Hash returns a hash of the parts in order. Its bits are mixed by a finalizer,
// since FNV alone maps similar inputs to similar hashes.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// WeightedScore returns the score of an instance for a key: the instance with the
// highest score owns the key, so each one owns a share of the keys in proportion to
// its weight.
func WeightedScore(instance, key string, weight float64) float64 {
	u := (float64(Hash(instance, key)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
