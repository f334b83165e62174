package budget

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation runs entry instances and shard owners with one clock per instance.
// True time is the time since start; an instance sees it with an offset.
type simulation struct {
	rng     *rand.Rand
	start   time.Time
	now     time.Duration
	queue   events
	serial  int
	entries []*simEntry
	// owners[shard] are the successive owners of the shard.
	owners [][]*simOwner
	teams  []Team
	spends map[string][]time.Duration
	// net returns the one-way delays of copies of a message; none if lost.
	net func(entry, shard int) []time.Duration
	// refused is called for each refusal.
	refused  func(team string, arrived time.Duration)
	acquires int
	// timeout is when an entry instance gives up on an acquire request.
	timeout time.Duration
}

type simEntry struct {
	*Limiter
	offset      time.Duration
	pausedUntil time.Duration
	waiting     map[string][]*simRequest
}

type simRequest struct {
	Request
	arrived time.Duration
	done    bool
	polls   int
}

// simOwner owns a shard of every team from since until end.
type simOwner struct {
	*ShardOwner
	offset, since, end time.Duration
	// failsAt is the time from which the owner no longer replies.
	failsAt time.Duration
	// limits replace those of the teams from changed on, if set.
	limits  Limits
	changed time.Duration
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const forever = 1000 * time.Hour

func newSimulation(seed uint64, entries, shards int, teams ...Team) *simulation {
	w := &simulation{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		start:   time.Unix(1_700_000_000, 0),
		spends:  make(map[string][]time.Duration),
		timeout: AcquireTimeout,
	}
	for range entries {
		w.entries = append(w.entries, &simEntry{Limiter: NewLimiter(), offset: w.offset(), waiting: make(map[string][]*simRequest)})
	}
	for range shards {
		w.owners = append(w.owners, []*simOwner{{ShardOwner: NewShardOwner(), offset: w.offset(), since: -time.Hour, end: forever, failsAt: forever}})
	}
	for _, tm := range teams {
		tm.Shards = shards
		w.teams = append(w.teams, tm)
	}
	// One instance in the same failure domain, the rest 1.5 ms away.
	w.net = func(entry, shard int) []time.Duration {
		if entry%shards == shard {
			return []time.Duration{w.between(100, 300)}
		}
		return []time.Duration{w.between(1500, 2000)}
	}
	w.refused = func(string, time.Duration) {}
	return w
}

func (w *simulation) offset() time.Duration {
	return time.Duration(w.rng.Int64N(int64(100 * time.Hour)))
}

func (w *simulation) between(lo, hi int64) time.Duration {
	return time.Duration(lo+w.rng.Int64N(hi-lo+1)) * time.Microsecond
}

func (w *simulation) at(t time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{max(t, w.now), w.serial, run})
}

// on runs f at an entry, after its pause if it is paused.
func (w *simulation) on(e *simEntry, t time.Duration, f func()) {
	w.at(t, func() {
		if e.pausedUntil > w.now {
			w.on(e, e.pausedUntil, f)
			return
		}
		f()
	})
}

func (w *simulation) clock(offset time.Duration) time.Time { return w.start.Add(w.now + offset) }

func (w *simulation) run(until time.Duration) {
	for i := range w.entries {
		for t := time.Duration(0); t < until; t += 50 * time.Millisecond {
			w.on(w.entries[i], t, func() { w.sendAll(i, w.entries[i].Sweep(w.clock(w.entries[i].offset))) })
		}
	}
	for t := time.Duration(0); t < until; t += time.Second {
		w.at(t, func() {
			for _, list := range w.owners {
				for _, o := range list {
					o.Evict(w.clock(o.offset))
				}
			}
		})
	}
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > until {
			return
		}
		w.now = e.at
		e.run()
	}
}

func (w *simulation) arrive(t time.Duration, entry, team int) {
	w.on(w.entries[entry], t, func() { w.poll(entry, team, &simRequest{arrived: t}) })
}

func (w *simulation) poll(entry, team int, r *simRequest) {
	e, tm := w.entries[entry], w.teams[team]
	if r.done {
		return
	}
	tm.PreferredShard = entry % tm.Shards
	d := e.Poll(w.clock(e.offset), tm, &r.Request)
	w.sendAll(entry, d.Acquires)
	switch d.State {
	case Admitted:
		r.done = true
		w.spends[tm.ID] = append(w.spends[tm.ID], w.now)
	case Refused:
		r.done = true
		w.refused(tm.ID, r.arrived)
	case Waiting:
		if !slices.Contains(e.waiting[tm.ID], r) {
			e.waiting[tm.ID] = append(e.waiting[tm.ID], r)
		}
		r.polls++
		polls := r.polls
		w.on(e, w.now+d.Until.Sub(w.clock(e.offset)), func() {
			if r.polls == polls {
				w.poll(entry, team, r)
			}
		})
	}
}

func (w *simulation) sendAll(entry int, acquires []AcquireRequest) {
	for _, a := range acquires {
		w.send(entry, a)
	}
}

func (w *simulation) send(entry int, a AcquireRequest) {
	e := w.entries[entry]
	w.acquires++
	for _, d := range w.net(entry, a.Shard) {
		w.at(w.now+d, func() { w.receive(entry, a) })
	}
	w.on(e, w.now+w.timeout, func() {
		e.HandleFailure(w.clock(e.offset), a)
		w.wake(entry, a.Team)
	})
}

// receive lets every owner that is alive reply, since an entry instance may have
// any of them as its view of the current owner.
func (w *simulation) receive(entry int, a AcquireRequest) {
	e := w.entries[entry]
	for _, o := range w.owners[a.Shard] {
		if w.now >= o.failsAt || w.now < o.since || w.now >= o.end {
			continue
		}
		var lim Limits
		for _, tm := range w.teams {
			if tm.ID == a.Team {
				lim = tm.Limits.Split(tm.Shards)
			}
		}
		if o.limits.Rate > 0 && w.now >= o.changed {
			lim = o.limits.Split(len(w.owners))
		}
		src := Source{Instance: string(rune('a' + entry)), Incarnation: 1}
		r := o.Acquire(w.clock(o.offset), w.start.Add(o.since+o.offset), lim, src, a)
		for _, d := range w.net(entry, a.Shard) {
			w.on(e, w.now+d, func() {
				e.HandleReply(w.clock(e.offset), a, r)
				w.wake(entry, a.Team)
			})
		}
	}
}

func (w *simulation) wake(entry int, id string) {
	e := w.entries[entry]
	list := e.waiting[id]
	e.waiting[id] = nil
	for _, r := range list {
		for i, tm := range w.teams {
			if tm.ID == id {
				w.poll(entry, i, r)
			}
		}
	}
}

// poisson schedules arrivals at the given rate; pick chooses the entry instance.
func (w *simulation) poisson(team int, rate float64, until time.Duration, pick func() int) (arrivals []time.Duration) {
	for t := time.Duration(0); ; {
		t += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
		if t >= until {
			return arrivals
		}
		arrivals = append(arrivals, t)
		w.arrive(t, pick(), team)
	}
}

// bursts schedules groups of arrivals at random times.
func (w *simulation) bursts(team int, load float64, until time.Duration) {
	tm := w.teams[team]
	for t := time.Duration(0); t < until; {
		n := 1 + w.rng.IntN(int(2*tm.Burst)+1)
		for range n {
			w.arrive(t+w.between(0, 20_000), w.rng.IntN(len(w.entries)), team)
		}
		t += time.Duration(w.rng.ExpFloat64() * float64(n) / (tm.Rate * load) * float64(time.Second))
	}
}

// bucket is the token bucket whose decisions the fleet as a whole should
// approximate.
type bucket struct {
	Limits
	level float64
	at    time.Duration
}

func (b *bucket) take(t time.Duration) float64 {
	b.level = min(b.Burst, b.level+b.Rate*(t-b.at).Seconds())
	b.at = t
	b.level--
	return b.level
}

// excess returns how far the spends exceed rate x window + burst over their
// worst window, in tokens; zero or less if they never do.
func excess(l Limits, spends []time.Duration) float64 {
	b := bucket{Limits: l, level: l.Burst}
	worst := 0.0
	for _, t := range spends {
		worst = max(worst, -b.take(t))
	}
	return worst
}
