package document

import (
	"cmp"
	"slices"
)

// digestShards is the number of shards of a digestIndex. With 650,000 keys a
// shard holds 160, and a change of one key copies 4 KB and the shard list.
const digestShards = 4096

// digestIndex finds keys by digest. It is immutable; a change copies only the
// shards that it touches. It holds the key's ID instead of the Key, which keeps
// it at 24 bytes a key.
type digestIndex [][]digestEntry

type digestEntry struct {
	hash uint64
	id   string
}

// digestHash is the hash of the first 16 characters of a hexadecimal digest;
// 64 bits of SHA-256 are enough to tell keys apart.
func digestHash(digest string) uint64 { return hash64(digest[:min(len(digest), 16)]) }

func newDigestIndex(keys []Key) digestIndex {
	x := make(digestIndex, digestShards)
	sizes := make([]int, digestShards)
	for _, k := range keys {
		sizes[digestHash(k.SHA256)%digestShards]++
	}
	for _, k := range keys {
		h := digestHash(k.SHA256)
		i := h % digestShards
		if x[i] == nil {
			x[i] = make([]digestEntry, 0, sizes[i])
		}
		x[i] = append(x[i], digestEntry{h, k.ID})
	}
	for _, shard := range x {
		slices.SortFunc(shard, compareEntries)
	}
	return x
}

func compareEntries(a, b digestEntry) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
}

// find returns the entries whose hash is that of the digest.
func (x digestIndex) find(digest string) []digestEntry {
	if len(x) == 0 {
		return nil
	}
	h := digestHash(digest)
	shard := x[h%digestShards]
	from := seek(len(shard), func(i int) uint64 { return shard[i].hash }, h)
	to := from
	for to < len(shard) && shard[to].hash == h {
		to++
	}
	return shard[from:to]
}

// apply returns an index without the removed keys and with the added ones.
func (x digestIndex) apply(removed, added []Key) digestIndex {
	if len(removed) == 0 && len(added) == 0 {
		return x
	}
	next := make(digestIndex, digestShards)
	copy(next, x)
	copied := make(map[uint64]bool)
	shard := func(h uint64) *[]digestEntry {
		i := h % digestShards
		if !copied[i] {
			next[i] = slices.Clone(next[i])
			copied[i] = true
		}
		return &next[i]
	}
	for _, k := range removed {
		h := digestHash(k.SHA256)
		s := shard(h)
		if i, ok := slices.BinarySearchFunc(*s, digestEntry{h, k.ID}, compareEntries); ok {
			*s = slices.Delete(*s, i, i+1)
		}
	}
	for _, k := range added {
		h := digestHash(k.SHA256)
		s := shard(h)
		if i, ok := slices.BinarySearchFunc(*s, digestEntry{h, k.ID}, compareEntries); !ok {
			*s = slices.Insert(*s, i, digestEntry{h, k.ID})
		}
	}
	return next
}
