package slots

import (
	"flag"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that runs are repeatable, unless the command line
// sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.Unix(1_700_000_000, 0)

// model drives a Server with random calls and checks its invariants after each.
type model struct {
	t        *rapid.T
	s        *Server
	now      time.Time
	requests map[uint64]Request
	queued   map[uint64]bool
	running  map[uint64]bool
	// lead[a][b] is the number of starts of team b since team a last had no queued
	// request, minus those of a.
	lead map[string]map[string]int
}

func (m *model) apply(eff Effects) {
	for _, id := range append(eff.Expired, eff.Evicted...) {
		if !m.queued[id] {
			m.t.Fatalf("request %d left the queue but was not in it", id)
		}
		delete(m.queued, id)
	}
	for _, id := range eff.Started {
		if !m.queued[id] {
			m.t.Fatalf("request %d started but was not queued", id)
		}
		m.countStart(m.requests[id].Team)
		delete(m.queued, id)
		m.started(id)
	}
}

func (m *model) started(id uint64) {
	if !m.requests[id].Deadline.After(m.now) {
		m.t.Fatalf("request %d started after its deadline", id)
	}
	m.running[id] = true
}

func (m *model) countStart(team string) {
	for a := range m.waitingTeams() {
		if m.lead[a] == nil {
			m.lead[a] = make(map[string]int)
		}
		for _, b := range teams {
			if b == a {
				continue
			}
			if team == b {
				m.lead[a][b]++
			}
			if team == a {
				m.lead[a][b] = min(0, m.lead[a][b]-1)
			}
			if m.lead[a][b] > 1 {
				m.t.Fatalf("team %s was served %d times more than waiting team %s", b, m.lead[a][b], a)
			}
		}
	}
}

func (m *model) waitingTeams() map[string]bool {
	set := make(map[string]bool)
	for id := range m.queued {
		if !m.requests[id].Bulk {
			set[m.requests[id].Team] = true
		}
	}
	return set
}

// check runs after every call: the limit is kept and no slot is idle while a
// request that may use it waits.
func (m *model) check() {
	inUse := m.s.InUse(m.now)
	if inUse > m.s.cfg.Slots {
		m.t.Fatalf("%d of %d slots in use", inUse, m.s.cfg.Slots)
	}
	waiting := m.waitingTeams()
	for team := range m.lead {
		if !waiting[team] {
			delete(m.lead, team)
		}
	}
	if inUse < m.s.Limit() && len(waiting) > 0 {
		m.t.Fatalf("%d of %d slots in use while %d teams wait", inUse, m.s.Limit(), len(waiting))
	}
	bulk := 0
	for id := range m.running {
		if m.requests[id].Bulk {
			bulk++
		}
	}
	if m.s.cfg.Shared && bulk > max(1, m.s.cfg.Slots-1) {
		m.t.Fatalf("%d bulk requests on %d slots", bulk, m.s.cfg.Slots)
	}
}

var teams = []string{"a", "b", "c", "d"}

// Guards against a start beyond the limit, a start after the deadline, an idle
// slot while a request waits, a bulk request in the last slot, and an order that
// serves one waiting team more often than another.
func TestRandomCallsKeepLimitDeadlineAndTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots:     rapid.IntRange(1, 6).Draw(t, "slots"),
			ColdSlots: rapid.IntRange(1, 2).Draw(t, "cold"),
			RampStep:  rapid.IntRange(1, 4).Draw(t, "step"),
			Shared:    rapid.Bool().Draw(t, "shared"),
		}
		state := State{Limit: rapid.IntRange(0, cfg.Slots).Draw(t, "limit")}
		if rapid.Bool().Draw(t, "unreleased") {
			state = AssumedState(cfg, epoch, 100*time.Millisecond)
		}
		m := &model{t: t, s: New(cfg, state), now: epoch, requests: map[uint64]Request{}, queued: map[uint64]bool{},
			running: map[uint64]bool{}, lead: map[string]map[string]int{}}
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			m.step()
		}
	})
}

func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(m.t, "ms")) * time.Millisecond)
	inUse := m.s.InUse(m.now)
	switch rapid.IntRange(0, 4).Draw(m.t, "call") {
	case 0, 1:
		m.acquire()
	case 2:
		m.finish()
	case 3:
		m.apply(m.s.Advance(m.now))
	case 4:
		if len(m.queued) > 0 {
			id := slices.Min(slices.Collect(maps.Keys(m.queued)))
			if !m.s.Cancel(id) {
				m.t.Fatalf("request %d could not be cancelled", id)
			}
			delete(m.queued, id)
		}
		m.apply(m.s.Advance(m.now))
	}
	// Slots in use may exceed a limit that has just fallen, but not grow.
	if after := m.s.InUse(m.now); after > max(m.s.Limit(), inUse) {
		m.t.Fatalf("slots in use rose from %d to %d with limit %d", inUse, after, m.s.Limit())
	}
	m.check()
}

func (m *model) acquire() {
	req := Request{
		Team:     rapid.SampledFrom(teams).Draw(m.t, "team"),
		Bulk:     rapid.IntRange(0, 3).Draw(m.t, "bulk") == 0,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-5, 200).Draw(m.t, "deadline")) * time.Millisecond),
	}
	id, decision, eff := m.s.Acquire(m.now, req)
	m.apply(eff)
	m.requests[id] = req
	switch decision {
	case Started:
		m.started(id)
	case Queued:
		m.queued[id] = true
	}
}

func (m *model) finish() {
	for id := uint64(1); id <= m.s.lastID; id++ {
		if !m.running[id] {
			continue
		}
		delete(m.running, id)
		m.apply(m.s.Finish(m.now, id, Completion{
			Result:  Result(rapid.IntRange(0, 4).Draw(m.t, "result")),
			Latency: time.Duration(rapid.IntRange(1, 50).Draw(m.t, "latency")) * time.Millisecond,
			Cold:    rapid.IntRange(0, 20).Draw(m.t, "declared") == 0,
		}))
		return
	}
	m.apply(m.s.Advance(m.now))
}

// Guards against starvation of small teams by one that sends ten times as many
// requests: with round robin alone the large team fills the queue and the requests
// of others are refused on arrival. Logs each team's fraction of its fair share.
func TestFloodingTeamDoesNotReduceTheShareOfOthers(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 1))
	s := New(Config{Slots: 2, ColdSlots: 1, RampStep: 10}, State{Limit: 2})
	ends := map[uint64]time.Time{}
	teamOf := map[uint64]string{}
	starts := map[string]int{}
	now := epoch
	begin := func(id uint64) {
		starts[teamOf[id]]++
		ends[id] = now.Add(time.Duration(10+r.IntN(20)) * time.Millisecond)
	}
	for range 200_000 {
		now = now.Add(time.Millisecond)
		for id, end := range ends {
			if !end.After(now) {
				delete(ends, id)
				for _, next := range s.Finish(now, id, Completion{Latency: 20 * time.Millisecond}).Started {
					begin(next)
				}
			}
		}
		for i, team := range teams {
			// Two slots of 20 ms serve 0.1 requests per ms; the fair
			// share of each of four teams is 0.025.
			rate := 0.05
			if i == 0 {
				rate = 0.5
			}
			if r.Float64() >= rate {
				continue
			}
			id, decision, eff := s.Acquire(now, Request{Team: team, Deadline: now.Add(2 * time.Second)})
			teamOf[id] = team
			if decision == Started {
				begin(id)
			}
			for _, next := range eff.Started {
				begin(next)
			}
		}
	}
	total := 0
	for _, n := range starts {
		total += n
	}
	for _, team := range teams {
		share := float64(starts[team]) / (float64(total) / float64(len(teams)))
		t.Logf("team %s: %.3f of its fair share", team, share)
		if share < 0.95 {
			t.Errorf("team %s got %.3f of its fair share", team, share)
		}
	}
}

// Guards against a new owner that fills a server on which the requests of a
// fenced predecessor still run, and against starting such a server warm.
func TestUnreleasedPredecessorHoldsEverySlotUntilItsTimeout(t *testing.T) {
	cfg := Config{Slots: 4, ColdSlots: 1, RampStep: 10}
	s := New(cfg, AssumedState(cfg, epoch, 10*time.Second))
	req := Request{Team: "a", Deadline: epoch.Add(20 * time.Second)}
	if _, d, _ := s.Acquire(epoch.Add(9999*time.Millisecond), req); d != Queued {
		t.Fatalf("decision %v before the predecessor's timeout, want Queued", d)
	}
	if want := epoch.Add(10 * time.Second); !s.NextAdvance().Equal(want) {
		t.Fatalf("next advance at %v, want %v", s.NextAdvance(), want)
	}
	if eff := s.Advance(epoch.Add(10 * time.Second)); len(eff.Started) != 1 {
		t.Fatalf("%d started after the timeout, want 1", len(eff.Started))
	}
	if s.Limit() != 1 {
		t.Fatalf("limit %d, want the cold limit", s.Limit())
	}
}

func warm(t *testing.T, s *Server) time.Time {
	t.Helper()
	now := epoch
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		sendOne(t, s, now, Completion{Latency: 10 * time.Millisecond})
	}
	if s.Cold() {
		t.Fatal("server is cold after 100 healthy responses")
	}
	return now
}

func sendOne(t *testing.T, s *Server, now time.Time, c Completion) Effects {
	t.Helper()
	id, d, _ := s.Acquire(now, Request{Team: "a", Deadline: now.Add(time.Second)})
	if d != Started {
		t.Fatalf("decision %v on an idle server", d)
	}
	return s.Finish(now, id, c)
}

// Guards against a server that has become cold and keeps its full load, and
// against one slow response that lowers the limit.
func TestWarmServerTurnsCold(t *testing.T) {
	slow := Completion{Latency: 40 * time.Millisecond}
	for name, c := range map[string]Completion{"slow responses": slow, "shed requests": {Result: Shed}} {
		s := New(Config{Slots: 4, ColdSlots: 1, RampStep: 10}, State{})
		now := warm(t, s)
		for i := range coldStreak {
			if s.Cold() {
				t.Fatalf("%s: cold after %d", name, i)
			}
			turned := sendOne(t, s, now, c).TurnedCold
			if turned != (i == coldStreak-1) {
				t.Fatalf("%s: turned cold %v at number %d", name, turned, i)
			}
		}
		if s.Limit() != 1 {
			t.Fatalf("%s: limit %d, want 1", name, s.Limit())
		}
	}
	s := New(Config{Slots: 4, ColdSlots: 1, RampStep: 10}, State{})
	now := warm(t, s)
	if !sendOne(t, s, now, Completion{Latency: 10 * time.Millisecond, Cold: true}).TurnedCold || s.Limit() != 1 {
		t.Fatal("a declared cold start left the limit unchanged")
	}
}

// Guards against a lasting change of the workload, here four times slower, that
// keeps a server at its cold limit forever.
func TestBaselineFollowsALastingChange(t *testing.T) {
	s := New(Config{Slots: 4, ColdSlots: 1, RampStep: 10}, State{})
	now := warm(t, s)
	n := 0
	for ; n < 1000 && (n < coldStreak || s.Cold()); n++ {
		sendOne(t, s, now, Completion{Latency: 40 * time.Millisecond})
	}
	t.Logf("back at the full limit after %d responses", n)
	if s.Cold() {
		t.Fatal("the server is still cold after 1000 responses")
	}
}

// Guards against false cold starts: with a log-normal latency of sigma 0.6, a
// healthy server may turn cold at most once in a million responses.
func TestLatencySpreadDoesNotTurnAServerCold(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 9))
	s := New(Config{Slots: 4, ColdSlots: 1, RampStep: 10}, State{})
	now, turned := warm(t, s), 0
	for range 1_000_000 {
		if sendOne(t, s, now, Completion{Latency: logNormal(r, 10*time.Millisecond, 0.6)}).TurnedCold {
			turned++
		}
	}
	t.Logf("turned cold %d times in 1,000,000 healthy responses", turned)
	if turned > 1 {
		t.Fatalf("turned cold %d times, want at most 1", turned)
	}
}

// Guards against a server of long downloads that stays at its cold limit: ten
// responses of 16 s each would take minutes.
func TestStreamingRaisesTheLimit(t *testing.T) {
	s := New(Config{Slots: 4, ColdSlots: 1, RampStep: 10}, State{})
	req := Request{Team: "a", Deadline: epoch.Add(time.Minute)}
	id, _, _ := s.Acquire(epoch, req)
	second, d, _ := s.Acquire(epoch, req)
	if d != Queued {
		t.Fatalf("decision %v at the cold limit", d)
	}
	s.Progress(epoch, id)
	if eff := s.Progress(epoch.Add(10*StreamCreditInterval-1), id); len(eff.Started) != 0 {
		t.Fatal("started before ten periods of streaming")
	}
	if eff := s.Progress(epoch.Add(10*StreamCreditInterval), id); len(eff.Started) != 1 || eff.Started[0] != second {
		t.Fatalf("effects %+v after ten periods of streaming", eff)
	}
}

func logNormal(r *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*r.NormFloat64()))
}

// BenchmarkQueue measures one queued request: acquire, finish of another, start.
func BenchmarkQueue(b *testing.B) {
	s := New(Config{Slots: 4, ColdSlots: 4, RampStep: 10}, State{Limit: 4})
	var order []uint64
	now := epoch
	for i := range 20 {
		id, _, _ := s.Acquire(now, Request{Team: teams[i%4], Deadline: now.Add(time.Hour)})
		order = append(order, id)
	}
	order = order[:4]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		s.Acquire(now, Request{Team: teams[i%4], Deadline: now.Add(time.Hour)})
		eff := s.Finish(now, order[0], Completion{Latency: 10 * time.Millisecond})
		order = append(order[1:], eff.Started...)
	}
}
