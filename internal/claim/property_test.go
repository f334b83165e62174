package claim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// A fixed seed makes runs repeatable; -rapid.seed overrides it. Most faults in
// the protocol show only after some thousand schedules.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.checks", "20000")
}

// fleet simulates the instances of a fleet that store one bucket. Messages wait
// in copies, acks and stateReplies until a step delivers, repeats or loses them.
type fleet struct {
	rng          *rand.Rand
	now          time.Duration
	boots        uint64
	instances    []*Table
	owner        int
	since        time.Duration
	attempts     []*attempt
	copies       []sent
	acks         []sent
	stateReplies []stateReply
	granted      map[string][]*attempt
	keys         []string
}

type attempt struct {
	key       string
	owner     int
	table     *Table
	since     time.Duration
	request   Request
	acked     []string
	released  bool
	confirmed bool
}

type sent struct {
	from    *Table
	plan    CopyPlan
	attempt *attempt
	stamp   Stamp
	ok      bool
}

type stateReply struct {
	to      *Table
	sentAt  time.Time
	replica string
	state   BucketState
}

const testBucket = "abc"

func (f *fleet) clock() time.Time      { return time.Unix(1_700_000_000, 0).Add(f.now) }
func (f *fleet) tenure() time.Time     { return time.Unix(1_700_000_000, 0).Add(f.since) }
func (f *fleet) draw(n int) int        { return f.rng.IntN(n) }
func name(i int) string                { return fmt.Sprint("i", i) }
func (f *fleet) index(id string) int   { return int(id[1] - '0') }
func (f *fleet) isOwner(t *Table) bool { return f.instances[f.owner] == t }
func (f *fleet) candidates() (l []string) {
	for i := range f.instances {
		if i != f.owner {
			l = append(l, name(i))
		}
	}
	// The order changes with the roster and with failures.
	k := f.draw(len(l))
	return append(l[k:], l[:k]...)
}

func (f *fleet) start(i int) {
	f.boots++
	f.instances[i] = NewTable(name(i), 1<<20, f.boots, f.clock())
}

// uuidv7 returns a key issued at t.
func uuidv7(t time.Time) string {
	ms := uint64(t.UnixMilli())
	u := uuid.UUID{byte(ms >> 40), byte(ms >> 32), byte(ms >> 24), byte(ms >> 16), byte(ms >> 8), byte(ms), 0x70, 0, 0x80}
	return u.String()
}

func (f *fleet) claim() {
	key := f.keys[f.draw(len(f.keys))]
	owner := f.instances[f.owner]
	if !owner.BeginTenure(testBucket, f.tenure(), false) {
		f.recoverState(owner)
		return
	}
	k, _ := ParseKey(key)
	h := HashClaim("team", "service", key)
	h[0], h[1] = 0xab, 0xc0
	a := &attempt{key: key, owner: f.owner, table: owner, since: f.since, request: Request{Hash: h, Key: k,
		Execution: Execution{byte(len(f.attempts)), byte(len(f.attempts) >> 8), 1}, Deadline: time.Second}}
	if n := len(f.attempts); n > 0 && f.draw(4) == 0 {
		// A repeated message, or a retry by an entry instance that got no reply.
		old := f.attempts[f.draw(n)]
		a.key, a.request = old.key, old.request
	}
	f.attempts = append(f.attempts, a)
	if result, record, _ := owner.Begin(f.clock(), a.request); result == ResultGranted {
		f.send(owner, a, record)
	}
}

func (f *fleet) send(owner *Table, a *attempt, records ...Record) {
	for _, p := range owner.PlanCopies(f.clock(), testBucket, f.candidates(), records) {
		f.copies = append(f.copies, sent{from: owner, plan: p, attempt: a})
	}
}

func (f *fleet) recoverState(owner *Table) {
	if f.draw(6) == 0 {
		owner.StopRecovery(testBucket)
		return
	}
	i := f.draw(len(f.instances))
	if s, ok := f.instances[i].ExportState(f.clock(), testBucket); ok && i != f.owner {
		f.stateReplies = append(f.stateReplies, stateReply{owner, f.clock(), name(i), s})
	}
}

// nextMessage returns a pending message, usually the newest one; it may be
// delivered again.
func nextMessage[M any](f *fleet, list *[]M) (m M, ok bool) {
	if len(*list) == 0 {
		return m, false
	}
	i := len(*list) - 1
	if f.draw(3) == 0 {
		i = f.draw(len(*list))
	}
	m = (*list)[i]
	if f.draw(4) > 0 {
		*list = append((*list)[:i:i], (*list)[i+1:]...)
	}
	return m, true
}

func (f *fleet) step() {
	switch op := f.draw(24); {
	case op < 4:
		f.claim()
	case op < 8:
		if m, ok := nextMessage(f, &f.copies); ok {
			m.stamp, m.ok = f.instances[f.index(m.plan.Replica)].Store(f.clock(), m.plan.Copy)
			f.acks = append(f.acks, m)
		}
	case op < 11:
		if m, ok := nextMessage(f, &f.acks); ok {
			m.from.HandleCopyReply(m.plan, m.stamp, m.ok)
			if m.ok && m.attempt != nil {
				m.attempt.acked = append(m.attempt.acked, m.plan.Replica)
			}
		}
	case op < 13:
		if reply, ok := nextMessage(f, &f.stateReplies); ok {
			reply.to.AcceptState(f.clock(), reply.sentAt, testBucket, reply.replica, reply.state)
		}
	case op < 15 && len(f.attempts) > 0:
		f.confirm(f.attempts[len(f.attempts)-1-f.draw(min(3, len(f.attempts)))])
	case op == 15:
		f.settle()
	case op == 16:
		longest := 2500
		if f.draw(4) == 0 {
			longest = 8000
		}
		f.now += time.Duration(f.draw(longest)) * time.Millisecond
	case op == 17 && f.instances[f.owner].BeginTenure(testBucket, f.tenure(), false):
		f.send(f.instances[f.owner], nil)
	case op == 18:
		f.moveOwnership()
	case op >= 20:
		f.exchange()
	case op == 19 && f.draw(4) == 0:
		i := f.draw(len(f.instances))
		f.start(i)
		if i == f.owner {
			f.moveOwnership()
		}
	}
}

// exchange runs a claim or a renewal of sync leases without faults.
func (f *fleet) exchange() {
	waiting, acks := f.copies, f.acks
	f.copies, f.acks = nil, nil
	if n := len(f.attempts); f.draw(2) == 0 {
		f.claim()
		defer func() {
			if len(f.attempts) > n {
				f.confirm(f.attempts[n])
			}
		}()
	} else if f.instances[f.owner].BeginTenure(testBucket, f.tenure(), false) {
		f.send(f.instances[f.owner], nil)
	}
	for _, m := range f.copies {
		m.stamp, m.ok = f.instances[f.index(m.plan.Replica)].Store(f.clock(), m.plan.Copy)
		m.from.HandleCopyReply(m.plan, m.stamp, m.ok)
		if m.ok && m.attempt != nil {
			m.attempt.acked = append(m.attempt.acked, m.plan.Replica)
		}
		if f.draw(3) == 0 {
			waiting = append(waiting, m)
		}
	}
	f.now += time.Duration(f.draw(4)) * time.Millisecond
	f.copies, f.acks = waiting, acks
}

func (f *fleet) confirm(a *attempt) {
	if len(a.acked) == 0 || !f.isOwner(a.table) || a.since != f.since {
		return
	}
	if f.draw(4) == 0 {
		a.table.Withdraw(a.request.Hash, a.request.Execution)
		return
	}
	if a.table.Confirm(f.clock(), a.request.Hash, a.request.Execution, f.tenure(), a.acked) {
		a.confirmed = true
		f.granted[a.key] = append(f.granted[a.key], a)
	}
}

// settle ends a granted claim. A released one has not run and never will.
func (f *fleet) settle() {
	if len(f.attempts) == 0 {
		return
	}
	a := f.attempts[f.draw(len(f.attempts))]
	if !a.confirmed {
		return
	}
	o := Outcome(f.draw(3))
	owner := f.instances[f.owner]
	if o == OutcomeNotRun {
		for _, b := range f.granted[a.key] {
			b.released = b.released || b.request.Execution == a.request.Execution
		}
	}
	if r, ok := owner.Settle(f.clock(), a.request.Hash, a.request.Execution, o, &Response{Status: 200}); ok {
		f.send(owner, nil, r)
	}
}

// moveOwnership makes another instance the owner, by release or after the lease
// of the old owner has expired.
func (f *fleet) moveOwnership() {
	old := f.instances[f.owner]
	switch f.draw(3) {
	case 0:
		old.Release(f.clock(), testBucket, true)
	case 1:
		f.now += time.Duration(f.draw(4000)) * time.Millisecond
		old.Release(f.clock(), testBucket, false)
	default:
		f.now += time.Duration(f.draw(4000)) * time.Millisecond
	}
	f.owner = (f.owner + 1 + f.draw(len(f.instances)-1)) % len(f.instances)
	f.now += time.Millisecond
	f.since = f.now
}

// TestOneExecutionPerKey guards against a second run: whatever owners and replicas
// crash, pause, restart or move, and whatever messages are lost, late or repeated,
// no key has two executions that were granted and not released.
func TestOneExecutionPerKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := &fleet{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)), now: time.Hour, granted: make(map[string][]*attempt)}
		f.instances = make([]*Table, 2+f.draw(3))
		for i := range f.instances {
			f.start(i)
		}
		f.since = f.now
		f.instances[0].BeginTenure(testBucket, f.tenure(), f.draw(2) == 0)
		f.instances[0].StopRecovery(testBucket)
		f.now += time.Duration(f.draw(8000)) * time.Millisecond
		f.keys = []string{"opaque", uuidv7(f.clock()), uuidv7(f.clock().Add(CallerSkew)), uuidv7(f.clock().Add(12 * time.Second))}
		for range 10 + f.draw(140) {
			f.step()
		}
		for key, list := range f.granted {
			runs := make(map[Execution]bool)
			for _, a := range list {
				if !a.released {
					runs[a.request.Execution] = true
				}
			}
			if len(runs) > 1 {
				rt.Fatalf("key %s: %d executions granted", key, len(runs))
			}
		}
	})
}
