package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/presence"
)

// quotaMember is an instance of a quotaFleet.
type quotaMember struct {
	name        string
	process     uint64
	startedAt   time.Time
	admissions  *AdmissionLog
	coordinator *quotaCoordinator
	// joinsAt is when it joins next, its coordinator if that has joined, or nobody.
	joinsAt time.Time
	next    *quotaCoordinator
	// pending holds its requests without a decision by number, with the time of sending.
	pending map[uint64]time.Time
}

type quotaCoordinator struct {
	d        *Dispatcher
	reported map[string]bool
	view     *presence.View
}

// quotaFleet plays a team that sends far more than its rate while coordinators come and go,
// with the dispatcher of each coordinator and the log of each member.
type quotaFleet struct {
	now     time.Time
	rng     *rand.Rand
	team    catalog.Team
	members []*quotaMember
	number  uint64
	// admitted holds when the team's requests were admitted.
	admitted []time.Time
	refused  int
}

func newQuotaFleet(seed uint64, members int) *quotaFleet {
	q := &quotaFleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), team: catalog.Team{Name: "t", Keys: []string{"k"}, Rate: 40, Burst: 30}}
	for i := range members {
		q.members = append(q.members, &quotaMember{name: fmt.Sprint(i), pending: make(map[uint64]time.Time)})
		q.restart(q.members[i])
	}
	return q
}

func (q *quotaFleet) restart(m *quotaMember) {
	m.process, m.startedAt, m.admissions = q.rng.Uint64(), q.now, NewAdmissionLog(testBounds.QuotaWindow)
	clear(m.pending)
}

// takeOver makes a new coordinator of all instances, which members join one after the
// other.
func (q *quotaFleet) takeOver(members []*quotaMember) *quotaCoordinator {
	var roster []string
	for _, m := range q.members {
		roster = append(roster, m.name)
	}
	c := &quotaCoordinator{
		d: New(q.now, testBounds, &testPolicy, q.rng.Uint64()), reported: make(map[string]bool), view: presence.NewView(q.now, roster, q.now),
	}
	config := testConfig()
	config.Teams = []catalog.Team{q.team}
	c.d.SetConfig(q.now, config)
	for i := range 40 {
		c.d.SetServer(q.now, catalog.Server{ID: fmt.Sprint(i), Service: "desk", Address: "x:1", Domain: "a", Slots: 1000})
	}
	q.share(c)
	for i, m := range members {
		m.next, m.joinsAt = c, q.now
		if i > 0 {
			m.joinsAt = q.now.Add(time.Duration(q.rng.IntN(300)) * time.Millisecond)
		}
	}
	return c
}

func (q *quotaFleet) leave(m *quotaMember) {
	if m.coordinator == nil {
		return
	}
	c := m.coordinator
	m.coordinator = nil
	q.notice(m, c)
}

// notice lets a coordinator know that the connection of a member has ended.
func (q *quotaFleet) notice(m *quotaMember, c *quotaCoordinator) {
	c.view.Lose(q.now, m.name)
	c.d.RemoveMember(q.now, m.name)
	q.share(c)
}

func (q *quotaFleet) join(m *quotaMember, c *quotaCoordinator) {
	m.coordinator, m.next = c, nil
	c.d.InheritAdmissions(q.now, m.process, m.admissions.Reports(q.now))
	if q.now.Sub(m.startedAt) >= testBounds.QuotaWindow {
		c.reported[m.name] = true
	}
	c.view.Join(m.name)
	c.d.SetMember(m.name, "a", 1, false)
	q.share(c)
	for n, at := range m.pending {
		q.request(m, n, at, true)
	}
}

func (q *quotaFleet) share(c *quotaCoordinator) {
	c.d.SetConnectedShare(q.now, c.view.Share(q.now))
	c.d.SetReportedShare(q.now, c.view.ShareOf(q.now, func(name string) bool { return c.reported[name] }))
}

func (q *quotaFleet) request(m *quotaMember, number uint64, at time.Time, again bool) {
	q.decide(m.coordinator, m.coordinator.d.RequestPermit(q.now, PermitRequest{
		Member: m.name, Number: number, Domain: "a", Route: "look", Team: q.team.Name, Deadline: at.Add(4 * time.Second), ArrivedAt: at, Resubmitted: again,
	}))
}

func (q *quotaFleet) decide(c *quotaCoordinator, decisions []Decision) {
	for _, x := range decisions {
		m := q.members[slices.IndexFunc(q.members, func(m *quotaMember) bool { return m.name == x.Member })]
		if m.coordinator != c {
			// The decision is lost with the connection.
			continue
		}
		delete(m.pending, x.RequestNumber)
		if x.Permit == nil {
			q.refused++
			continue
		}
		m.admissions.Count(q.now, c.d.Term(), q.team.Name)
		q.admitted = append(q.admitted, q.now)
		c.d.Done(q.now, Report{Permit: x.Permit.Number, Member: m.name, Server: x.Permit.Server.ID, Outcome: Served, Took: time.Millisecond})
	}
}

// play lets the team send for a time, in requests per second.
func (q *quotaFleet) play(d time.Duration, rate float64) {
	const step = 5 * time.Millisecond
	for until := q.now.Add(d); q.now.Before(until); {
		q.now = q.now.Add(step)
		for _, m := range q.members {
			if m.next != nil && !q.now.Before(m.joinsAt) {
				q.join(m, m.next)
			}
		}
		for expected := rate * step.Seconds(); expected > 0; expected-- {
			if q.rng.Float64() >= expected {
				continue
			}
			m := q.members[q.rng.IntN(len(q.members))]
			q.number++
			m.pending[q.number] = q.now
			if m.coordinator != nil {
				q.request(m, q.number, q.now, false)
			}
		}
		ticked := make(map[*quotaCoordinator]bool)
		for _, m := range q.members {
			if c := m.coordinator; c != nil && !ticked[c] {
				ticked[c] = true
				q.decide(c, c.d.Tick(q.now))
			}
		}
	}
}

// most returns the most requests that were admitted in a window.
func (q *quotaFleet) most() int {
	most, first := 0, 0
	for i, at := range q.admitted {
		for at.Sub(q.admitted[first]) >= testBounds.QuotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (q *quotaFleet) bound() int {
	return int((q.team.Rate*testBounds.QuotaWindow.Seconds()+q.team.Burst)*(1+testBounds.QuotaOvershoot) + testBounds.QuotaSlack)
}

// lose makes all members leave their coordinator, which is gone.
func (q *quotaFleet) lose(members []*quotaMember) {
	for _, m := range members {
		m.coordinator, m.next = nil, nil
	}
}

// Guards against a rate that each change of coordinator grants anew: coordinators are lost
// in series, alone or with some members, which start again without memory.
func TestSuccessorsStayWithinTheRate(t *testing.T) {
	for seed := range uint64(25) {
		q := newQuotaFleet(seed, 12)
		q.takeOver(q.members)
		q.play(6*time.Second, 8*q.team.Rate)
		for range 1 + q.rng.IntN(6) {
			q.lose(q.members)
			if q.rng.IntN(2) == 0 {
				for _, m := range q.members[:q.rng.IntN(len(q.members)+1)] {
					q.restart(m)
				}
			}
			q.play(time.Duration(q.rng.IntN(1000))*time.Millisecond, 8*q.team.Rate)
			q.takeOver(q.members)
			q.play(time.Duration(100+q.rng.IntN(2500))*time.Millisecond, 8*q.team.Rate)
		}
		q.play(5*time.Second, 8*q.team.Rate)
		if n := q.most(); n > q.bound() {
			t.Errorf("seed %d: %d requests in a window, bound %d", seed, n, q.bound())
		}
	}
}

// Guards against a partition in which both sides admit more than their share: the rate,
// what they admitted before, and requests whose decision was lost.
func TestBothSidesOfAPartitionStayWithinTheRate(t *testing.T) {
	for seed := range uint64(25) {
		q := newQuotaFleet(seed, 20)
		main := q.takeOver(q.members)
		q.play(6*time.Second, 8*q.team.Rate)
		cut := q.members[:1+q.rng.IntN(14)]
		var sides [][]*quotaMember
		if q.rng.IntN(2) == 0 {
			sides = append(sides, cut)
		} else {
			// Each of them is cut off from all others.
			for i := range cut {
				sides = append(sides, cut[i:i+1])
			}
		}
		lost := q.rng.IntN(2) == 0
		if lost {
			// The coordinator is on no side.
			q.lose(q.members)
			sides = append(sides, q.members[len(cut):])
		}
		q.lose(cut)
		q.play(800*time.Millisecond, 8*q.team.Rate)
		if !lost {
			for _, m := range cut {
				q.notice(m, main)
			}
		}
		for _, side := range sides {
			q.takeOver(side)
		}
		q.play(time.Duration(500+q.rng.IntN(5000))*time.Millisecond, 8*q.team.Rate)
		if lost {
			q.lose(q.members)
			q.takeOver(q.members)
		} else {
			for _, m := range cut {
				q.leave(m)
				m.next, m.joinsAt = main, q.now.Add(time.Duration(q.rng.IntN(1000))*time.Millisecond)
			}
		}
		q.play(6*time.Second, 8*q.team.Rate)
		if n := q.most(); n > q.bound() {
			t.Errorf("seed %d: %d of 20 cut off, coordinator lost %v: %d requests in a window, bound %d", seed, len(cut), lost, n, q.bound())
		}
	}
}

// Guards against a partition in which both sides admit the full rate.
func TestShareScalesTheRate(t *testing.T) {
	now := time.Unix(1000, 0)
	team := &catalog.Team{Name: "t", Rate: 100, Burst: 10}
	admitted := 0
	for _, share := range []float64{0.67, 0.33} {
		b := newBucket(now, team)
		b.restore(now, testBounds.QuotaWindow, knowledge{share: share, reported: share, startedAt: now})
		for i := range 5000 {
			if b.take(now.Add(time.Duration(i)*time.Millisecond), testBounds.QuotaWindow, share) == 0 {
				admitted++
			}
		}
	}
	if bound := 100*5 + 10 + 1; admitted > bound {
		t.Errorf("both sides admitted %d in 5 s, bound %d", admitted, bound)
	}
}

// Guards against refusing teams inside their rates when a coordinator is lost: what they did
// not use is known to its successor, and what arrived meanwhile waits.
func TestTeamInsideItsRateIsNotRefusedBySuccessors(t *testing.T) {
	refused, sent := 0, uint64(0)
	for seed := range uint64(20) {
		q := newQuotaFleet(seed, 20)
		q.takeOver(q.members)
		q.play(6*time.Second, 0.6*q.team.Rate)
		before := q.refused
		for range 2 {
			// The coordinator's own instance starts again.
			q.lose(q.members)
			q.restart(q.members[0])
			q.play(800*time.Millisecond, 0.6*q.team.Rate)
			q.takeOver(q.members)
			q.play(6*time.Second, 0.6*q.team.Rate)
		}
		refused += q.refused - before
		sent += q.number
	}
	if float64(refused) > 0.001*float64(sent) {
		t.Errorf("%d of %d requests refused, goal 0.1%%", refused, sent)
	}
}

// Guards against counting an instance's admissions again when it joins once more, and
// against not counting those of a coordinator that it followed meanwhile.
func TestAdmissionsAreInheritedOnce(t *testing.T) {
	q := newQuotaFleet(1, 2)
	m := q.members[0]
	c := q.takeOver(nil)
	c.d.SetConnectedShare(q.now, 1)
	c.d.SetReportedShare(q.now, 1)
	const first, second, other = 7, 8, 9
	for range 10 {
		m.admissions.Count(q.now, first, "t")
	}
	inherited := func() int {
		b := c.d.teams["t"]
		n := 0
		for _, s := range b.admitted.steps {
			n += int(s)
		}
		return n
	}
	for range 3 {
		c.d.InheritAdmissions(q.now, m.process, m.admissions.Reports(q.now))
	}
	if n := inherited(); n != 10 {
		t.Errorf("%d admissions after three reports of 10", n)
	}
	for range 5 {
		m.admissions.Count(q.now, second, "t")
		m.admissions.Count(q.now, c.d.Term(), "t")
		m.admissions.Count(q.now, first, "t")
	}
	c.d.InheritAdmissions(q.now, m.process, m.admissions.Reports(q.now))
	if n := inherited(); n != 20 {
		t.Errorf("%d admissions, want 20: 15 of the first coordinator, 5 of the second, none of its own", n)
	}
	c.d.InheritAdmissions(q.now, other, []AdmissionReport{{Coordinator: first, Team: "unknown", Total: 5, Steps: []uint32{5}}, {
		Coordinator: first, Team: "t", Total: 3, Steps: slices.Repeat([]uint32{1 << 31}, 1000), StepAge: -time.Hour,
	}})
	if n := inherited(); n != 23 {
		t.Errorf("%d admissions after an odd report, want 23", n)
	}
}

// Guards against requests that are kept for ever while the limits are not known, and against
// keeping those whose callers have left.
func TestRequestsWaitForTheLimitsAfterATakeover(t *testing.T) {
	q := newQuotaFleet(1, 2)
	c := q.takeOver(nil)
	d := c.d
	d.SetMember("0", "a", 1, false)
	d.SetConnectedShare(q.now, 0.25)
	ask := func(n uint64) []Decision {
		return d.RequestPermit(q.now, PermitRequest{Member: "0", Number: n, Domain: "a", Route: "look", Team: "t", Deadline: q.now.Add(2 * time.Second), ArrivedAt: q.now})
	}
	first := uint64(1)
	for out := ask(first); len(out) > 0; out = ask(first) {
		if out[0].Permit == nil {
			t.Fatalf("refused while three of four instances are unknown: %+v", out[0].Refusal)
		}
		first++
	}
	for n := first + 1; n < first+3; n++ {
		if out := ask(n); len(out) != 0 {
			t.Fatal("decided while three of four instances are unknown")
		}
	}
	d.Withdraw("0", first+1)
	q.now = q.now.Add(takeoverSettleTime)
	out := d.Tick(q.now)
	if len(out) != 2 || d.Waiting() != 0 {
		t.Fatalf("%d decisions, %d requests wait", len(out), d.Waiting())
	}
	q.now = q.now.Add(time.Second)
	if out := ask(first + 9); len(out) != 1 {
		t.Error("requests wait although the coordinator has not just taken over")
	}
}
