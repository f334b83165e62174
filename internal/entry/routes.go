package entry

import (
	"sync"
	"sync/atomic"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/routing"
)

// maxSyncIndexRoutes is the number of routes up to which a changed configuration
// is indexed by the request that notices it, which takes about 1 ms. Larger ones
// are indexed in the background, while requests use the index of the last
// revision.
const maxSyncIndexRoutes = 5_000

// routeTable matches requests against the routes of the configuration.
type routeTable struct {
	current  atomic.Pointer[routeIndex]
	mu       sync.Mutex
	indexing bool
}

type routeIndex struct {
	config  *document.Snapshot
	matcher *routing.Matcher
}

// match returns the route of a request according to cfg.
func (t *routeTable) match(cfg *document.Snapshot, method, path string) (document.Route, bool) {
	index := t.current.Load()
	if index == nil || index.config != cfg {
		index = t.indexFor(cfg)
	}
	found, ok := index.matcher.Match(method, path)
	if !ok {
		return document.Route{}, false
	}
	// The index may be of an older revision: a route that was removed or
	// changed since must not be used in its old form.
	route, ok := cfg.Routes[found.ID]
	return route, ok && route.Path == found.Path
}

// indexFor returns an index for cfg, or the previous one while a large new one
// is being built.
func (t *routeTable) indexFor(cfg *document.Snapshot) *routeIndex {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.current.Load()
	if last != nil && (last.config == cfg || last.config.Revision > cfg.Revision) {
		return last
	}
	if last == nil || len(cfg.Routes) <= maxSyncIndexRoutes {
		next := nextIndex(last, cfg)
		t.current.Store(next)
		return next
	}
	if !t.indexing {
		t.indexing = true
		go func() {
			next := nextIndex(last, cfg)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.current.Store(next)
			t.indexing = false
		}()
	}
	return last
}

// nextIndex builds the index for cfg, incrementally from the last index if there
// is one.
func nextIndex(last *routeIndex, cfg *document.Snapshot) *routeIndex {
	if last == nil {
		routes := make([]document.Route, 0, len(cfg.Routes))
		for _, r := range cfg.Routes {
			routes = append(routes, r)
		}
		return &routeIndex{config: cfg, matcher: routing.NewMatcher(routes)}
	}
	var add, remove []document.Route
	for id, old := range last.config.Routes {
		if updated, ok := cfg.Routes[id]; !ok || !sameMatch(updated, old) {
			remove = append(remove, old)
		}
	}
	for id, updated := range cfg.Routes {
		if old, ok := last.config.Routes[id]; !ok || !sameMatch(updated, old) {
			add = append(add, updated)
		}
	}
	return &routeIndex{config: cfg, matcher: last.matcher.With(add, remove)}
}

// sameMatch reports whether both versions of a route match the same requests.
func sameMatch(a, b document.Route) bool {
	if a.Path != b.Path || len(a.Methods) != len(b.Methods) {
		return false
	}
	for i := range a.Methods {
		if a.Methods[i] != b.Methods[i] {
			return false
		}
	}
	return true
}
