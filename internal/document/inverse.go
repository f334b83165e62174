package document

import (
	"crypto/sha256"
	"encoding/json"
)

// Digest identifies the entities of the snapshot, whatever their order. It
// detects instances that diverge, but does not resist deliberate collisions.
func (s *Snapshot) Digest() [sha256.Size]byte {
	h := sha256.New()
	h.Write([]byte(s.Environment))
	h.Write(s.sum[:])
	return [sha256.Size]byte(h.Sum(nil))
}

// toggle XORs the hashes of entities into the sum, which adds those that are
// not in it and removes those that are.
func (s *Snapshot) toggle(e Entities) {
	toggleList(&s.sum, "domain", e.Domains)
	toggleList(&s.sum, "team", e.Teams)
	toggleList(&s.sum, "key", e.Keys)
	toggleList(&s.sum, "service", e.Services)
	toggleList(&s.sum, "server", e.Servers)
	toggleList(&s.sum, "route", e.Routes)
}

func toggleList[E any](sum *[sha256.Size]byte, kind string, list []E) {
	for _, e := range list {
		text, err := json.Marshal(e)
		if err != nil {
			// A float that JSON cannot write fails validation, so it only
			// occurs in documents that are not in force.
			text = []byte(err.Error())
		}
		h := sha256.Sum256(append([]byte(kind+"\x00"), text...))
		for i := range sum {
			sum[i] ^= h[i]
		}
	}
}

// Inverse returns the change that undoes c: applied after c it restores s.
func (s *Snapshot) Inverse(c Change) Change {
	var inv Change
	if c.Environment != "" && c.Environment != s.Environment {
		inv.Environment = s.Environment
	}
	u, d := &inv.Upserts, &inv.Deletes
	u.Domains, d.Domains = inverse(lookup(s.Domains), c.Upserts.Domains, c.Deletes.Domains, Domain.id)
	u.Teams, d.Teams = inverse(lookup(s.Teams), c.Upserts.Teams, c.Deletes.Teams, Team.id)
	u.Keys, d.Keys = inverse(s.Keys.Get, c.Upserts.Keys, c.Deletes.Keys, Key.id)
	u.Services, d.Services = inverse(lookup(s.Services), c.Upserts.Services, c.Deletes.Services, Service.id)
	u.Servers, d.Servers = inverse(lookup(s.Servers), c.Upserts.Servers, c.Deletes.Servers, Server.id)
	u.Routes, d.Routes = inverse(lookup(s.Routes), c.Upserts.Routes, c.Deletes.Routes, Route.id)
	return inv
}

func lookup[E any](m map[string]E) func(string) (E, bool) {
	return func(id string) (E, bool) {
		e, ok := m[id]
		return e, ok
	}
}

func inverse[E any](get func(string) (E, bool), upserts []E, deletes []string, id func(E) string) (restored []E, removed []string) {
	for _, e := range upserts {
		if was, ok := get(id(e)); ok {
			restored = append(restored, was)
		} else {
			removed = append(removed, id(e))
		}
	}
	for _, name := range deletes {
		if was, ok := get(name); ok {
			restored = append(restored, was)
		}
	}
	return restored, removed
}

// Then returns the change that has the effect of c followed by next.
func (c Change) Then(next Change) Change {
	out := c
	if next.Environment != "" {
		out.Environment = next.Environment
	}
	u, d := &out.Upserts, &out.Deletes
	nu, nd := next.Upserts, next.Deletes
	u.Domains, d.Domains = composeLists(u.Domains, d.Domains, nu.Domains, nd.Domains, Domain.id)
	u.Teams, d.Teams = composeLists(u.Teams, d.Teams, nu.Teams, nd.Teams, Team.id)
	u.Keys, d.Keys = composeLists(u.Keys, d.Keys, nu.Keys, nd.Keys, Key.id)
	u.Services, d.Services = composeLists(u.Services, d.Services, nu.Services, nd.Services, Service.id)
	u.Servers, d.Servers = composeLists(u.Servers, d.Servers, nu.Servers, nd.Servers, Server.id)
	u.Routes, d.Routes = composeLists(u.Routes, d.Routes, nu.Routes, nd.Routes, Route.id)
	return out
}

func composeLists[E any](upserts []E, deletes []string, nextUpserts []E, nextDeletes []string, id func(E) string) ([]E, []string) {
	if len(nextUpserts) == 0 && len(nextDeletes) == 0 {
		return upserts, deletes
	}
	overridden := make(map[string]bool, len(nextUpserts)+len(nextDeletes))
	for _, e := range nextUpserts {
		overridden[id(e)] = true
	}
	for _, name := range nextDeletes {
		overridden[name] = true
	}
	outUpserts, outDeletes := append([]E(nil), nextUpserts...), append([]string(nil), nextDeletes...)
	for _, e := range upserts {
		if !overridden[id(e)] {
			outUpserts = append(outUpserts, e)
		}
	}
	for _, name := range deletes {
		if !overridden[name] {
			outDeletes = append(outDeletes, name)
		}
	}
	return outUpserts, outDeletes
}

// Rollback returns the change that undoes the revisions since an earlier one,
// given as one change. It leaves keys and the Out fields of servers and failure
// domains as they are in s: a rollback must not restore a withdrawn key or
// return capacity to service that operators took out.
func (s *Snapshot) Rollback(undo Change) Change {
	undo.Upserts.Keys, undo.Deletes.Keys = nil, nil
	servers := append([]Server(nil), undo.Upserts.Servers...)
	for i := range servers {
		if now, ok := s.Servers[servers[i].ID]; ok {
			servers[i].Out = now.Out
		}
	}
	domains := append([]Domain(nil), undo.Upserts.Domains...)
	for i := range domains {
		if now, ok := s.Domains[domains[i].ID]; ok {
			domains[i].Out = now.Out
		}
	}
	undo.Upserts.Servers, undo.Upserts.Domains = servers, domains
	return undo
}

// KeepLive returns the document with the keys of the snapshot, and with the Out
// fields of the servers and failure domains that the snapshot has.
func (s *Snapshot) KeepLive(d *Document) *Document {
	kept := *d
	kept.Keys = sortedKeys(s.Keys)
	kept.Servers = append([]Server(nil), d.Servers...)
	for i := range kept.Servers {
		if now, ok := s.Servers[kept.Servers[i].ID]; ok {
			kept.Servers[i].Out = now.Out
		}
	}
	kept.Domains = append([]Domain(nil), d.Domains...)
	for i := range kept.Domains {
		if now, ok := s.Domains[kept.Domains[i].ID]; ok {
			kept.Domains[i].Out = now.Out
		}
	}
	return &kept
}

// Minimal returns the change without the parts that have no effect on s.
func (s *Snapshot) Minimal(c Change) Change {
	if c.Environment == s.Environment {
		c.Environment = ""
	}
	u, d := &c.Upserts, &c.Deletes
	u.Domains, d.Domains = minimal(lookup(s.Domains), u.Domains, d.Domains, Domain.id, equal[Domain])
	u.Teams, d.Teams = minimal(lookup(s.Teams), u.Teams, d.Teams, Team.id, equal[Team])
	u.Keys, d.Keys = minimal(s.Keys.Get, u.Keys, d.Keys, Key.id, equal[Key])
	u.Services, d.Services = minimal(lookup(s.Services), u.Services, d.Services, Service.id, equal[Service])
	u.Servers, d.Servers = minimal(lookup(s.Servers), u.Servers, d.Servers, Server.id, equal[Server])
	u.Routes, d.Routes = minimal(lookup(s.Routes), u.Routes, d.Routes, Route.id, sameRoute)
	return c
}

func minimal[E any](get func(string) (E, bool), upserts []E, deletes []string, id func(E) string, same func(a, b E) bool) (u []E, d []string) {
	for _, e := range upserts {
		if now, ok := get(id(e)); !ok || !same(now, e) {
			u = append(u, e)
		}
	}
	for _, name := range deletes {
		if _, ok := get(name); ok {
			d = append(d, name)
		}
	}
	return u, d
}
