package document

import (
	"errors"
	"fmt"
	"slices"
)

func (e Domain) id() string  { return e.ID }
func (e Team) id() string    { return e.ID }
func (e Key) id() string     { return e.ID }
func (e Service) id() string { return e.ID }
func (e Server) id() string  { return e.ID }
func (e Route) id() string   { return e.ID }

// Entities are entities of every kind that a change adds or replaces.
type Entities struct {
	Domains  []Domain  `json:"failure_domains,omitempty"`
	Teams    []Team    `json:"teams,omitempty"`
	Keys     []Key     `json:"keys,omitempty"`
	Services []Service `json:"services,omitempty"`
	Servers  []Server  `json:"servers,omitempty"`
	Routes   []Route   `json:"routes,omitempty"`
}

// IDs are the IDs of every kind that a change removes.
type IDs struct {
	Domains  []string `json:"failure_domains,omitempty"`
	Teams    []string `json:"teams,omitempty"`
	Keys     []string `json:"keys,omitempty"`
	Services []string `json:"services,omitempty"`
	Servers  []string `json:"servers,omitempty"`
	Routes   []string `json:"routes,omitempty"`
}

// Change turns one document into another. It carries only the entities that
// differ. No ID is in both Upserts and Deletes.
type Change struct {
	// Environment is the new name of the environment, or empty if it stays.
	Environment string   `json:"environment,omitempty"`
	Upserts     Entities `json:"upserts"`
	Deletes     IDs      `json:"deletes"`
}

// Item is one entity of a change, for display.
type Item struct {
	// Op is "add", "change" or "delete".
	Op   string `json:"op"`
	Kind string `json:"kind"`
	ID   string `json:"id"`
}

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool { return c.Environment == "" && c.Size() == 0 }

// Size is the number of entities that the change adds, replaces or removes.
func (c Change) Size() int {
	u, d := c.Upserts, c.Deletes
	return len(u.Domains) + len(u.Teams) + len(u.Keys) + len(u.Services) + len(u.Servers) + len(u.Routes) +
		len(d.Domains) + len(d.Teams) + len(d.Keys) + len(d.Services) + len(d.Servers) + len(d.Routes)
}

// Diff returns the change from one valid document to another. A nil from is an
// empty document.
func Diff(from, to *Document) Change {
	if from == nil {
		from = new(Document)
	}
	var c Change
	if from.Environment != to.Environment {
		c.Environment = to.Environment
	}
	u, d := &c.Upserts, &c.Deletes
	u.Domains, d.Domains = diff(from.Domains, to.Domains, Domain.id, equal[Domain])
	u.Teams, d.Teams = diff(from.Teams, to.Teams, Team.id, equal[Team])
	u.Keys, d.Keys = diff(from.Keys, to.Keys, Key.id, equal[Key])
	u.Services, d.Services = diff(from.Services, to.Services, Service.id, equal[Service])
	u.Servers, d.Servers = diff(from.Servers, to.Servers, Server.id, equal[Server])
	u.Routes, d.Routes = diff(from.Routes, to.Routes, Route.id, sameRoute)
	return c
}

func equal[E comparable](a, b E) bool { return a == b }

func sameRoute(a, b Route) bool {
	same := slices.Equal(a.Methods, b.Methods) && slices.Equal(a.Teams, b.Teams)
	return same && a.ID == b.ID && a.Service == b.Service && a.Path == b.Path && a.Class == b.Class &&
		a.Idempotent == b.Idempotent && a.Open == b.Open && a.MaxBody == b.MaxBody && a.Timeout == b.Timeout
}

func diff[E any](from, to []E, id func(E) string, same func(a, b E) bool) (upserts []E, deletes []string) {
	old := index(from, id)
	for _, e := range to {
		if was, ok := old[id(e)]; !ok || !same(was, e) {
			upserts = append(upserts, e)
		}
		delete(old, id(e))
	}
	for name := range old {
		deletes = append(deletes, name)
	}
	slices.Sort(deletes)
	sortByID(upserts, id)
	return upserts, deletes
}

// Apply returns the document that results from a change. It shares the sections
// that the change does not touch.
func (d *Document) Apply(c Change) *Document {
	next := *d
	if c.Environment != "" {
		next.Environment = c.Environment
	}
	next.Domains = applyList(d.Domains, c.Upserts.Domains, c.Deletes.Domains, Domain.id)
	next.Teams = applyList(d.Teams, c.Upserts.Teams, c.Deletes.Teams, Team.id)
	next.Keys = applyList(d.Keys, c.Upserts.Keys, c.Deletes.Keys, Key.id)
	next.Services = applyList(d.Services, c.Upserts.Services, c.Deletes.Services, Service.id)
	next.Servers = applyList(d.Servers, c.Upserts.Servers, c.Deletes.Servers, Server.id)
	next.Routes = applyList(d.Routes, c.Upserts.Routes, c.Deletes.Routes, Route.id)
	return &next
}

// applyList keeps the order of the list and appends new entities.
func applyList[E any](list, upserts []E, deletes []string, id func(E) string) []E {
	if len(upserts) == 0 && len(deletes) == 0 {
		return list
	}
	deleted := make(map[string]bool, len(deletes))
	for _, name := range deletes {
		deleted[name] = true
	}
	changed := index(upserts, id)
	next := make([]E, 0, len(list)+len(upserts))
	for _, e := range list {
		if repl, ok := changed[id(e)]; ok {
			next = append(next, repl)
			delete(changed, id(e))
		} else if !deleted[id(e)] {
			next = append(next, e)
		}
	}
	for _, e := range upserts {
		if _, ok := changed[id(e)]; ok {
			next = append(next, e)
			delete(changed, id(e))
		}
	}
	return next
}

// Items lists the entities of the change; before is the snapshot that the
// change applies to and decides between "add" and "change".
func (c Change) Items(before *Snapshot) []Item {
	if before == nil {
		before = new(Snapshot)
	}
	var list []Item
	list = items(list, "domain", lookup(before.Domains), c.Upserts.Domains, c.Deletes.Domains, Domain.id)
	list = items(list, "team", lookup(before.Teams), c.Upserts.Teams, c.Deletes.Teams, Team.id)
	list = items(list, "key", before.Keys.Get, c.Upserts.Keys, c.Deletes.Keys, Key.id)
	list = items(list, "service", lookup(before.Services), c.Upserts.Services, c.Deletes.Services, Service.id)
	list = items(list, "server", lookup(before.Servers), c.Upserts.Servers, c.Deletes.Servers, Server.id)
	return items(list, "route", lookup(before.Routes), c.Upserts.Routes, c.Deletes.Routes, Route.id)
}

func items[E any](list []Item, kind string, before func(string) (E, bool), upserts []E, deletes []string, id func(E) string) []Item {
	for _, e := range upserts {
		op := "add"
		if _, ok := before(id(e)); ok {
			op = "change"
		}
		list = append(list, Item{op, kind, id(e)})
	}
	for _, name := range deletes {
		list = append(list, Item{"delete", kind, name})
	}
	return list
}

// Check returns an error if the change names an entity twice or without an ID.
func (c Change) Check() error {
	u, d := c.Upserts, c.Deletes
	return errors.Join(
		checkUnique("failure domain", u.Domains, d.Domains, Domain.id), checkUnique("team", u.Teams, d.Teams, Team.id),
		checkUnique("key", u.Keys, d.Keys, Key.id), checkUnique("service", u.Services, d.Services, Service.id),
		checkUnique("server", u.Servers, d.Servers, Server.id), checkUnique("route", u.Routes, d.Routes, Route.id),
	)
}

func checkUnique[E any](kind string, upserts []E, deletes []string, id func(E) string) error {
	seen := make(map[string]bool, len(upserts)+len(deletes))
	names := slices.Clone(deletes)
	for _, e := range upserts {
		names = append(names, id(e))
	}
	for _, name := range names {
		if name == "" || seen[name] {
			return fmt.Errorf("change names %s %q twice or without an ID", kind, name)
		}
		seen[name] = true
	}
	return nil
}
