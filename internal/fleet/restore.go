package fleet

import (
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// rewriteTime is how long operators and backend servers take to write again what a
	// restored store has lost. What is missing then is gone.
	rewriteTime = 3 * time.Second
	// settleTime is how long the entries of servers that have ended may stay in a
	// restored store: until they have been silent for long enough.
	settleTime = 2 * rewriteTime
)

// storeTopic is a topic of the store that the coordinator follows.
type storeTopic uint8

const (
	operatorTopic storeTopic = iota
	directoryTopic
)

// follower is the progress of the reader of a topic.
type follower struct {
	from Position
	// rereadAt is when everything is to be read again after a restore, settledAt when
	// nothing older than what was known can come any more; zero if neither is due.
	rereadAt, settledAt time.Time
}

// newFollower returns a follower that reads everything. With the era up to which the
// state is known, it notices that the store was restored since.
func newFollower(era uint64) follower { return follower{from: Position{Era: era, Offset: -1}} }

// next returns the position of the next read.
func (f *follower) next(now time.Time) Position {
	if !f.rereadAt.IsZero() && !now.Before(f.rereadAt) {
		return Position{Era: f.from.Era, Offset: -1}
	}
	return f.from
}

// advance notes a read, from a position that next returned, and its result. Whole lists
// that come while others are still writing again, since the store has deleted its history,
// are marked as outdated as well.
func (f *follower) advance(now time.Time, from Position, changes []catalog.Change, next Position) {
	switch {
	case isOutdated(changes):
		f.rereadAt, f.settledAt = now.Add(rewriteTime), now.Add(settleTime)
	case now.Before(f.rereadAt):
		for i := range changes {
			changes[i].Outdated = changes[i].Servers != nil || changes[i].DomainsOut != nil
		}
	case from.Offset < 0:
		f.rereadAt = time.Time{}
	}
	f.from = next
}

// settled returns the era in which the topic has settled, or 0.
func (f *follower) settled(now time.Time) uint64 {
	if now.Before(f.settledAt) || !f.rereadAt.IsZero() {
		return 0
	}
	return f.from.Era
}

func isOutdated(changes []catalog.Change) bool {
	for _, c := range changes {
		if c.Outdated {
			return true
		}
	}
	return false
}

// noteSettled tells the members the era of the store up to which all that was confirmed
// is known. Until then a successor compares what it reads with what it knows, as this
// coordinator does.
func (c *coordinator) noteSettled(topic storeTopic, era uint64) {
	if era == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settledEras[topic] = era
	era = min(c.settledEras[operatorTopic], c.settledEras[directoryTopic])
	r := c.fleet.replica
	r.mu.Lock()
	rises := era > r.storeEra
	r.storeEra = max(r.storeEra, era)
	r.mu.Unlock()
	if rises {
		c.broadcast(&peerpb.FleetState{StoreEra: era})
	}
}

// applyServers applies the whole directory.
func (c *coordinator) applyServers(now time.Time, servers map[string]catalog.Server, delta *peerpb.FleetState) {
	for id := range c.knownServers() {
		if _, ok := servers[id]; !ok {
			c.removeServer(id, delta)
		}
	}
	for id, s := range servers {
		if old, ok := c.superseded[id]; ok && old.Incarnation == s.Incarnation && old.Sequence == s.Sequence {
			continue
		}
		delete(c.superseded, id)
		c.applyServer(now, s, delta)
	}
}

// applyOutdatedServers applies the directory of a store that has lost its last records.
// Servers that it lacks stay, as they write again if they run. Entries older than what is
// known, or of servers that are not known and may have left, are not used until they are
// written again.
func (c *coordinator) applyOutdatedServers(now time.Time, servers map[string]catalog.Server, delta *peerpb.FleetState) {
	known := c.knownServers()
	if len(known) == 0 {
		c.applyServers(now, servers, delta)
		return
	}
	clear(c.superseded)
	for id, s := range servers {
		if k, ok := known[id]; ok && !s.Before(&k) {
			c.applyServer(now, s, delta)
			continue
		}
		c.superseded[id] = s
	}
	log.WithFields(log.Fields{
		"event": "directory_outdated", "servers": len(servers), "known": len(known), "superseded": len(c.superseded),
	}).Warn("directory of an older copy of the store")
}
