package document

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// ValidateChange returns the faults that a change would cause in a valid
// snapshot, as Faults whose paths name entities by ID, or nil. It looks only
// at the entities that the change touches, those they refer to and those that
// refer to them, since a change of one key must not require a scan of all teams.
func (s *Snapshot) ValidateChange(c Change) error {
	if err := c.Check(); err != nil {
		return Faults{{Problem: err.Error(), Remedy: "name each entity once"}}
	}
	d := s.Apply(s.Revision+1, c).affectedPart(c)
	faults := validate(d)
	for i := range faults {
		faults[i].Path = d.namedPath(faults[i].Path)
	}
	return faults.orNil()
}

// ValidateNamed is Validate with paths that name entities by ID.
func ValidateNamed(d *Document) error {
	faults := validate(d)
	for i := range faults {
		faults[i].Path = d.namedPath(faults[i].Path)
	}
	return faults.orNil()
}

// affectedPart returns the part of the snapshot that a change may make invalid.
func (s *Snapshot) affectedPart(c Change) *Document {
	part := &Snapshot{
		Environment: s.Environment,
		Domains:     index(c.Upserts.Domains, Domain.id), Teams: index(c.Upserts.Teams, Team.id),
		Services: index(c.Upserts.Services, Service.id), Servers: index(c.Upserts.Servers, Server.id), Routes: index(c.Upserts.Routes, Route.id),
	}
	keys := index(c.Upserts.Keys, Key.id)
	for _, k := range c.Upserts.Keys {
		for _, e := range s.byDigest.find(k.SHA256) {
			if other, ok := s.Keys.Get(e.id); ok && other.SHA256 == k.SHA256 {
				keys[other.ID] = other
			}
		}
	}
	if len(c.Deletes.Teams) > 0 {
		for k := range s.Keys.All() {
			if slices.Contains(c.Deletes.Teams, k.Team) {
				keys[k.ID] = k
			}
		}
	}
	part.Keys = newTable(slices.Collect(maps.Values(keys)))
	s.addReferrers(part, c)
	for _, k := range keys {
		include(part.Teams, s.Teams, k.Team)
	}
	for _, r := range part.Routes {
		include(part.Services, s.Services, r.Service)
		for _, team := range r.Teams {
			include(part.Teams, s.Teams, team)
		}
	}
	for _, srv := range part.Servers {
		include(part.Services, s.Services, srv.Service)
		include(part.Domains, s.Domains, srv.FailureDomain)
	}
	return part.Document()
}

// addReferrers adds the routes and servers that refer to a deleted entity, those
// that may conflict with a new one, and the servers of changed services.
func (s *Snapshot) addReferrers(part *Snapshot, c Change) {
	deleted := c.Deletes
	paths := make(map[string]bool)
	for _, r := range c.Upserts.Routes {
		paths[r.Path] = true
	}
	if len(paths) > 0 || len(deleted.Teams) > 0 || len(deleted.Services) > 0 {
		for _, r := range s.Routes {
			refers := slices.Contains(deleted.Services, r.Service) ||
				slices.ContainsFunc(r.Teams, func(t string) bool { return slices.Contains(deleted.Teams, t) })
			if refers || paths[r.Path] {
				part.Routes[r.ID] = r
			}
		}
	}
	addresses := make(map[string]bool)
	for _, srv := range c.Upserts.Servers {
		addresses[srv.Address] = true
	}
	for _, svc := range c.Upserts.Services {
		for _, srv := range s.byService[svc.ID] {
			part.Servers[srv.ID] = srv
		}
	}
	if len(addresses) > 0 || len(deleted.Services) > 0 || len(deleted.Domains) > 0 {
		for _, srv := range s.Servers {
			refers := slices.Contains(deleted.Services, srv.Service) || slices.Contains(deleted.Domains, srv.FailureDomain)
			if refers || addresses[srv.Address] {
				part.Servers[srv.ID] = srv
			}
		}
	}
}

func include[E any](part, all map[string]E, id string) {
	if e, ok := all[id]; ok {
		part[id] = e
	}
}

// namedPath replaces the index of an entity in a path by its ID.
func (d *Document) namedPath(path string) string {
	section, rest, ok := strings.Cut(path, "[")
	number, field, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	if !ok || err != nil {
		return path
	}
	name := ""
	switch section {
	case "failure_domains":
		name = d.Domains[i].ID
	case "teams":
		name = d.Teams[i].ID
	case "keys":
		name = d.Keys[i].ID
	case "services":
		name = d.Services[i].ID
	case "servers":
		name = d.Servers[i].ID
	case "routes":
		name = d.Routes[i].ID
	}
	return section + "[" + strconv.Quote(name) + "]" + field
}
