// Package catalog defines the configuration, the directory of backend servers
// and the changes to both, including failure domains that operators take out of
// service. Its Index finds the route and the team of a request.
package catalog

import (
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// Kind says whether requests on a route may be retried after they may have run.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Download requests may run more than once and have large responses.
	Download Kind = "download"
)

// Repeatable reports whether a request of this kind may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == Download }

// Share is one service of a route's traffic split, with its weight relative to
// those of the other services.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time from a request's arrival to its response.
	Timeout time.Duration
	// Objective is the latency objective: a response within it fully meets the
	// route's goal.
	Objective time.Duration
	// Priority of the route; 0 is the highest.
	Priority int
	// Services holds one entry, or the entries of a traffic split.
	Services []Share
	// MaxAttempts bounds the attempts of one request that may have run.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Pick chooses the service of a request at random by the weights. It returns ""
// if the route has no service.
func (r *Route) Pick(rng *rand.Rand) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	point := rng.Float64() * total
	for _, s := range r.Services {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of backend servers.
type Service struct {
	Name string
	// ColdStart is how long a server is cold (warming up) after its start.
	ColdStart time.Duration
	// ColdRate is what a cold server can handle, in requests per second.
	ColdRate float64
}

// Team is a tenant, with its keys and its rate limit across all instances.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if it is set.
	Priority *int
	// Rate is in requests per second; 0 means unlimited.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Limits bound what callers may send. Package ingress replaces zero values with
// its defaults.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration that operators publish.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits
}

// Server is one entry in the directory of backend servers.
type Server struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining servers get no new requests.
	Draining bool
	// Incarnation tells successive servers with the same ID apart. It rises.
	Incarnation int64
	// Sequence counts the entries of an incarnation.
	Sequence int64
	// Cold is how long the server stays cold, counted from when the entry was
	// read.
	Cold time.Duration
}

// Before reports whether an entry is older than another one of the same server.
func (s *Server) Before(other *Server) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation < other.Incarnation
	}
	return s.Sequence < other.Sequence
}

// Change is one update read from the store. One of its fields is set, except
// that Err may be set together with RemovedServer.
type Change struct {
	Config *Config
	Server *Server
	// RemovedServer is the ID of a server whose entry was removed or no longer
	// names a usable server.
	RemovedServer string
	// DomainOut is a failure domain that was taken out of service, DomainBack
	// one that was returned to service.
	DomainOut, DomainBack string
	// Servers and DomainsOut replace the complete sets, after the store's
	// history was lost.
	Servers    *map[string]Server
	DomainsOut *[]string
	// Outdated is set if Servers or DomainsOut come from a store that has lost its last
	// records: they may be older than what was read before.
	Outdated bool
	// Err says why a record could not be read.
	Err error
}

// Index holds lookup tables for one configuration.
type Index struct {
	Config *Config
	byHost map[string][]*Route
	byName map[string]*Route
	byKey  map[string]*Team
	byTeam map[string]*Team
}

// NewIndex returns the index of a configuration.
func NewIndex(c *Config) *Index {
	x := &Index{
		Config: c, byHost: make(map[string][]*Route), byName: make(map[string]*Route),
		byKey: make(map[string]*Team), byTeam: make(map[string]*Team),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		x.byHost[r.Host] = append(x.byHost[r.Host], r)
		x.byName[r.Name] = r
	}
	for _, routes := range x.byHost {
		sort.Slice(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Teams {
		t := &c.Teams[i]
		x.byTeam[t.Name] = t
		for _, k := range t.Keys {
			x.byKey[k] = t
		}
	}
	return x
}

// Route returns the host's route with the longest matching path prefix, or nil.
func (x *Index) Route(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.Contains(host[colon:], "]") {
		host = host[:colon]
	}
	for _, r := range x.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteByName returns a route, or nil.
func (x *Index) RouteByName(name string) *Route { return x.byName[name] }

// TeamOfKey returns the team that holds a key, or nil.
func (x *Index) TeamOfKey(key string) *Team { return x.byKey[key] }

// Team returns a team by name, or nil.
func (x *Index) Team(name string) *Team { return x.byTeam[name] }

// KeysRequired reports whether requests need a key on routes that are not
// public. A configuration without teams requires none.
func (x *Index) KeysRequired() bool { return len(x.byTeam) > 0 }

// Priority returns the priority of a request; 0 is the highest.
func Priority(r *Route, t *Team) int {
	if t != nil && t.Priority != nil {
		return *t.Priority
	}
	return r.Priority
}
