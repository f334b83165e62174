package simulation

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
)

const (
	// hop is the one-way delay between caller, instance, coordinator and server.
	hop = time.Millisecond
	// tickInterval is how often the coordinator ticks.
	tickInterval = 25 * time.Millisecond
	// checkDelay is how long a path check takes.
	checkDelay = 200 * time.Millisecond
	// maxSends bounds the attempts of one request.
	maxSends = 6
	// maxAttempts bounds the attempts that may have run.
	maxAttempts = 3
	// lateCredit is what a response after the latency objective is worth.
	lateCredit = 0.3
	// unsafeWorth is what a request that must not be repeated is worth, relative to one
	// that may.
	unsafeWorth = 2
	// teams is the number of teams.
	teams = 6
	// limitedTeam is the team that has a rate limit.
	limitedTeam = "t0"
)

// day is one run.
type day struct {
	e        *Environment
	d        *dispatch.Dispatcher
	rng      *rand.Rand
	base     time.Time
	now      time.Duration
	queue    events
	seq      int
	servers  map[string]*server
	byNumber []*server
	calls    map[uint64]*call
	next     uint64
	r        *Result
	audit    *audit
}

// Play runs the day of an environment under a policy.
func Play(e Environment, policy dispatch.Policy) *Result {
	y := &day{
		e: &e, rng: rand.New(rand.NewPCG(e.Seed, 2)), base: time.Unix(1_000_000, 0), servers: make(map[string]*server), calls: make(map[uint64]*call),
		r: &Result{Seed: e.Seed, Sent: make(map[dispatch.Reason]int), Lost: make(map[dispatch.Reason]int)}, audit: newAudit(&e),
	}
	y.d = dispatch.New(y.base, bounds(), &policy, e.Seed)
	y.decide(func(now time.Time) []dispatch.Decision { return y.d.SetConfig(now, y.config()) })
	for i := range instances {
		y.d.SetMember(memberName(i), domainOf(i), 1, false)
	}
	for i := range e.Servers {
		s := catalog.Server{ID: fmt.Sprintf("s%03d", i), Service: "desk", Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: domainOf(i), Slots: e.Slots}
		m := newServer(&e, s, i)
		y.servers[s.ID], y.byNumber = m, append(y.byNumber, m)
		y.decide(func(now time.Time) []dispatch.Decision { return y.d.SetServer(now, s) })
	}
	for _, x := range e.Disruptions {
		if x.Kind == Gone {
			y.at(x.To, y.returnServers)
		}
	}
	y.at(0, y.tick)
	y.at(0, y.arrive)
	for len(y.queue) > 0 {
		x := heap.Pop(&y.queue).(event)
		y.now = x.at
		x.run()
	}
	y.audit.finish(y.r)
	return y.r
}

func memberName(i int) string { return fmt.Sprintf("m%d", i) }

func domainOf(i int) string { return []string{"a", "b", "c"}[i%3] }

func (y *day) config() *catalog.Config {
	route := func(name string, kind catalog.Kind, priority int) catalog.Route {
		return catalog.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: y.e.Deadline, Objective: y.e.Objective, Priority: priority,
			MaxAttempts: maxAttempts, Services: []catalog.Share{{Service: "desk", Weight: 1}},
		}
	}
	limit := teamShare * y.e.Rate * teamHeadroom
	c := &catalog.Config{
		Version: 1, Routes: []catalog.Route{route("look", catalog.Safe, 2), route("book", catalog.Unsafe, 1)},
		Services: map[string]catalog.Service{"desk": {Name: "desk", ColdStart: y.e.ColdStart, ColdRate: y.e.ColdRate}},
		Teams:    []catalog.Team{{Name: limitedTeam, Keys: []string{"k0"}, Rate: limit, Burst: limit}},
	}
	for i := 1; i < teams; i++ {
		c.Teams = append(c.Teams, catalog.Team{Name: fmt.Sprintf("t%d", i), Keys: []string{fmt.Sprintf("k%d", i)}})
	}
	return c
}

const (
	// teamShare is the share of the arrivals that belongs to the first team, and
	// teamHeadroom its rate limit, relative to its usual rate.
	teamShare    = 0.2
	teamHeadroom = 1.5
)

func (y *day) at(at time.Duration, run func()) {
	y.seq++
	heap.Push(&y.queue, event{at: max(at, y.now), seq: y.seq, run: run})
}

// decide calls the dispatcher, measures its processor time and carries out what it
// decided.
func (y *day) decide(f func(now time.Time) []dispatch.Decision) {
	start := time.Now()
	out := f(y.base.Add(y.now))
	y.r.DispatchTime += time.Since(start)
	for _, x := range out {
		c := y.calls[x.RequestNumber]
		if c == nil || c.ended {
			if x.Permit != nil {
				y.report(x.Permit, dispatch.Unsent, 0)
			}
			continue
		}
		y.at(y.now+hop, func() {
			if x.Permit != nil {
				y.send(c, x.Permit)
			} else {
				y.refused(c, x.Refusal)
			}
		})
	}
	for _, check := range y.d.PathChecks() {
		y.at(y.now+checkDelay, func() { y.checked(check) })
	}
	y.d.Transitions()
}

func (y *day) tick() {
	y.decide(y.d.Tick)
	y.audit.checkFloor(y.now, y.byNumber)
	if y.now < y.e.Length+y.e.Deadline {
		y.at(y.now+tickInterval, y.tick)
	}
}

// checked reports the result of a path check: a server that is gone is reached from
// nowhere, any other from everywhere.
func (y *day) checked(c dispatch.PathCheck) {
	s := y.servers[c.Server]
	s.advance(y.e, y.now)
	reached, lost := c.Via, []string(nil)
	if y.now < s.goneUntil {
		reached, lost = nil, c.Via
	}
	y.decide(func(now time.Time) []dispatch.Decision { return y.d.PathsChecked(now, c, reached, lost) })
}

// returnServers reports the servers that came back as cold.
func (y *day) returnServers() {
	for _, s := range y.byNumber {
		s.advance(y.e, y.now)
		if left := s.coldUntil - y.now; left > 0 {
			in := s.Server
			in.Cold = left
			y.decide(func(now time.Time) []dispatch.Decision { return y.d.SetServer(now, in) })
		}
	}
}

// arrive lets one caller send and schedules the next one.
func (y *day) arrive() {
	if y.now >= y.e.Length {
		return
	}
	const swingPeriod = 11 * time.Second
	rate := y.e.Rate * (1 + y.e.Swing*math.Sin(2*math.Pi*y.now.Seconds()/swingPeriod.Seconds()))
	y.e.active(Burst, y.now, func(_ int, d *Disruption) { rate *= d.Factor })
	greedy := 1.0
	y.e.active(GreedyTeam, y.now, func(_ int, d *Disruption) { greedy = d.Factor })
	share := teamShare * greedy / (1 - teamShare + teamShare*greedy)
	rate *= 1 - teamShare + teamShare*greedy
	c := &call{repeatable: y.rng.Float64() < y.e.Repeatable, member: y.rng.IntN(instances), firstSent: y.now, deadline: y.now + y.e.Deadline, route: "book"}
	if c.repeatable {
		c.route = "look"
	}
	c.team = limitedTeam
	if y.rng.Float64() >= share {
		c.team = fmt.Sprintf("t%d", 1+y.rng.IntN(teams-1))
	}
	y.at(y.now+time.Duration(y.rng.ExpFloat64()/rate*float64(time.Second)), y.arrive)
	y.r.Owed += c.worth()
	y.r.Requests++
	leaves := false
	y.e.active(Leaving, y.now, func(_ int, d *Disruption) { leaves = y.rng.Float64() < d.Share })
	if leaves {
		at := y.now + time.Duration(y.rng.Float64()*float64(y.e.Objective))
		y.at(at, func() { y.leave(c) })
	}
	y.start(c)
}

// start sends an attempt of the caller.
func (y *day) start(c *call) {
	y.next++
	c.number, c.arrived = y.next, y.now
	c.tried, c.mayHaveRun, c.sends, c.reached, c.admitted = nil, 0, 0, false, false
	y.calls[c.number] = c
	y.audit.requests.count(y.now)
	y.request(c)
}

func (y *day) request(c *call) {
	y.at(y.now+hop, func() {
		y.decide(func(now time.Time) []dispatch.Decision {
			return y.d.RequestPermit(now, dispatch.PermitRequest{
				Member: memberName(c.member), Number: c.number, Domain: domainOf(c.member), Route: c.route, Team: c.team, Service: "desk",
				ExcludedServers: c.tried, Fingerprint: c.number, Deadline: y.base.Add(c.deadline), ArrivedAt: y.base.Add(c.arrived),
				IsRetry: c.reached, Admitted: c.admitted,
			})
		})
	})
}

// leave ends a call whose caller disconnects.
func (y *day) leave(c *call) {
	if c.ended {
		return
	}
	y.disown(c)
	y.d.Withdraw(memberName(c.member), c.number)
}

// disown ends a call that does not count.
func (y *day) disown(c *call) {
	c.ended = true
	y.r.Owed -= c.worth()
	y.r.Requests--
	delete(y.calls, c.number)
}

func (y *day) send(c *call, p *dispatch.Permit) {
	if c.ended || y.now >= c.deadline {
		y.report(p, dispatch.Unsent, 0)
		y.end(c, deadlinePassed)
		return
	}
	c.admitted = true
	c.tried = append(c.tried, p.Server.ID)
	c.sends++
	sent := y.now
	y.at(y.now+hop, func() {
		s := y.servers[p.Server.ID]
		limit := c.deadline - y.now
		if p.StallTimeout > 0 && c.deadline-sent > 2*p.StallTimeout {
			limit = p.StallTimeout
		}
		out := s.serve(y.e, y.now, limit)
		if out.outcome != unreachable {
			y.audit.arrived(y.now, s, c)
		}
		y.at(y.now+out.after+hop, func() { y.replied(c, p, out, y.now-sent) })
	})
}

var reported = map[outcome]dispatch.Outcome{
	served: dispatch.Served, failed: dispatch.Failed, reset: dispatch.Dropped, silent: dispatch.Stalled, shed: dispatch.Shed, unreachable: dispatch.Unreachable,
}

func (y *day) report(p *dispatch.Permit, o dispatch.Outcome, took time.Duration) {
	y.at(y.now+hop, func() {
		y.decide(func(now time.Time) []dispatch.Decision {
			return y.d.Done(now, dispatch.Report{Permit: p.Number, Server: p.Server.ID, Outcome: o, Took: took})
		})
	})
}

// replied handles the reply of a server, as an entry instance does.
func (y *day) replied(c *call, p *dispatch.Permit, out reply, took time.Duration) {
	o := reported[out.outcome]
	if c.ended {
		o = dispatch.Cancelled
	}
	y.report(p, o, took)
	if c.ended {
		return
	}
	if out.outcome == served {
		y.r.Sent[p.Basis.Reason]++
		y.end(c, answered)
		return
	}
	y.r.Sent[p.Basis.Reason]++
	if out.outcome != shed && !out.application {
		y.r.Lost[p.Basis.Reason]++
	}
	ran := out.outcome == failed || out.outcome == reset || out.outcome == silent
	if out.outcome != unreachable {
		c.reached = true
	}
	if ran {
		c.mayHaveRun++
	}
	switch {
	case out.application && !c.repeatable:
		y.r.ApplicationFailures++
		y.end(c, serverFailed)
	case ran && !c.repeatable || c.mayHaveRun >= maxAttempts || c.sends >= maxSends || y.now >= c.deadline:
		y.end(c, serverFailed)
	default:
		y.request(c)
	}
}
