package fleet

import (
	"sort"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// applyChange applies one change and adds it to the message for the members.
func (c *coordinator) applyChange(now time.Time, ch catalog.Change, delta *peerpb.FleetState) {
	if ch.Err != nil {
		log.WithField("event", "record_unreadable").WithError(ch.Err).Debug("invalid record skipped")
	}
	switch {
	case ch.Config != nil:
		c.applyConfig(now, ch.Config, delta)
	case ch.Server != nil:
		delete(c.superseded, ch.Server.ID)
		c.applyServer(now, *ch.Server, delta)
	case ch.RemovedServer != "":
		delete(c.superseded, ch.RemovedServer)
		c.removeServer(ch.RemovedServer, delta)
	case ch.Servers != nil && ch.Outdated:
		c.applyOutdatedServers(now, *ch.Servers, delta)
	case ch.Servers != nil:
		c.applyServers(now, *ch.Servers, delta)
	case ch.DomainsOut != nil && ch.Outdated:
		// What operators took out of service or returned since stays so; they write
		// it again.
	case ch.DomainOut != "" || ch.DomainBack != "" || ch.DomainsOut != nil:
		c.applyDomains(now, ch, delta)
	}
}

func (c *coordinator) applyConfig(now time.Time, config *catalog.Config, delta *peerpb.FleetState) {
	if !c.fleet.replica.setConfig(config) {
		return
	}
	encoded, err := c.fleet.replica.encodedConfig()
	if err != nil {
		log.WithField("event", "config_not_passed_on").WithError(err).Error("configuration not sent to members")
		return
	}
	delta.Config = encoded
	log.WithFields(log.Fields{"event": "config_in_force", "version": config.Version, "routes": len(config.Routes)}).Info("configuration in force")
	c.deliver(c.dispatcher.SetConfig(now, config))
}

// applyServer applies a directory entry. A server's heartbeat that changes only
// its remaining cold-start time is not sent to members.
func (c *coordinator) applyServer(now time.Time, s catalog.Server, delta *peerpb.FleetState) {
	r := c.fleet.replica
	r.mu.Lock()
	old, known := r.servers[s.ID]
	same := known && old.Service == s.Service && old.Address == s.Address && old.Domain == s.Domain &&
		old.Slots == s.Slots && old.Draining == s.Draining && old.Incarnation == s.Incarnation
	r.servers[s.ID] = s
	r.coldUntil[s.ID] = now.Add(s.Cold)
	r.mu.Unlock()
	if !same {
		delta.Servers = append(delta.Servers, serverToProto(s, s.Cold))
		log.WithFields(log.Fields{"event": "server_changed", "server": s.ID, "service": s.Service, "domain": s.Domain, "draining": s.Draining}).Debug("backend server changed")
	}
	if !same || s.Cold > 0 {
		c.deliver(c.dispatcher.SetServer(now, s))
	}
}

func (c *coordinator) removeServer(id string, delta *peerpb.FleetState) {
	r := c.fleet.replica
	r.mu.Lock()
	_, known := r.servers[id]
	delete(r.servers, id)
	delete(r.coldUntil, id)
	r.mu.Unlock()
	if !known {
		return
	}
	delta.Gone = append(delta.Gone, id)
	c.dispatcher.RemoveServer(id)
	log.WithFields(log.Fields{"event": "server_gone", "server": id}).Debug("backend server removed")
}

func (c *coordinator) knownServers() map[string]catalog.Server {
	r := c.fleet.replica
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]catalog.Server, len(r.servers))
	for id, s := range r.servers {
		out[id] = s
	}
	return out
}

func (c *coordinator) applyDomains(now time.Time, ch catalog.Change, delta *peerpb.FleetState) {
	r := c.fleet.replica
	r.mu.Lock()
	switch {
	case ch.DomainsOut != nil:
		clear(r.domainsOut)
		for _, name := range *ch.DomainsOut {
			r.domainsOut[name] = true
		}
	case ch.DomainOut != "":
		r.domainsOut[ch.DomainOut] = true
	default:
		delete(r.domainsOut, ch.DomainBack)
	}
	out := make([]string, 0, len(r.domainsOut))
	for name := range r.domainsOut {
		out = append(out, name)
	}
	r.mu.Unlock()
	sort.Strings(out)
	delta.HasDomainsOut = true
	delta.DomainsOut = out
	log.WithFields(log.Fields{"event": "domains_out", "domains": out}).Info("set of failure domains out of service changed")
	c.deliver(c.dispatcher.SetDomainsOut(now, out))
}
