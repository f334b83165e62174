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
		c.applyServer(now, *ch.Server, delta)
	case ch.RemovedServer != "":
		c.removeServer(ch.RemovedServer, delta)
	case ch.Servers != nil:
		for id := range c.knownServers() {
			if _, ok := (*ch.Servers)[id]; !ok {
				c.removeServer(id, delta)
			}
		}
		for _, s := range *ch.Servers {
			c.applyServer(now, s, delta)
		}
	case ch.DomainOut != "" || ch.DomainBack != "" || ch.DomainsOut != nil:
		c.applyDomains(now, ch, delta)
	}
}

func (c *coordinator) applyConfig(now time.Time, config *catalog.Config, delta *peerpb.FleetState) {
	if !c.fleet.replica.setConfig(config) {
		return
	}
	text, err := c.fleet.replica.encodedConfig()
	if err != nil {
		log.WithField("event", "config_not_passed_on").WithError(err).Error("configuration not sent to members")
		return
	}
	delta.Config = text
	log.WithFields(log.Fields{"event": "config_in_force", "version": config.Version, "routes": len(config.Routes)}).Info("configuration in force")
	c.deliver(c.dispatcher.SetConfig(now, config))
}

// applyServer applies a directory entry. A server's heartbeat that changes only
// its remaining warm-up time is not sent to members.
func (c *coordinator) applyServer(now time.Time, s catalog.Server, delta *peerpb.FleetState) {
	m := c.fleet.replica
	m.mu.Lock()
	old, known := m.servers[s.ID]
	same := known && old.Service == s.Service && old.Address == s.Address && old.Domain == s.Domain &&
		old.Slots == s.Slots && old.Draining == s.Draining && old.Incarnation == s.Incarnation
	m.servers[s.ID] = s
	m.coldUntil[s.ID] = now.Add(s.Cold)
	m.mu.Unlock()
	if !same {
		delta.Servers = append(delta.Servers, serverToProto(s, s.Cold))
		log.WithFields(log.Fields{"event": "server_changed", "server": s.ID, "service": s.Service, "domain": s.Domain, "draining": s.Draining}).Debug("backend server changed")
	}
	if !same || s.Cold > 0 {
		c.deliver(c.dispatcher.SetServer(now, s))
	}
}

func (c *coordinator) removeServer(id string, delta *peerpb.FleetState) {
	m := c.fleet.replica
	m.mu.Lock()
	_, known := m.servers[id]
	delete(m.servers, id)
	delete(m.coldUntil, id)
	m.mu.Unlock()
	if !known {
		return
	}
	delta.Gone = append(delta.Gone, id)
	c.dispatcher.RemoveServer(id)
	log.WithFields(log.Fields{"event": "server_gone", "server": id}).Debug("backend server removed")
}

func (c *coordinator) knownServers() map[string]catalog.Server {
	m := c.fleet.replica
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]catalog.Server, len(m.servers))
	for id, s := range m.servers {
		out[id] = s
	}
	return out
}

func (c *coordinator) applyDomains(now time.Time, ch catalog.Change, delta *peerpb.FleetState) {
	m := c.fleet.replica
	m.mu.Lock()
	switch {
	case ch.DomainsOut != nil:
		clear(m.domainsOut)
		for _, name := range *ch.DomainsOut {
			m.domainsOut[name] = true
		}
	case ch.DomainOut != "":
		m.domainsOut[ch.DomainOut] = true
	default:
		delete(m.domainsOut, ch.DomainBack)
	}
	out := make([]string, 0, len(m.domainsOut))
	for name := range m.domainsOut {
		out = append(out, name)
	}
	m.mu.Unlock()
	sort.Strings(out)
	delta.HasDomainsOut = true
	delta.DomainsOut = out
	log.WithFields(log.Fields{"event": "domains_out", "domains": out}).Info("set of failure domains out of service changed")
	c.deliver(c.dispatcher.SetDomainsOut(now, out))
}
