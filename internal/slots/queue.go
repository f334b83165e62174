package slots

import (
	"slices"
	"time"
)

// waiting is a queued request.
type waiting struct {
	id  uint64
	req Request
}

// teamQueue holds the queued requests of one team in order of arrival. Bulk
// requests are kept apart so that a bulk request that may not start does not
// block others of its team.
type teamQueue struct {
	team string
	bulk []waiting
	rest []waiting
}

func (t *teamQueue) len() int { return len(t.bulk) + len(t.rest) }

// queue is a round-robin scheduler over team queues, one request per turn.
type queue struct {
	// turns lists the teams with queued requests in round-robin order.
	turns []*teamQueue
	teams map[string]*teamQueue
	size  int
	// earliest is a lower bound of the deadlines of all queued requests.
	earliest time.Time
}

func newQueue() *queue { return &queue{teams: make(map[string]*teamQueue)} }

func (q *queue) push(w waiting) {
	t := q.teams[w.req.Team]
	if t == nil {
		t = &teamQueue{team: w.req.Team}
		q.teams[w.req.Team] = t
		q.turns = append(q.turns, t)
	}
	if w.req.Bulk {
		t.bulk = append(t.bulk, w)
	} else {
		t.rest = append(t.rest, w)
	}
	if q.size == 0 || w.req.Deadline.Before(q.earliest) {
		q.earliest = w.req.Deadline
	}
	q.size++
}

// pop takes the next request in turn. A team whose requests may not start
// keeps its turn. Within a team the oldest request that may start goes first.
func (q *queue) pop(bulkAllowed bool) (waiting, bool) {
	for i, t := range q.turns {
		var from *[]waiting
		switch {
		case len(t.rest) > 0 && (!bulkAllowed || len(t.bulk) == 0 || t.rest[0].id < t.bulk[0].id):
			from = &t.rest
		case len(t.bulk) > 0 && bulkAllowed:
			from = &t.bulk
		default:
			continue
		}
		w := (*from)[0]
		*from = (*from)[1:]
		q.size--
		q.turns = slices.Delete(q.turns, i, i+1)
		if t.len() > 0 {
			q.turns = append(q.turns, t)
		} else {
			delete(q.teams, t.team)
		}
		return w, true
	}
	return waiting{}, false
}

// remove removes the request with the given ID.
func (q *queue) remove(id uint64) bool {
	return len(q.removeIf(func(w waiting) bool { return w.id == id })) > 0
}

// expire removes the requests whose deadline is not after now.
func (q *queue) expire(now time.Time) []uint64 {
	if q.size == 0 || q.earliest.After(now) {
		return nil
	}
	ids := q.removeIf(func(w waiting) bool { return !w.req.Deadline.After(now) })
	q.earliest = time.Time{}
	for _, t := range q.turns {
		for _, list := range [][]waiting{t.rest, t.bulk} {
			for _, w := range list {
				if q.earliest.IsZero() || w.req.Deadline.Before(q.earliest) {
					q.earliest = w.req.Deadline
				}
			}
		}
	}
	return ids
}

func (q *queue) removeIf(match func(waiting) bool) []uint64 {
	var ids []uint64
	drop := func(w waiting) bool {
		if !match(w) {
			return false
		}
		ids = append(ids, w.id)
		return true
	}
	for _, t := range q.turns {
		t.rest = slices.DeleteFunc(t.rest, drop)
		t.bulk = slices.DeleteFunc(t.bulk, drop)
	}
	q.turns = slices.DeleteFunc(q.turns, func(t *teamQueue) bool {
		if t.len() > 0 {
			return false
		}
		delete(q.teams, t.team)
		return true
	})
	q.size -= len(ids)
	return ids
}

// evictFor makes room in a full queue for a request of the given team. It removes
// the newest request of the team with the longest queue, if that queue stays at
// least as long as the given team's queue becomes. Without this rule one team
// could fill the queue, and the requests of others would be refused on arrival.
func (q *queue) evictFor(team string) (uint64, bool) {
	own := 0
	if t := q.teams[team]; t != nil {
		own = t.len()
	}
	var longest *teamQueue
	for _, t := range q.turns {
		if longest == nil || t.len() > longest.len() {
			longest = t
		}
	}
	if longest == nil || longest.team == team || longest.len() < own+2 {
		return 0, false
	}
	var newest uint64
	for _, list := range [][]waiting{longest.rest, longest.bulk} {
		if n := len(list); n > 0 {
			newest = max(newest, list[n-1].id)
		}
	}
	return newest, q.remove(newest)
}

// ahead returns how many queued requests start before the next request of the
// given team if nothing else arrives.
func (q *queue) ahead(team string) int {
	own := 0
	if t := q.teams[team]; t != nil {
		own = t.len()
	}
	n := 0
	for _, t := range q.turns {
		n += min(t.len(), own+1)
	}
	return n
}
