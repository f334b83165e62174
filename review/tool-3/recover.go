package main

import "time"

func init() { cases["11"] = playRecovery }

// Figures of the case, all from the users' pages.
const (
	// storeAway is how long the store is down, downFor how long the machines are.
	storeAway = 4500 * time.Millisecond
	downFor   = time.Second
	// recovery is the bound of the rule.
	recovery = 15 * time.Second
)

// playRecovery kills all instances at once, with trouble while the store is down for some
// seconds, and looks whether requests are served again.
func playRecovery(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("desk", 6, 2, 20*time.Millisecond) || !p.addBackends("board", 6, 2, 20*time.Millisecond) || !p.startFleet(6) {
		return cannotRun
	}
	before := p.serve("before the fault", 3*time.Second)
	if p.trouble {
		p.store.setBusy(true)
		p.printf("the store is down: it responds with 503")
		time.AfterFunc(storeAway, func() {
			p.store.setBusy(false)
			p.printf("the store serves again")
		})
		time.Sleep(500 * time.Millisecond)
	}
	p.fleet.killAll()
	p.printf("all instances are killed")
	time.Sleep(downFor)
	if err := p.fleet.startAll(); err != nil {
		return cannotRun
	}
	p.printf("all instances are started again")
	time.Sleep(max(downFor, storeAway) + recovery)
	p.printf("%d of %d instances are ready", p.fleet.readyCount(), len(p.fleet.instances))
	after := p.serve("later than recovery after the fault", 10*time.Second)
	if before < 0.25 {
		return cannotRun
	}
	if after < 0.25 {
		return broken
	}
	return held
}

// serve sends requests to all instances for some time and returns the share that is served.
func (p *play) serve(when string, d time.Duration) float64 {
	c := newClient(4)
	results := make(chan answer, 1000)
	n := 0
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		i := p.fleet.instances[n%len(p.fleet.instances)]
		n++
		go func() { results <- ask(c, i.callers, http200Method, "/look/1", 2*time.Second) }()
	}
	served, statuses := 0, make(map[int]int)
	for range n {
		a := <-results
		statuses[a.status]++
		if a.status == 200 && a.signed && a.err == nil {
			served++
		}
		p.printf("request %s sent at %.3f, answered at %.3f with %d %v", a.id, p.at(a.sent), p.at(a.got), a.status, a.err)
	}
	p.printf("%s: %d of %d requests are served; answers by status %v", when, served, n, statuses)
	return float64(served) / float64(n)
}

const http200Method = "GET"
