package document

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"
)

// Snapshot is an indexed, immutable configuration at one revision. Readers
// must not modify what it returns.
type Snapshot struct {
	Revision    uint64
	Environment string
	Domains     map[string]Domain
	Teams       map[string]Team
	Services    map[string]Service
	Servers     map[string]Server
	Routes      map[string]Route
	Keys        Table[Key]

	byDigest  digestIndex
	byService map[string][]Server
	// sum is the XOR of the hashes of all entities, so that a change hashes only
	// the entities that it touches.
	sum [sha256.Size]byte
}

// NewSnapshot indexes a document. The document must be valid.
func NewSnapshot(revision uint64, d *Document) *Snapshot {
	s := &Snapshot{
		Revision:    revision,
		Environment: d.Environment,
		Domains:     index(d.Domains, Domain.id),
		Teams:       index(d.Teams, Team.id),
		Services:    index(d.Services, Service.id),
		Servers:     index(d.Servers, Server.id),
		Routes:      index(d.Routes, Route.id),
		Keys:        newTable(d.Keys),
		byDigest:    newDigestIndex(d.Keys),
		byService:   make(map[string][]Server),
	}
	s.toggle(Entities{d.Domains, d.Teams, d.Keys, d.Services, d.Servers, d.Routes})
	for _, srv := range d.Servers {
		s.byService[srv.Service] = append(s.byService[srv.Service], srv)
	}
	for _, list := range s.byService {
		sortByID(list, Server.id)
	}
	return s
}

func index[E any](list []E, id func(E) string) map[string]E {
	m := make(map[string]E, len(list))
	for _, e := range list {
		m[id(e)] = e
	}
	return m
}

func sortByID[E any](list []E, id func(E) string) {
	slices.SortFunc(list, func(a, b E) int { return strings.Compare(id(a), id(b)) })
}

// Document returns the entities as a document, each section ordered by ID.
func (s *Snapshot) Document() *Document {
	return &Document{
		Version: 1, Environment: s.Environment,
		Domains: sorted(s.Domains, Domain.id), Teams: sorted(s.Teams, Team.id), Keys: sortedKeys(s.Keys),
		Services: sorted(s.Services, Service.id), Servers: sorted(s.Servers, Server.id), Routes: sorted(s.Routes, Route.id),
	}
}

func sortedKeys(t Table[Key]) []Key {
	list := slices.AppendSeq(make([]Key, 0, t.Len()), t.All())
	sortByID(list, Key.id)
	return list
}

func sorted[E any](m map[string]E, id func(E) string) []E {
	list := make([]E, 0, len(m))
	for _, e := range m {
		list = append(list, e)
	}
	sortByID(list, id)
	return list
}

// Apply returns the snapshot that results from a change. It shares the sections
// that the change does not touch and most shards of the keys, and copies the
// maps of the other sections.
func (s *Snapshot) Apply(revision uint64, c Change) *Snapshot {
	next := *s
	next.Revision = revision
	if c.Environment != "" {
		next.Environment = c.Environment
	}
	next.Domains = applyMap(s.Domains, c.Upserts.Domains, c.Deletes.Domains, Domain.id)
	next.Teams = applyMap(s.Teams, c.Upserts.Teams, c.Deletes.Teams, Team.id)
	next.Services = applyMap(s.Services, c.Upserts.Services, c.Deletes.Services, Service.id)
	next.Servers = applyMap(s.Servers, c.Upserts.Servers, c.Deletes.Servers, Server.id)
	next.Routes = applyMap(s.Routes, c.Upserts.Routes, c.Deletes.Routes, Route.id)
	next.Keys = s.Keys.apply(c.Upserts.Keys, c.Deletes.Keys)
	undo := s.Inverse(c)
	next.toggle(undo.Upserts)
	next.toggle(c.Upserts)
	next.applyKeys(undo.Upserts.Keys, c)
	next.applyServers(s, c)
	return &next
}

func applyMap[E any](m map[string]E, upserts []E, deletes []string, id func(E) string) map[string]E {
	if len(upserts) == 0 && len(deletes) == 0 {
		return m
	}
	next := maps.Clone(m)
	if next == nil {
		next = make(map[string]E, len(upserts))
	}
	for _, name := range deletes {
		delete(next, name)
	}
	for _, e := range upserts {
		next[id(e)] = e
	}
	return next
}

func (s *Snapshot) applyKeys(removed []Key, c Change) {
	s.byDigest = s.byDigest.apply(removed, c.Upserts.Keys)
}

func (s *Snapshot) applyServers(old *Snapshot, c Change) {
	touched := make(map[string]bool)
	for _, name := range c.Deletes.Servers {
		if was, ok := old.Servers[name]; ok {
			touched[was.Service] = true
		}
	}
	for _, srv := range c.Upserts.Servers {
		touched[srv.Service] = true
		if was, ok := old.Servers[srv.ID]; ok {
			touched[was.Service] = true
		}
	}
	if len(touched) == 0 {
		return
	}
	s.byService = maps.Clone(old.byService)
	for service := range touched {
		s.byService[service] = nil
	}
	for _, srv := range s.Servers {
		if touched[srv.Service] {
			s.byService[srv.Service] = append(s.byService[srv.Service], srv)
		}
	}
	for service := range touched {
		if len(s.byService[service]) == 0 {
			delete(s.byService, service)
		}
		sortByID(s.byService[service], Server.id)
	}
}

// KeyByDigest returns the key with the hexadecimal SHA-256 digest.
func (s *Snapshot) KeyByDigest(digest string) (Key, bool) {
	for _, e := range s.byDigest.find(digest) {
		if k, ok := s.Keys.Get(e.id); ok && k.SHA256 == digest {
			return k, true
		}
	}
	return Key{}, false
}

// ServersOf returns the servers of a service, ordered by ID.
func (s *Snapshot) ServersOf(service string) []Server { return s.byService[service] }

// InService reports whether the server exists and operators have taken neither
// it nor its failure domain out of service.
func (s *Snapshot) InService(server string) bool {
	srv, ok := s.Servers[server]
	if !ok || srv.Out {
		return false
	}
	dom, ok := s.Domains[srv.FailureDomain]
	return ok && !dom.Out
}

// Allows reports whether a team may use a route.
func (r Route) Allows(team string) bool {
	return r.Open || len(r.Teams) == 0 || slices.Contains(r.Teams, team)
}

// MaxBodyBytes returns the body limit in bytes with the default applied.
func (r Route) MaxBodyBytes() int64 {
	if r.MaxBody > 0 {
		return r.MaxBody
	}
	return DefaultMaxBody
}

// TimeLimit returns the time limit with the default applied.
func (r Route) TimeLimit() time.Duration {
	if r.Timeout > 0 {
		return time.Duration(r.Timeout)
	}
	return DefaultTimeout
}

// ClassOrDefault returns the class with the default applied.
func (r Route) ClassOrDefault() Class {
	if r.Class != "" {
		return r.Class
	}
	return ClassLatency
}

// ColdLimit returns the concurrency limit of a cold server of the service.
func (s Service) ColdLimit() int {
	if s.ColdSlots > 0 {
		return s.ColdSlots
	}
	return DefaultColdSlots
}

// RampResponses returns how many successful responses raise a cold server's
// limit by one.
func (s Service) RampResponses() int {
	if s.RampStep > 0 {
		return s.RampStep
	}
	return DefaultRampStep
}
