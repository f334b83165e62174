package rights

import (
	"slices"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// SuccessorGuard is how long a successor waits before it exercises a right,
// since time may pass at the predecessor between its lease check and the
// action that the check allowed.
const SuccessorGuard = 500 * time.Millisecond

// Level says which earlier members must know of this member's Join before it
// may exercise a right.
type Level int

// The levels.
const (
	// Region is needed for rights that are ranked in a region or in one of
	// its failure domains.
	Region Level = iota
	// Fleet is needed for rights that are ranked over all members.
	Fleet
	levels
)

// Ledger implements View. Mutual exclusion rests on three facts that package
// membership establishes and reports to the ledger:
//
//   - The member is settled: every member that joined before it either knows
//     its Join, and so ranks it, or holds no lease at an earlier epoch.
//   - A member that ended since then, or was fenced, is cleared: it has left,
//     can never hold a lease again, or knows that it ended.
//   - The member's own lease is valid.
//
// If two members held the same right, the higher ranked of them would count as
// active for itself but not for the other, which would know it as an ended or
// fenced member that is not cleared. The argument needs one total order of the
// members per key: Scope.Wider appends the rest of the region after a failure
// domain.
//
// A Ledger is safe for concurrent use.
type Ledger struct {
	mu             sync.RWMutex
	self           roster.Member
	roster         *roster.Roster
	lease          time.Time
	settled        [levels]time.Time
	noPredecessors [levels]bool
	fenced         map[roster.Ref]bool
	ended          map[roster.Ref]*endedMember
	endedOrder     []*endedMember
	earlierDomains map[roster.Scope]bool     // failure domains with earlier members
	endedByDomain  map[string][]*endedMember // by failure domain
	releases       map[string]release
}

// endedMember is a member that ended or was fenced after this member joined.
type endedMember struct {
	member roster.Member
	hash   uint64
	// cleared is when it became known that the member exercises no right any
	// more; zero if it still may.
	cleared time.Time
	// left is set if it gave up its rights voluntarily.
	left bool
	// stopped is set if its process is known to have ended.
	stopped bool
}

// release is a predecessor's reply that it has given up a right.
type release struct {
	from roster.Ref
	at   time.Time
}

// NewLedger returns the ledger of one incarnation.
func NewLedger(self roster.Member) *Ledger {
	l := &Ledger{}
	l.Reset(self)
	return l
}

// Reset clears the ledger for a new incarnation, which holds no rights.
func (l *Ledger) Reset(self roster.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	self.JoinedAt = 0
	l.self, l.lease, l.settled, l.noPredecessors = self, time.Time{}, [levels]time.Time{}, [levels]bool{}
	l.ended, l.endedOrder = make(map[roster.Ref]*endedMember), nil
	l.endedByDomain = make(map[string][]*endedMember)
	l.releases = make(map[string]release)
	if l.fenced == nil {
		l.fenced = make(map[roster.Ref]bool)
	}
	if l.roster == nil {
		l.roster = roster.New(0, nil)
	}
}

// Apply updates the ledger to a newer roster.
func (l *Ledger) Apply(now time.Time, r *roster.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.roster = r
	if m, ok := r.Find(l.self.Ref()); ok {
		if l.self.JoinedAt == 0 {
			l.findEarlier(r, m)
		}
		l.self = m
	}
	for _, m := range r.Members() {
		if m.State == roster.Gone {
			delete(l.fenced, m.Ref())
		}
		if l.self.JoinedAt > 0 && m.InactiveAt > l.self.JoinedAt && m.Ref() != l.self.Ref() {
			e := l.addEnded(m)
			if m.State == roster.Gone {
				e.clear(now, !m.Down)
			}
		}
	}
	l.pruneEnded()
}

// findEarlier records the failure domains of members that joined before this
// one and whose requests may still run.
func (l *Ledger) findEarlier(r *roster.Roster, self roster.Member) {
	l.earlierDomains = make(map[roster.Scope]bool)
	for _, m := range r.Members() {
		left := m.State == roster.Gone && !m.Down
		if m.JoinedAt < self.JoinedAt && !left {
			l.earlierDomains[roster.Scope{Region: m.Region, FailureDomain: m.FailureDomain}] = true
		}
	}
}

// noEarlierMembers reports whether no earlier member of the scope can have held
// a right.
func (l *Ledger) noEarlierMembers(scope roster.Scope) bool {
	if _, more := scope.Wider(); more || scope.FailureDomain == "" {
		scope.FailureDomain = ""
	}
	for domain := range l.earlierDomains {
		if scope.Includes(roster.Member{Region: domain.Region, FailureDomain: domain.FailureDomain}) {
			return false
		}
	}
	return true
}

// maxEnded is how many ended members a ledger remembers; at the target size of
// 2,500 instances that many end in four hours. A right taken over from a
// forgotten member is reported as held since this one settled.
const maxEnded = 8192

func (l *Ledger) pruneEnded() {
	for len(l.endedOrder) > maxEnded && !l.endedOrder[0].cleared.IsZero() {
		e := l.endedOrder[0]
		l.endedOrder = l.endedOrder[1:]
		delete(l.ended, e.member.Ref())
		domain := e.member.FailureDomain
		l.endedByDomain[domain] = slices.DeleteFunc(l.endedByDomain[domain], func(o *endedMember) bool { return o == e })
	}
}

func (l *Ledger) addEnded(m roster.Member) *endedMember {
	e := l.ended[m.Ref()]
	if e == nil {
		e = &endedMember{member: m, hash: roster.Hash(m.ID)}
		l.ended[m.Ref()] = e
		l.endedOrder = append(l.endedOrder, e)
		l.endedByDomain[m.FailureDomain] = append(l.endedByDomain[m.FailureDomain], e)
	}
	return e
}

func (e *endedMember) clear(now time.Time, left bool) {
	if e.cleared.IsZero() {
		e.cleared, e.left = now, left
	}
}

// Fence records that an incarnation is proven fenced.
func (l *Ledger) Fence(now time.Time, ref roster.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.roster.Find(ref)
	if !ok || m.State == roster.Gone {
		return
	}
	l.fenced[ref] = true
	l.addEnded(m).clear(now, false)
}

// Clear records that an ended member knows that it ended.
func (l *Ledger) Clear(now time.Time, ref roster.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.ended[ref]; e != nil {
		e.clear(now, false)
	}
}

// PossiblyRunning returns the members that were cleared less than age ago without
// giving up their rights and whose processes are not known to have ended.
func (l *Ledger) PossiblyRunning(now time.Time, age time.Duration) []roster.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var list []roster.Member
	for i := len(l.endedOrder) - 1; i >= 0 && i >= len(l.endedOrder)-maxPossiblyRunning; i-- {
		e := l.endedOrder[i]
		if !e.cleared.IsZero() && !e.left && !e.stopped && now.Sub(e.cleared) < age {
			list = append(list, e.member)
		}
	}
	return list
}

// maxPossiblyRunning bounds the search of PossiblyRunning; a failure domain
// has about 200 members at the target size.
const maxPossiblyRunning = 512

// Stopped records that the process of an incarnation has ended, so that its
// connections are closed and the requests on them cancelled.
func (l *Ledger) Stopped(ref roster.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.ended[ref]; e != nil {
		e.stopped = true
	}
}

// Settle records that the member is settled at a level. noPredecessors says
// that no earlier member can have held a right of that level.
func (l *Ledger) Settle(now time.Time, level Level, noPredecessors bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.settled[level].IsZero() {
		l.settled[level], l.noPredecessors[level] = now, noPredecessors
	}
}

// SetLease sets until when the member's own lease is valid.
func (l *Ledger) SetLease(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease = until
}

// Release records that a predecessor which held the right has given it up and
// handed its state over.
func (l *Ledger) Release(now time.Time, key string, from roster.Ref) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.releases[key].from != from {
		l.releases[key] = release{from, now}
	}
}

// LeaseValid reports whether the member's own lease is valid at now.
func (l *Ledger) LeaseValid(now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return now.Before(l.lease)
}

// Roster returns the roster that the ledger ranks.
func (l *Ledger) Roster() *roster.Roster {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.roster
}

// Self implements View.
func (l *Ledger) Self() roster.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.self
}

// Holder implements View.
func (l *Ledger) Holder(key string, scope roster.Scope) (roster.Member, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.holder(key, scope)
}

func (l *Ledger) holder(key string, scope roster.Scope) (roster.Member, bool) {
	m, ok := l.roster.First(key, scope, l.fenced)
	if !ok {
		if wider, more := scope.Wider(); more {
			return l.roster.First(key, wider, l.fenced)
		}
	}
	return m, ok
}

// Rank implements View.
func (l *Ledger) Rank(key string, scope roster.Scope) []roster.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	list := l.unfenced(l.roster.Rank(key, scope))
	if wider, ok := scope.Wider(); ok && len(list) == 0 {
		list = l.unfenced(l.roster.Rank(key, wider))
	}
	return list
}

func (l *Ledger) unfenced(list []roster.Member) []roster.Member {
	if len(l.fenced) == 0 {
		return list
	}
	kept := list[:0]
	for _, m := range list {
		if !l.fenced[m.Ref()] {
			kept = append(kept, m)
		}
	}
	return kept
}

// Tenure implements View.
func (l *Ledger) Tenure(now time.Time, key string, scope roster.Scope) (Tenure, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !now.Before(l.lease) || l.self.State != roster.Active || l.self.InactiveAt > 0 {
		return Tenure{}, false
	}
	if m, ok := l.holder(key, scope); !ok || m.Ref() != l.self.Ref() {
		return Tenure{}, false
	}
	t, ok := l.tenureOf(key, scope)
	return t, ok && !now.Before(t.Since)
}

// Candidate reports whether this member should hold the right but has no
// tenure yet, so that it may ask its predecessors for a release.
func (l *Ledger) Candidate(now time.Time, key string, scope roster.Scope) bool {
	if _, held := l.Tenure(now, key, scope); held {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	m, ok := l.holder(key, scope)
	_, released := l.releases[key]
	return ok && !released && m.Ref() == l.self.Ref()
}

// Predecessors returns the members that may have held the right before: higher
// ranked ones that are leaving but still run, and the next n of the ranking.
func (l *Ledger) Predecessors(key string, scope roster.Scope, n int) []roster.Member {
	l.mu.RLock()
	defer l.mu.RUnlock()
	keyHash := roster.Hash(key)
	own := roster.Weight(keyHash, roster.Hash(l.self.ID))
	var list []roster.Member
	for _, e := range l.endedOrder {
		m, ok := l.roster.Find(e.member.Ref())
		if ok && m.State == roster.Leaving && !l.fenced[m.Ref()] && l.rankedAbove(e, keyHash, own, scope) {
			list = append(list, m)
		}
	}
	next := l.unfenced(l.roster.Rank(key, scope))
	if wider, ok := scope.Wider(); ok && len(next) <= n {
		next = append(next, l.unfenced(l.roster.Rank(key, wider))...)
	}
	for _, m := range next {
		if n > 0 && m.Ref() != l.self.Ref() {
			list = append(list, m)
			n--
		}
	}
	return list
}

// tenureOf computes when the right may first be exercised: after the member
// has settled, and after each member that was ranked above it has been cleared.
// It depends only on the key and the ledger, so no state is kept per key.
func (l *Ledger) tenureOf(key string, scope roster.Scope) (Tenure, bool) {
	level := Region
	if scope.Region == "" && scope.FailureDomain == "" {
		level = Fleet
	}
	since := l.settled[level]
	if since.IsZero() {
		return Tenure{}, false
	}
	rel, released := l.releases[key]
	t := Tenure{Since: since, Founding: l.self.Founding && l.noPredecessors[level], Released: released || l.noEarlierMembers(scope)}
	switch {
	case l.noPredecessors[level]:
	case released:
		t.Since = later(since, rel.at)
	default:
		t.Since = since.Add(SuccessorGuard)
	}
	t.Moved = !t.Released
	keyHash := roster.Hash(key)
	own := roster.Weight(keyHash, roster.Hash(l.self.ID))
	for domain, list := range l.endedByDomain {
		if scope.FailureDomain == l.self.FailureDomain && domain != scope.FailureDomain {
			continue
		}
		for _, e := range list {
			if l.rankedAbove(e, keyHash, own, scope) && !t.addPredecessor(e, rel) {
				return Tenure{}, false
			}
		}
	}
	return t, true
}

// addPredecessor adjusts the tenure to one ended predecessor. It reports false
// if the predecessor may still exercise the right.
func (t *Tenure) addPredecessor(e *endedMember, rel release) bool {
	handed := rel.from == e.member.Ref()
	if e.cleared.IsZero() && !handed {
		return false
	}
	from := e.cleared.Add(SuccessorGuard)
	switch {
	case handed:
		from = rel.at
	case e.left:
		from = e.cleared
	}
	t.Founding = false
	t.Moved = t.Moved && (e.left || e.stopped)
	if !from.Before(t.Since) {
		t.Since, t.Released = from, handed || e.left || e.stopped
	}
	return true
}

// rankedAbove reports whether an ended member was ranked above this one.
func (l *Ledger) rankedAbove(e *endedMember, key, own uint64, scope roster.Scope) bool {
	if !scope.Includes(e.member) {
		if wider, ok := scope.Wider(); !ok || !wider.Includes(e.member) || scope.Includes(l.self) {
			return false
		}
	} else if !scope.Includes(l.self) {
		return true
	}
	w := roster.Weight(key, e.hash)
	return w > own || w == own && e.member.ID <= l.self.ID
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
