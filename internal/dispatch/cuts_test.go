package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// cutFleet plays a quotaFleet whose instances are cut off from each other, killed and
// started again in a random order, with a coordinator on each side of a cut.
type cutFleet struct {
	*quotaFleet
	// side tells which instances reach each other.
	side  map[*quotaMember]int
	sides int
	dead  map[*quotaMember]bool
	// unaware holds the instances that have not noticed yet that they are cut off.
	unaware map[*quotaMember]bool
	host    map[*quotaCoordinator]*quotaMember
	// yielding holds the coordinators that are about to meet another one.
	yielding map[*quotaCoordinator]bool
	due      []scheduled
	history  []string
}

type scheduled struct {
	at time.Time
	do func()
}

const (
	// noticeTime is how long silence takes to be noticed.
	noticeTime = 800 * time.Millisecond
	// electionTime, joinTime and settleTime bound how long instances take to find a new
	// coordinator, to join it, and two coordinators to meet.
	electionTime = 100 * time.Millisecond
	joinTime     = 300 * time.Millisecond
	settleTime   = time.Second
)

func newCutFleet(seed uint64, n int) *cutFleet {
	return &cutFleet{
		quotaFleet: newQuotaFleet(seed, n), side: make(map[*quotaMember]int), dead: make(map[*quotaMember]bool), unaware: make(map[*quotaMember]bool),
		host: make(map[*quotaCoordinator]*quotaMember), yielding: make(map[*quotaCoordinator]bool),
	}
}

func (f *cutFleet) event(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf("%.2f ", f.now.Sub(time.Unix(1000, 0)).Seconds())+fmt.Sprintf(format, args...))
}

func (f *cutFleet) after(d time.Duration, do func()) {
	f.due = append(f.due, scheduled{f.now.Add(d), do})
}

func (f *cutFleet) random(most time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(most)))
}

// detach ends the connection of a member. Its coordinator notices after a time, unless the
// member has joined it again.
func (f *cutFleet) detach(m *quotaMember, notice time.Duration) {
	c := m.coordinator
	m.coordinator, m.next = nil, nil
	if c == nil {
		return
	}
	f.after(notice, func() {
		if m.coordinator != c && f.host[c] != nil {
			f.notice(m, c)
		}
	})
}

// end makes a coordinator end, by a kill or since it steps down.
func (f *cutFleet) end(c *quotaCoordinator) {
	delete(f.host, c)
	for _, m := range f.members {
		if m.coordinator == c || m.next == c {
			m.coordinator, m.next = nil, nil
		}
	}
}

// cut moves instances to a side of their own. Either end of a connection across the cut
// notices at once, as after a reset or a refusal, or silence is noticed late by both.
func (f *cutFleet) cut(members []*quotaMember, silent bool) {
	f.sides++
	for _, m := range members {
		f.side[m] = f.sides
	}
	notice := time.Duration(0)
	if silent {
		notice = noticeTime
	}
	f.event("%d instances are cut off, silently: %v", len(members), silent)
	for _, m := range f.members {
		if m.next != nil && f.side[f.host[m.next]] != f.side[m] {
			m.next = nil
		}
		if c := m.coordinator; c != nil && f.side[f.host[c]] != f.side[m] {
			f.detach(m, notice)
			f.unaware[m] = true
			f.after(notice, func() { delete(f.unaware, m) })
		}
	}
}

func (f *cutFleet) heal() {
	f.event("the cuts heal")
	clear(f.side)
}

// kill ends a process and starts another one in its place after a time.
func (f *cutFleet) kill(m *quotaMember, away time.Duration) {
	f.event("instance %s is killed for %v", m.name, away)
	for c, host := range f.host {
		if host == m {
			f.end(c)
		}
	}
	f.detach(m, 0)
	f.dead[m] = true
	f.after(away, func() {
		f.dead[m] = false
		f.restart(m)
	})
}

// organise elects coordinators, makes one of two that reach each other step down, and makes
// instances without a coordinator join.
func (f *cutFleet) organise() {
	leading := make(map[int]*quotaCoordinator)
	var coordinators []*quotaCoordinator
	for c := range f.host {
		coordinators = append(coordinators, c)
	}
	slices.SortFunc(coordinators, func(a, b *quotaCoordinator) int {
		return 100*(f.followers(b)-f.followers(a)) + slices.Index(f.members, f.host[a]) - slices.Index(f.members, f.host[b])
	})
	for _, c := range coordinators {
		side := f.side[f.host[c]]
		if leading[side] == nil {
			leading[side] = c
			continue
		}
		if f.yielding[c] {
			continue
		}
		f.yielding[c] = true
		f.after(f.random(settleTime), func() {
			delete(f.yielding, c)
			// The other one may be gone or cut off again.
			if other := leading[side]; f.host[c] != nil && f.host[other] != nil && f.side[f.host[c]] == f.side[f.host[other]] {
				f.event("coordinator at %s steps down", f.host[c].name)
				f.end(c)
			}
		})
	}
	for _, m := range f.members {
		if f.dead[m] || f.unaware[m] || m.coordinator != nil || m.next != nil {
			continue
		}
		c := leading[f.side[m]]
		if c == nil {
			if f.rng.IntN(int(electionTime/organiseInterval)+1) > 0 {
				continue
			}
			c = f.takeOver([]*quotaMember{m})
			f.host[c], leading[f.side[m]] = m, c
			f.event("instance %s takes over", m.name)
			continue
		}
		m.next, m.joinsAt = c, f.now.Add(f.random(joinTime))
	}
}

func (f *cutFleet) followers(c *quotaCoordinator) (n int) {
	for _, m := range f.members {
		if m.coordinator == c {
			n++
		}
	}
	return n
}

const organiseInterval = 50 * time.Millisecond

// run lets the team send for a time, in requests per second, while the fleet organises itself.
func (f *cutFleet) run(d time.Duration, rate float64) {
	for until := f.now.Add(d); f.now.Before(until); {
		var due []scheduled
		f.due = slices.DeleteFunc(f.due, func(s scheduled) bool {
			if s.at.After(f.now) {
				return false
			}
			due = append(due, s)
			return true
		})
		for _, s := range due {
			s.do()
		}
		f.organise()
		f.play(organiseInterval, rate)
	}
}

// Guards against a reset, a refusal or the end of a stream that is taken for the end of the
// process behind it: both sides of a cut then grant the whole rate of a team.
func TestCutsAndKillsStayWithinTheRate(t *testing.T) {
	for seed := range uint64(cutSeeds) {
		f := newCutFleet(seed, 9+int(seed%16))
		f.run(6*time.Second, 8*f.team.Rate)
		for range 3 {
			// In any quota window at most one silent cut, and two kills.
			silent, kills := f.rng.IntN(3) == 0, f.rng.IntN(3)
			for n := range 2 + f.rng.IntN(3) {
				shuffled := slices.Clone(f.members)
				f.rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
				switch {
				case n > 0 && f.rng.IntN(3) == 0:
					f.heal()
				case n > 0 && kills > 0:
					kills--
					f.kill(shuffled[0], 200*time.Millisecond+f.random(2*time.Second))
				default:
					f.cut(shuffled[:1+f.rng.IntN(len(shuffled)-1)], silent)
					silent = false
				}
				f.run(f.random(2*time.Second), 8*f.team.Rate)
			}
			f.heal()
			f.run(testBounds.QuotaWindow+settleTime, 8*f.team.Rate)
		}
		if n := f.most(); n > f.bound() {
			t.Errorf("seed %d: %d requests in a window, bound %d; %q", seed, n, f.bound(), f.history)
		}
	}
}

// cutSeeds is how many random orders of events CI plays.
const cutSeeds = 40
