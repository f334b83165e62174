package catalog

import (
	"math"
	"math/rand/v2"
	"testing"
)

func testIndex() *Index {
	three := 3
	return NewIndex(&Config{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "a", Prefix: "/x/"},
			{Name: "long", Host: "a", Prefix: "/x/y/", Priority: 2},
			{Name: "other", Host: "b", Prefix: "/x/"},
		},
		Teams: []Team{{Name: "t", Keys: []string{"k1", "k2"}, Priority: &three}, {Name: "u", Keys: []string{"k3"}}},
	})
}

// Guards against matching a route with a shorter prefix or of another host.
func TestLongestPrefixOfTheHost(t *testing.T) {
	x := testIndex()
	for _, c := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"}, {"a", "/x/y/1", "long"}, {"a", "/x/y", "short"}, {"A:8080", "/x/1", "short"},
		{"b", "/x/y/1", "other"}, {"a", "/y/", ""}, {"c", "/x/1", ""}, {"", "", ""},
	} {
		got := ""
		if r := x.Route(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against resolving a key to another team, and against ignoring the
// team's priority.
func TestKeysAndPriorities(t *testing.T) {
	x := testIndex()
	if x.TeamOfKey("k2").Name != "t" || x.TeamOfKey("k3").Name != "u" || x.TeamOfKey("") != nil || x.TeamOfKey("t") != nil {
		t.Error("a key is found in the wrong team")
	}
	long := x.RouteByName("long")
	if Priority(long, x.Team("t")) != 3 || Priority(long, x.Team("u")) != 2 || Priority(long, nil) != 2 {
		t.Error("the priority of a team does not override that of the route")
	}
}

// Guards against a traffic split that does not follow its weights.
func TestSplitFollowsTheWeights(t *testing.T) {
	r := Route{Services: []Share{{"a", 90}, {"b", 10}, {"c", 0}}}
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make(map[string]int)
	const n = 10_000
	for range n {
		counts[r.Pick(rng)]++
	}
	if math.Abs(float64(counts["a"])/n-0.9) > 0.02 || counts["c"] != 0 {
		t.Errorf("requests by service %v, want shares of 0.9, 0.1 and 0", counts)
	}
	if (&Route{}).Pick(rng) != "" {
		t.Error("a route without services has one")
	}
}
