package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sort"
	"strconv"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// Guards against refused retries that no log line explains.
func TestSpentRetryBudgetIsReported(t *testing.T) {
	f := newFixture(t, 6)
	refused := 0
	for range 200 {
		out := f.request("look", func(r *PermitRequest) { r.IsRetry, r.Admitted = true, true })
		if len(out) == 1 && out[0].Refusal != nil {
			refused++
		}
	}
	f.d.Tick(f.now)
	spent := f.d.SpentRetryBudgets()
	if len(spent) != 1 || spent[0].Service != "desk" || spent[0].Refused != refused || refused == 0 || spent[0].Used+1 <= spent[0].Limit {
		t.Fatalf("%d retries refused, reported %+v", refused, spent)
	}
	f.now = f.now.Add(2 * spentCheckInterval)
	f.d.Tick(f.now)
	if again := f.d.SpentRetryBudgets(); len(again) != 0 {
		t.Errorf("reported without a new refusal: %+v", again)
	}
}

// retryAudit checks a service's retries against the agreed bound, as callers and servers
// see them: whichever coordinator allowed them.
type retryAudit struct {
	requests, retries []time.Time
}

// countWithin counts the times, which are sorted, after from and up to to.
func countWithin(times []time.Time, from, to time.Time) float64 {
	after := func(t time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(t) }) }
	return float64(after(to) - after(from))
}

// excess returns by how many retries the bound is exceeded in the worst window. Requests
// are those of the window, the one before it or the one half a window before it.
func (a *retryAudit) excess(b Bounds) float64 {
	worst := math.Inf(-1)
	for _, to := range a.retries {
		from := to.Add(-b.RetryWindow)
		requests := 0.0
		for _, back := range []time.Duration{0, b.RetryWindow / 2, b.RetryWindow} {
			requests = max(requests, countWithin(a.requests, from.Add(-back), to.Add(-back)))
		}
		worst = max(worst, countWithin(a.retries, from, to)-b.RetryRatio*requests-b.RetrySlack)
	}
	return worst
}

// retryStore is the store with the retry records of coordinators, whose clocks differ.
type retryStore struct {
	uses    map[string][]RetryUse
	written map[string]time.Time
}

func (s *retryStore) write(now time.Time, d *Dispatcher, address string, clockError time.Duration) {
	s.uses[address], s.written[address] = d.RetryRecord(now, address), now.Add(clockError)
}

func (s *retryStore) inherit(now time.Time, d *Dispatcher, clockError time.Duration, except string) {
	uses, ages := make(map[string][]RetryUse), make(map[string]time.Duration)
	for address, u := range s.uses {
		if address != except {
			uses[address], ages[address] = u, now.Add(clockError).Sub(s.written[address])
		}
	}
	d.InheritRetries(now, uses, ages)
}

// Guards against retries beyond the agreed budget after coordinators were lost: a
// successor that does not count what its predecessors allowed, be it one or several
// within a window, one on the same instance, or one whose clock is off. The number of
// seeds can be raised by hand with RETRY_SEEDS.
func TestSuccessorsStayWithinTheRetryBudget(t *testing.T) {
	const (
		length        = 40 * time.Second
		requestEvery  = 8 * time.Millisecond
		recordPoll    = 25 * time.Millisecond
		maxClockError = time.Second
	)
	seeds := uint64(200)
	if n, err := strconv.ParseUint(os.Getenv("RETRY_SEEDS"), 10, 32); err == nil {
		seeds = n
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		store := &retryStore{uses: make(map[string][]RetryUse), written: make(map[string]time.Time)}
		audit := &retryAudit{}
		start := time.Unix(1000, 0)
		address, clockError := "", time.Duration(0)
		var d *Dispatcher
		var lostAt, polledAt, burstFrom time.Time
		for now := start; now.Before(start.Add(length)); now = now.Add(requestEvery) {
			if d == nil || now.After(lostAt) {
				address = fmt.Sprint("instance-", rng.IntN(3))
				clockError = time.Duration(float64(maxClockError) * (2*rng.Float64() - 1))
				d = New(now, testBounds, &testPolicy, seed)
				store.inherit(now, d, clockError, "")
				lostAt = now.Add(time.Duration(rng.IntN(int(9 * time.Second))))
				// Servers turn everything away shortly before some losses.
				burstFrom = lostAt.Add(-time.Duration(rng.IntN(int(2 * time.Second))))
			}
			r := &d.pool("desk").retries
			r.countRequest(now, testBounds)
			audit.requests = append(audit.requests, now)
			for now.After(burstFrom) && r.allow(now, testBounds, d.retryShare(now)) {
				r.send(now, testBounds)
				audit.retries = append(audit.retries, now)
				if rng.IntN(4) == 0 {
					break
				}
			}
			if now.Sub(polledAt) >= recordPoll {
				polledAt = now
				if d.RetryRecordDue(now) {
					store.write(now, d, address, clockError)
				}
			}
		}
		if over := audit.excess(testBounds); over > 0 {
			t.Errorf("seed %d: %.0f retries more than agreed in %v", seed, over, testBounds.RetryWindow)
		}
	}
}

// retryDay drives coordinators at 100 requests a second and audits what they allow.
type retryDay struct {
	now   time.Time
	audit retryAudit
}

// run sends requests through each coordinator for a time. In its last part, retrying, each
// is retried for as long as the budget allows. It returns the number of retries.
func (y *retryDay) run(length, retrying time.Duration, coordinators ...*Dispatcher) (retries int) {
	for left := length; left > 0; left -= 10 * time.Millisecond {
		y.now = y.now.Add(10 * time.Millisecond)
		for _, d := range coordinators {
			r := &d.pool("desk").retries
			r.countRequest(y.now, testBounds)
			y.audit.requests = append(y.audit.requests, y.now)
			for left <= retrying && r.allow(y.now, testBounds, d.retryShare(y.now)) {
				r.send(y.now, testBounds)
				y.audit.retries = append(y.audit.retries, y.now)
				retries++
			}
		}
	}
	return retries
}

// Guards against a successor that cannot read the records and takes that for unused
// budgets, and against one that refuses all retries for good.
func TestSuccessorWithoutRecordsLeavesRoom(t *testing.T) {
	day := &retryDay{now: time.Unix(1000, 0)}
	day.run(testBounds.RetryWindow, time.Second, New(day.now, testBounds, &testPolicy, 1))
	successor := New(day.now, testBounds, &testPolicy, 2)
	successor.AwaitRetryRecords()
	almost := testBounds.RetryWindow - 20*time.Millisecond
	if n := day.run(almost, almost, successor); n == 0 {
		t.Error("no retry at all while the records cannot be read")
	}
	if n := day.run(testBounds.RetryWindow, testBounds.RetryWindow, successor); n < 100 {
		t.Errorf("%d retries in the window after that, want a full budget", n)
	}
	if over := day.audit.excess(testBounds); over > 0 {
		t.Errorf("%.0f retries more than agreed", over)
	}
}

// Guards against a coordinator that forgets the retries allowed on the other side of a
// cut: the other one has stepped down, and its members have joined.
func TestRetriesOfTheOtherSideCount(t *testing.T) {
	day := &retryDay{now: time.Unix(1000, 0)}
	remaining, other := New(day.now, testBounds, &testPolicy, 1), New(day.now, testBounds, &testPolicy, 2)
	for _, d := range []*Dispatcher{remaining, other} {
		d.SetConnectedShare(day.now, 0.5)
	}
	ownRetries := day.run(testBounds.RetryWindow/2, time.Second, remaining)
	otherRetries := day.run(testBounds.RetryWindow/4, time.Second, other)
	store := &retryStore{uses: make(map[string][]RetryUse), written: make(map[string]time.Time)}
	store.write(day.now, other, "other", 0)
	remaining.SetConnectedShare(day.now, 1)
	store.inherit(day.now, remaining, 0, "")
	used, _ := remaining.pool("desk").retries.usage(day.now, testBounds, 1)
	if otherRetries == 0 || used < float64(ownRetries+otherRetries) {
		t.Errorf("%.0f retries counted, want at least %d and the other side's %d", used, ownRetries, otherRetries)
	}
}

// Guards against an older record from a store that lost its last ones replacing what is
// known, and against a record of any age or content that breaks the count.
func TestOddRetryRecords(t *testing.T) {
	f := newFixture(t, 2)
	r := &f.d.pool("desk").retries
	inherit := func(age time.Duration, u RetryUse) float64 {
		u.Service = "desk"
		f.d.InheritRetries(f.now, map[string][]RetryUse{"other": {u}}, map[string]time.Duration{"other": age})
		used, _ := r.usage(f.now, testBounds, 1)
		return used
	}
	base, _ := r.usage(f.now, testBounds, 1)
	for name, c := range map[string]struct {
		age time.Duration
		use RetryUse
	}{
		"empty":          {0, RetryUse{}},
		"long ago":       {time.Hour, RetryUse{Retries: []uint32{500}}},
		"too many steps": {3 * testBounds.RetryWindow, RetryUse{Retries: make([]uint32, 5000), Requests: make([]uint32, 5000)}},
	} {
		if used := inherit(c.age, c.use); used != base {
			t.Errorf("%s: %g retries counted, want %g", name, used, base)
		}
	}
	if used := inherit(-time.Hour, RetryUse{Retries: []uint32{0, 30}, StepAgeMS: -5}); used != base+30 {
		t.Errorf("record from the future: %g retries counted, want %g", used, base+30)
	}
	if used := inherit(0, RetryUse{Retries: []uint32{7}, StepAgeMS: math.MaxInt64}); used != base+30 {
		t.Errorf("older record: %g retries counted, want %g as before", used, base+30)
	}
}

// Guards against retries that are counted when they are asked for and reach servers
// seconds later, together with those of the next window.
func TestRetriesCountWhenTheyAreSent(t *testing.T) {
	const (
		step        = 10 * time.Millisecond
		serviceTime = 300 * time.Millisecond
	)
	f := newFixture(t, 0)
	f.d.index.RouteByName("look").Objective = 20 * time.Second
	for i := range 20 {
		f.server(i, func(s *catalog.Server) { s.Slots = 5 })
	}
	audit := &retryAudit{}
	isRetry := make(map[uint64]bool)
	type running struct {
		permit *Permit
		until  time.Time
	}
	var inFlight []running
	receive := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Permit == nil {
				continue
			}
			if isRetry[d.RequestNumber] {
				audit.retries = append(audit.retries, f.now)
			}
			inFlight = append(inFlight, running{d.Permit, f.now.Add(serviceTime)})
		}
	}
	ask := func(route string, retry bool) {
		if !retry {
			audit.requests = append(audit.requests, f.now)
		}
		receive(f.request(route, func(r *PermitRequest) {
			r.Deadline, r.IsRetry, r.Admitted = f.now.Add(20*time.Second), retry, retry
			isRetry[r.Number] = retry
		}))
	}
	start := f.now
	for at := time.Duration(0); at < 25*time.Second; at += step {
		f.now = start.Add(at)
		for len(inFlight) > 0 && !inFlight[0].until.After(f.now) {
			p := inFlight[0].permit
			inFlight = inFlight[1:]
			receive(f.d.Done(f.now, Report{Permit: p.Number, Member: "a0", Server: p.Server.ID, Outcome: Served, Took: serviceTime}))
		}
		// More urgent requests take all slots for four seconds.
		urgent := 1
		if at >= 9*time.Second && at < 13*time.Second {
			urgent = 4
		}
		for range urgent {
			ask("book", false)
		}
		// Retries come as that begins, and once more as soon as the first ones are older
		// than the window.
		if at >= 9500*time.Millisecond && at < 10*time.Second || at > 20500*time.Millisecond && at < 22*time.Second {
			for range 20 {
				ask("look", true)
			}
		}
		receive(f.d.Tick(f.now))
	}
	waited := countWithin(audit.retries, start.Add(12*time.Second), start.Add(16*time.Second))
	if over := audit.excess(testBounds); over > 0 || waited < 100 {
		t.Errorf("%.0f retries more than agreed in %v; %.0f of %d had waited", over, testBounds.RetryWindow, waited, len(audit.retries))
	}
}

// Guards against budgets that stay spent by retries which were never sent: their callers
// have left, their instance is lost, their route is gone, or they were refused.
func TestRetriesThatAreNotSentCountNoLonger(t *testing.T) {
	for name, end := range map[string]func(f *fixture){
		"withdrawn": func(f *fixture) {
			for n := range f.next {
				f.d.Withdraw("a0", n+1)
			}
		},
		"instance lost": func(f *fixture) { f.d.RemoveMember(f.now, "a0") },
		"route gone":    func(f *fixture) { f.d.SetConfig(f.now, &catalog.Config{Version: 2}) },
		"refused":       func(f *fixture) { f.now = f.now.Add(1900 * time.Millisecond); f.d.Tick(f.now) },
	} {
		f := newFixture(t, 1)
		f.permit("book")
		f.permit("book")
		r := &f.d.pool("desk").retries
		before, _ := r.usage(f.now, testBounds, 1)
		for range 3 {
			if out := f.request("look", func(r *PermitRequest) { r.IsRetry, r.Admitted = true, true }); len(out) != 0 {
				t.Fatalf("%s: decided at once: %+v", name, out)
			}
		}
		if during, _ := r.usage(f.now, testBounds, 1); during != before+3 {
			t.Errorf("%s: %g retries counted while they wait, want %g", name, during, before+3)
		}
		end(f)
		if after, _ := r.usage(f.now, testBounds, 1); after > before {
			t.Errorf("%s: %g retries counted, %g before they were asked for", name, after, before)
		}
	}
}
