package document

import (
	"cmp"
	"iter"
	"math/bits"
	"slices"
	"strings"
)

// tableShards is the number of shards of a Table. With 650,000 entities a shard
// holds 160, and a change of one entity copies 9 KB and the shard list.
const tableShards = 4096

type entity interface{ id() string }

// Table holds entities by ID. It is immutable and a change copies only the
// shards that it touches, where a map would be copied as a whole. Its zero
// value is empty.
type Table[E entity] struct {
	// shards are sorted by hash and ID.
	shards [][]row[E]
	length int
}

type row[E entity] struct {
	hash   uint64
	entity E
}

// hash64 is FNV-1a with a final avalanche step, since the position within a
// shard is estimated from the upper bits and FNV alone mixes them poorly.
func hash64(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

// seek is an interpolation search: it returns the index of the first of n sorted
// hashes that is not below h. Hashes are distributed evenly, so that index is
// close to n*h/2^64. This takes fewer cache misses than a binary search.
func seek(n int, at func(int) uint64, h uint64) int {
	estimate, _ := bits.Mul64(h, uint64(n))
	i := int(estimate)
	for i > 0 && at(i-1) >= h {
		i--
	}
	for i < n && at(i) < h {
		i++
	}
	return i
}

func newTable[E entity](list []E) Table[E] {
	if len(list) == 0 {
		return Table[E]{}
	}
	t := Table[E]{shards: make([][]row[E], tableShards), length: len(list)}
	sizes := make([]int, tableShards)
	for _, e := range list {
		sizes[hash64(e.id())%tableShards]++
	}
	for _, e := range list {
		h := hash64(e.id())
		i := h % tableShards
		if t.shards[i] == nil {
			t.shards[i] = make([]row[E], 0, sizes[i])
		}
		t.shards[i] = append(t.shards[i], row[E]{h, e})
	}
	for _, shard := range t.shards {
		slices.SortFunc(shard, func(a, b row[E]) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(a.entity.id(), b.entity.id()))
		})
	}
	return t
}

// search returns the index of an ID, or where it belongs.
func search[E entity](shard []row[E], h uint64, id string) (int, bool) {
	i := seek(len(shard), func(i int) uint64 { return shard[i].hash }, h)
	for ; i < len(shard) && shard[i].hash == h; i++ {
		if order := strings.Compare(shard[i].entity.id(), id); order >= 0 {
			return i, order == 0
		}
	}
	return i, false
}

// Get returns the entity with an ID.
func (t Table[E]) Get(id string) (e E, ok bool) {
	if t.length == 0 {
		return e, false
	}
	h := hash64(id)
	shard := t.shards[h%tableShards]
	if i, ok := search(shard, h, id); ok {
		return shard[i].entity, true
	}
	return e, false
}

// Len returns the number of entities.
func (t Table[E]) Len() int { return t.length }

// All returns the entities in no particular order.
func (t Table[E]) All() iter.Seq[E] {
	return func(yield func(E) bool) {
		for _, shard := range t.shards {
			for _, r := range shard {
				if !yield(r.entity) {
					return
				}
			}
		}
	}
}

// apply returns the table without the deleted entities and with the added or
// replaced ones.
func (t Table[E]) apply(upserts []E, deletes []string) Table[E] {
	if len(upserts) == 0 && len(deletes) == 0 {
		return t
	}
	next := Table[E]{shards: make([][]row[E], tableShards), length: t.length}
	copy(next.shards, t.shards)
	copied := make(map[uint64]bool)
	shard := func(h uint64) *[]row[E] {
		i := h % tableShards
		if !copied[i] {
			next.shards[i] = slices.Clone(next.shards[i])
			copied[i] = true
		}
		return &next.shards[i]
	}
	for _, id := range deletes {
		h := hash64(id)
		s := shard(h)
		if i, ok := search(*s, h, id); ok {
			*s = slices.Delete(*s, i, i+1)
			next.length--
		}
	}
	for _, e := range upserts {
		h := hash64(e.id())
		s := shard(h)
		i, ok := search(*s, h, e.id())
		if ok {
			(*s)[i].entity = e
			continue
		}
		*s = slices.Insert(*s, i, row[E]{h, e})
		next.length++
	}
	return next
}
