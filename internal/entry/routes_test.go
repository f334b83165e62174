package entry

import (
	"fmt"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
)

// Guards against a large configuration whose index is never updated, and against
// a removed route that is still used while the new index is being built.
func TestLargeRouteTableFollows(t *testing.T) {
	d := &document.Document{}
	for i := range maxSyncIndexRoutes + 1 {
		d.Routes = append(d.Routes, document.Route{ID: fmt.Sprint("r", i), Methods: []string{"GET"}, Path: fmt.Sprintf("/%d", i)})
	}
	var table routeTable
	first := document.NewSnapshot(1, d)
	if r, ok := table.match(first, "GET", "/7"); !ok || r.ID != "r7" {
		t.Fatalf("%v %v", r, ok)
	}
	next := *d
	next.Routes = append([]document.Route(nil), d.Routes[1:]...)
	next.Routes[6].Path = "/moved"
	second := document.NewSnapshot(2, &next)
	for _, path := range []string{"/0", "/7"} {
		if r, ok := table.match(second, "GET", path); ok {
			t.Errorf("%s still matches %s", path, r.ID)
		}
	}
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if r, ok := table.match(second, "GET", "/moved"); ok && r.ID == "r7" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the index was not updated")
		}
	}
}
