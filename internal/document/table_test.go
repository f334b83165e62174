package document

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against an interpolation search that misses an entry, also among equal
// or unevenly distributed hashes.
func TestSeekFindsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hash := rapid.OneOf(rapid.Uint64(), rapid.Uint64Range(0, 5), rapid.Just(^uint64(0)))
		list := rapid.SliceOf(hash).Draw(t, "hashes")
		slices.Sort(list)
		h := hash.Draw(t, "h")
		want, _ := slices.BinarySearch(list, h)
		if got := seek(len(list), func(i int) uint64 { return list[i] }, h); got != want {
			t.Fatalf("got %d, want %d", got, want)
		}
	})
}

// Guards against a table that loses entities once shards hold several, and
// against a change that reaches the table before it.
func TestTableAgreesWithMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 20_000).Draw(t, "n")
		var list []Key
		want := make(map[string]Key)
		for i := range n {
			k := Key{ID: fmt.Sprintf("key-%d", i), Team: "a"}
			list, want[k.ID] = append(list, k), k
		}
		table, before := newTable(list), maps.Clone(want)
		var upserts []Key
		var deletes []string
		for i := range rapid.IntRange(0, 50).Draw(t, "changes") {
			id := fmt.Sprintf("key-%d", rapid.IntRange(0, n+10).Draw(t, "id"))
			if i%2 == 0 {
				deletes = append(deletes, id)
				delete(want, id)
			}
		}
		for i := range rapid.IntRange(0, 50).Draw(t, "upserts") {
			k := Key{ID: fmt.Sprintf("key-%d", rapid.IntRange(0, n+10).Draw(t, "id")), Team: fmt.Sprint(i)}
			upserts = append(upserts, k)
			want[k.ID] = k
		}
		next := table.apply(upserts, deletes)
		for _, c := range []struct {
			table Table[Key]
			want  map[string]Key
		}{{table, before}, {next, want}} {
			if got := len(slices.Collect(c.table.All())); c.table.Len() != len(c.want) || got != len(c.want) {
				t.Fatalf("length %d, %d entities, want %d", c.table.Len(), got, len(c.want))
			}
			for id, k := range c.want {
				if got, ok := c.table.Get(id); !ok || got != k {
					t.Fatalf("%s: got %v %v, want %v", id, got, ok, k)
				}
			}
			if _, ok := c.table.Get("absent"); ok {
				t.Fatalf("found an absent key")
			}
		}
	})
}
