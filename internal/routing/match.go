// Package routing decides, for one request at its entry instance (the instance
// that received it from the caller), which route matches, which backend server
// gets the next attempt, and whether a failed attempt is retried. It does no I/O
// and reads no clock.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"trefoilstream.example/trefoilstream/internal/document"
)

// shardCount bounds the cost of a configuration change: With copies the array of
// shards (24 KiB) and each changed shard (about 264 entries at 270,000 routes).
// It is a power of two.
const shardCount = 1024

// prefixWildcard at the end of a route's path makes it a prefix.
const prefixWildcard = "/*"

// entry is one route in a shard. Shards are sorted by hash, then by route ID.
type entry struct {
	hash    uint64
	route   *document.Route
	methods methodSet
	prefix  bool
}

type shard []entry

// Matcher finds the route of a request. It is immutable and safe for
// concurrent use. The zero value matches nothing.
type Matcher struct {
	shards *[shardCount]shard
	size   int
	// longestPath is the length in bytes of the longest path or prefix ever
	// added. Longer prefixes of a request's path are not looked up, which
	// bounds the work for a malicious path.
	longestPath int
}

// NewMatcher returns a matcher of the routes. It keeps pointers to the
// elements of the slice, which must not change afterwards.
func NewMatcher(routes []document.Route) *Matcher {
	m := &Matcher{shards: new([shardCount]shard)}
	var counts [shardCount]int
	for i := range routes {
		counts[shardOf(pathKey(routes[i].Path).hash)]++
	}
	for i, n := range counts {
		m.shards[i] = make(shard, 0, n)
	}
	for i := range routes {
		e := newEntry(&routes[i])
		s := &m.shards[shardOf(e.hash)]
		*s = append(*s, e)
		m.longestPath = max(m.longestPath, len(routes[i].Path))
	}
	for _, s := range m.shards {
		slices.SortFunc(s, compareEntries)
	}
	m.size = len(routes)
	return m
}

// With returns a copy of the matcher without the routes in remove and with those
// in add. A changed route is passed in both, with its old path in remove. Routes
// to remove that the matcher doesn't hold are ignored.
func (m *Matcher) With(add, remove []document.Route) *Matcher {
	next := &Matcher{shards: new([shardCount]shard), size: m.size, longestPath: m.longestPath}
	if m.shards != nil {
		*next.shards = *m.shards
	}
	for i := range remove {
		s := &next.shards[shardOf(pathKey(remove[i].Path).hash)]
		kept := make(shard, 0, len(*s))
		for _, e := range *s {
			if e.route.ID != remove[i].ID {
				kept = append(kept, e)
			}
		}
		next.size -= len(*s) - len(kept)
		*s = kept
	}
	for i := range add {
		route := add[i]
		e := newEntry(&route)
		s := &next.shards[shardOf(e.hash)]
		at, _ := slices.BinarySearchFunc(*s, e, compareEntries)
		grown := make(shard, 0, len(*s)+1)
		grown = append(append(append(grown, (*s)[:at]...), e), (*s)[at:]...)
		*s = grown
		next.size++
		next.longestPath = max(next.longestPath, len(route.Path))
	}
	return next
}

// Len returns the number of routes.
func (m *Matcher) Len() int { return m.size }

// Match returns the route of a request: an exact path before any prefix, and
// a longer prefix before a shorter one, among the routes that allow the
// method. The prefix "/a/*" matches "/a/" and everything below it, not "/a".
// Path is the decoded path as CleanPath returns it. The route must not be
// modified. Of two routes with the same path and method, the one with the
// lower ID wins.
func (m *Matcher) Match(method, path string) (*document.Route, bool) {
	if m.shards == nil || path == "" || path[0] != '/' {
		return nil, false
	}
	bit := methodBit(method)
	// The first maxTracked prefixes are looked up with hashes from a single
	// pass over the path; longer prefixes are hashed again.
	const maxTracked = 32
	var ends [maxTracked]int
	var hashes [maxTracked]uint64
	depth := 0
	h := uint64(fnvOffset)
	limit := min(len(path), m.longestPath)
	for i := 0; i < limit; i++ {
		h = (h ^ uint64(path[i])) * fnvPrime
		if path[i] == '/' && depth < maxTracked {
			ends[depth], hashes[depth] = i+1, h
			depth++
		}
	}
	if len(path) <= m.longestPath {
		if r := m.find(key{text: path, hash: mix(h, false)}, method, bit); r != nil {
			return r, true
		}
	}
	if depth == maxTracked {
		if r := m.findDeep(path[:limit], ends[depth-1], method, bit); r != nil {
			return r, true
		}
	}
	for i := depth - 1; i >= 0; i-- {
		k := key{text: path[:ends[i]], hash: mix(hashes[i], true), prefix: true}
		if r := m.find(k, method, bit); r != nil {
			return r, true
		}
	}
	return nil, false
}

// findDeep looks up the prefixes of path that are longer than above bytes,
// longest first.
func (m *Matcher) findDeep(path string, above int, method string, bit methodSet) *document.Route {
	for end := strings.LastIndexByte(path, '/') + 1; end > above; end = strings.LastIndexByte(path[:end-1], '/') + 1 {
		k := key{text: path[:end], hash: mix(hash(path[:end]), true), prefix: true}
		if r := m.find(k, method, bit); r != nil {
			return r
		}
	}
	return nil
}

// find returns the route with exactly this path or prefix.
func (m *Matcher) find(k key, method string, bit methodSet) *document.Route {
	s := m.shards[shardOf(k.hash)]
	lo, hi := 0, len(s)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if s[mid].hash < k.hash {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	for ; lo < len(s) && s[lo].hash == k.hash; lo++ {
		e := &s[lo]
		if e.prefix == k.prefix && e.methods.allows(e.route, method, bit) && e.text() == k.text {
			return e.route
		}
	}
	return nil
}

// text returns the exact path, or the prefix with its trailing slash.
func (e *entry) text() string {
	if e.prefix {
		return e.route.Path[:len(e.route.Path)-1]
	}
	return e.route.Path
}

func newEntry(r *document.Route) entry {
	k := pathKey(r.Path)
	return entry{hash: k.hash, route: r, methods: methodsOf(r), prefix: k.prefix}
}

func compareEntries(a, b entry) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.route.ID, b.route.ID)
}

// key identifies an exact path or a prefix. The text of a prefix ends in "/".
type key struct {
	text   string
	hash   uint64
	prefix bool
}

func pathKey(path string) key {
	k := key{text: path}
	if strings.HasSuffix(path, prefixWildcard) {
		k.text, k.prefix = path[:len(path)-1], true
	}
	k.hash = mix(hash(k.text), k.prefix)
	return k
}

// Parameters of 64-bit FNV-1a.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

func hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * fnvPrime
	}
	return h
}

// mix finalizes a hash so that a prefix and an exact path with the same text
// hash differently.
func mix(h uint64, prefix bool) uint64 {
	if prefix {
		h = (h ^ '*') * fnvPrime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

func shardOf(h uint64) int { return int(h % shardCount) }
