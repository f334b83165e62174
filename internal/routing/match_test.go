package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"trefoilstream.example/trefoilstream/internal/document"
)

// matchByScan implements the rule of Matcher.Match as a scan of all routes.
func matchByScan(routes []document.Route, method, path string) string {
	best, bestRank := "", -1
	for _, r := range routes {
		rank := -1
		if prefix, ok := strings.CutSuffix(r.Path, "*"); ok && strings.HasSuffix(prefix, "/") {
			if strings.HasPrefix(path, prefix) {
				rank = len(prefix)
			}
		} else if r.Path == path {
			rank = 1 << 30
		}
		if rank < 0 || !slices.Contains(r.Methods, method) {
			continue
		}
		if rank > bestRank || rank == bestRank && r.ID < best {
			best, bestRank = r.ID, rank
		}
	}
	return best
}

func drawRoutes(t *rapid.T, label string) []document.Route {
	path := rapid.StringMatching(`(/[ab]{0,2}){1,4}(/\*)?`)
	method := rapid.SampledFrom([]string{"GET", "POST", "DELETE", "BREW", "PROPFIND"})
	n := rapid.IntRange(0, 30).Draw(t, label)
	var routes []document.Route
	for i := range n {
		routes = append(routes, document.Route{
			ID:      fmt.Sprintf("%s%02d", label, i),
			Path:    path.Draw(t, "path"),
			Methods: rapid.SliceOfN(method, 1, 3).Draw(t, "methods"),
		})
	}
	return routes
}

// Guards against matching a route other than the longest match, and against a
// configuration change that keeps a removed route or loses an unchanged one.
func TestMatchEqualsScanAcrossChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routes := drawRoutes(t, "r")
		m := NewMatcher(slices.Clone(routes))
		for step := range 3 {
			add := drawRoutes(t, fmt.Sprintf("s%d", step))
			cut := rapid.IntRange(0, len(routes)).Draw(t, "cut")
			before := m
			m = m.With(add, routes[:cut])
			for range 20 {
				path := rapid.StringMatching(`(/[ab]{0,2}){1,6}`).Draw(t, "request")
				method := rapid.SampledFrom([]string{"GET", "POST", "BREW"}).Draw(t, "method")
				if got, want := id(before.Match(method, path)), matchByScan(routes, method, path); got != want {
					t.Fatalf("before the change %s %s: got %q, want %q", method, path, got, want)
				}
				next := append(slices.Clone(routes[cut:]), add...)
				if got, want := id(m.Match(method, path)), matchByScan(next, method, path); got != want {
					t.Fatalf("%s %s: got %q, want %q", method, path, got, want)
				}
			}
			routes = append(slices.Clone(routes[cut:]), add...)
			if m.Len() != len(routes) {
				t.Fatalf("length %d, want %d", m.Len(), len(routes))
			}
		}
	})
}

func id(r *document.Route, ok bool) string {
	if !ok {
		return ""
	}
	return r.ID
}

// Guards against missing a prefix of more than 32 segments, for which Match no
// longer has a hash from its single pass.
func TestMatchDeepPrefix(t *testing.T) {
	deep := strings.Repeat("/x", 40)
	routes := []document.Route{
		{ID: "top", Path: "/*", Methods: []string{"GET"}},
		{ID: "deep", Path: deep + "/*", Methods: []string{"GET"}},
	}
	m := NewMatcher(routes)
	if got := id(m.Match("GET", deep+"/y")); got != "deep" {
		t.Errorf("got %q, want deep", got)
	}
	if got := id(m.Match("GET", deep+"y/y")); got != "top" {
		t.Errorf("got %q, want top", got)
	}
}

// Guards against paths that a backend server may interpret as a path other than
// the matched one, which would give access to a route of another team.
func TestCleanPath(t *testing.T) {
	for _, c := range []struct {
		in, want string
		err      error
	}{
		{"/a/b", "/a/b", nil},
		{"/a/", "/a/", nil},
		{"/", "/", nil},
		{"/caf%C3%A9", "/café", nil},
		{"/100%25", "/100%", nil},
		{"/a;v=1/b", "/a;v=1/b", nil},
		{"/a/...", "/a/...", nil},
		{"", "", ErrPathSyntax},
		{"*", "", ErrPathSyntax},
		{"/a%zz", "", ErrPathSyntax},
		{"/a%00", "", ErrPathSyntax},
		{"/a%0d%0aHost:b", "", ErrPathSyntax},
		{"/open/../private", "", ErrPathAmbiguous},
		{"/open/%2e%2e/private", "", ErrPathAmbiguous},
		{"/open/%2E./private", "", ErrPathAmbiguous},
		{"/open/..;/private", "", ErrPathAmbiguous},
		{"/open/%252e%252e/private", "", ErrPathAmbiguous},
		{"/open/..%2fprivate", "", ErrPathAmbiguous},
		{"/open%2Fprivate", "", ErrPathAmbiguous},
		{"/open/..%5cprivate", "", ErrPathAmbiguous},
		{"/open//private", "", ErrPathAmbiguous},
		{"//private", "", ErrPathAmbiguous},
		{"/a/.", "", ErrPathAmbiguous},
		{"/a/..", "", ErrPathAmbiguous},
		{"/" + strings.Repeat("a", MaxPathBytes), "", ErrPathLength},
	} {
		got, err := CleanPath(c.in)
		if got != c.want || err != c.err {
			t.Errorf("CleanPath(%.40q) = %q, %v; want %q, %v", c.in, got, err, c.want, c.err)
		}
	}
}

const targetRoutes = 270_000

func targetSize() []document.Route {
	routes := make([]document.Route, targetRoutes)
	for i := range routes {
		path := fmt.Sprintf("/team-%d/svc-%d/v1/item-%d", i%6500, i%60, i)
		if i%2 == 0 {
			path += "/*"
		}
		routes[i] = document.Route{ID: fmt.Sprintf("route-%06d", i), Path: path, Methods: []string{"GET", "POST"}}
	}
	return routes
}

func heapInUse() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

func BenchmarkMatch(b *testing.B) {
	routes := targetSize()
	before := heapInUse()
	m := NewMatcher(routes)
	heap := float64(heapInUse()-before) / (1 << 20)
	rng := rand.New(rand.NewPCG(1, 2))
	paths := make([]string, 1<<14)
	for i := range paths {
		paths[i] = strings.TrimSuffix(routes[rng.IntN(len(routes))].Path, "*")
	}
	run := func(name string, path func(i int) string, found bool) {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if _, ok := m.Match("GET", path(i)); ok != found {
					b.Fatal(path(i))
				}
				i++
			}
			b.ReportMetric(heap, "index-MiB")
		})
	}
	run("hit", func(i int) string { return paths[i%len(paths)] }, true)
	run("miss", func(int) string { return "/no/such/route/at/all" }, false)
	hostile := strings.Repeat("/a", MaxPathBytes/2)
	run("hostile", func(int) string { return hostile }, false)
	runtime.KeepAlive(m)
}

func BenchmarkNewMatcher(b *testing.B) {
	routes := targetSize()
	b.ReportAllocs()
	for b.Loop() {
		NewMatcher(routes)
	}
}

func BenchmarkWithOneChange(b *testing.B) {
	routes := targetSize()
	m := NewMatcher(routes)
	b.ReportAllocs()
	for b.Loop() {
		m = m.With(routes[7:8], routes[7:8])
	}
}
