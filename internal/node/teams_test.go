package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/budget"
	"trefoilstream.example/trefoilstream/internal/claim"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/entry"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// takeoverDelay is the time from the death of a member to its successor's tenure.
const takeoverDelay = time.Second

// sharedRights assigns each right to the first ranked member that has not died.
type sharedRights struct {
	mu     sync.Mutex
	roster *roster.Roster
	died   map[string]time.Time
}

type memberRights struct {
	*sharedRights
	self roster.Member
}

func (r memberRights) Self() roster.Member { return r.self }

// rank returns the live members and when the last one before them died.
func (r *sharedRights) rank(now time.Time, key string, scope roster.Scope) (list []roster.Member, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.roster.Rank(key, scope) {
		at, dead := r.died[m.ID]
		switch {
		case !dead || now.Before(at.Add(takeoverDelay)):
			list = append(list, m)
		case len(list) == 0 && at.After(last):
			last = at
		}
	}
	return list, last
}

func (r memberRights) Rank(key string, scope roster.Scope) []roster.Member {
	list, _ := r.rank(time.Now(), key, scope)
	return list
}

func (r memberRights) Holder(key string, scope roster.Scope) (roster.Member, bool) {
	list := r.Rank(key, scope)
	if len(list) == 0 {
		return roster.Member{}, false
	}
	return list[0], true
}

func (r memberRights) Tenure(now time.Time, key string, scope roster.Scope) (rights.Tenure, bool) {
	list, last := r.rank(now, key, scope)
	if len(list) == 0 || list[0].ID != r.self.ID {
		return rights.Tenure{}, false
	}
	if last.IsZero() {
		return rights.Tenure{Founding: true}, true
	}
	return rights.Tenure{Since: last.Add(takeoverDelay)}, true
}

// instance is the part of a Node that manages rates and claims.
type instance struct {
	member  roster.Member
	budgets *budgets
	claims  *claims
	stop    context.CancelFunc
}

// startInstances runs instances in three failure domains over loopback TCP.
// via, if set, returns the address by which others reach an instance.
func startInstances(t testing.TB, n int, via func(string) string, teams ...document.Team) ([]*instance, *sharedRights) {
	t.Helper()
	shared := &sharedRights{died: make(map[string]time.Time)}
	domains := []string{"a", "b", "c"}
	cfg := &document.Document{Teams: teams}
	for _, d := range domains {
		cfg.Domains = append(cfg.Domains, document.Domain{ID: d})
	}
	var members []roster.Member
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		address := l.Addr().String()
		if via != nil {
			address = via(address)
		}
		members = append(members, roster.Member{ID: fmt.Sprint("i", i), Incarnation: 1, FailureDomain: domains[i%3], PeerAddress: address})
	}
	shared.roster = roster.New(1, members)
	var list []*instance
	for i, m := range members {
		b, pool, server := board.New(), peer.NewPool(nil), peer.NewServer(nil)
		b.SetRoster(shared.roster)
		b.SetConfig(document.NewSnapshot(1, cfg))
		view := memberRights{shared, m}
		in := &instance{member: m, budgets: newBudgets(b, view, pool), claims: newClaims(view, pool, b)}
		if err := errors.Join(server.Register(in.budgets, peerpb.DRPCBudgetDescription{}),
			server.Register(claimService{in.claims}, peerpb.DRPCClaimsDescription{})); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, listeners[i]) })
		wg.Go(func() { _ = in.budgets.run(ctx) })
		wg.Go(func() { _ = in.claims.run(ctx) })
		in.stop = func() { cancel(); wg.Wait(); _ = pool.Close() }
		t.Cleanup(in.stop)
		list = append(list, in)
	}
	return list, shared
}

// kill ends the rights of an instance and, if process is set, stops it.
func (r *sharedRights) kill(in *instance, process bool) {
	r.mu.Lock()
	r.died[in.member.ID] = time.Now()
	r.mu.Unlock()
	if process {
		in.stop()
	}
}

// TestSkewedTeamGetsItsRate guards against over-admission, and against a team
// that does not get its rate, when one entry takes all of a team's requests at
// three times its rate.
func TestSkewedTeamGetsItsRate(t *testing.T) {
	team := document.Team{ID: "t", Rate: 200, Burst: 50}
	list, _ := startInstances(t, 6, nil, team)
	var admitted atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for time.Since(start) < 3*time.Second {
		wg.Go(func() {
			if err := list[4].budgets.Admit(context.Background(), team); err == nil {
				admitted.Add(1)
			} else if kind := errkind.From(err).Kind; kind != errkind.RateLimited {
				t.Errorf("refused with %s", kind)
			}
		})
		time.Sleep(time.Second / 600)
	}
	wg.Wait()
	got, limit := float64(admitted.Load()), team.Rate*time.Since(start).Seconds()+team.Burst
	if got > limit || got < 0.9*limit {
		t.Errorf("%v admitted, want 90%% to 100%% of %v", got, limit)
	}
}

// TestStaticRates guards the baseline: one of six instances admits a sixth of the
// burst.
func TestStaticRates(t *testing.T) {
	team := document.Team{ID: "t", Rate: 0.06, Burst: 30}
	list, _ := startInstances(t, 6, nil, team)
	static, admitted := &staticRates{state: list[0].budgets.state, buckets: budget.NewShardOwner()}, 0
	for range 30 {
		if static.Admit(t.Context(), team) == nil {
			admitted++
		}
	}
	if admitted != 5 {
		t.Errorf("%d admitted of a burst of 30, want 5", admitted)
	}
}

// TestKeyRunsOnce guards against a second execution of a key that is sent through
// two instances, again after its response, and again after its owner has died.
func TestKeyRunsOnce(t *testing.T) {
	list, shared := startInstances(t, 6, nil)
	claimOf := func(key string) entry.Claim {
		return entry.Claim{Team: "t", Service: "s", Key: key, Digest: make([]byte, 32), Deadline: time.Now().Add(5 * time.Second)}
	}
	newKey := func() string { return uuid.Must(uuid.NewV7()).String() }
	ownerOf := func(key string) roster.Member {
		m, _ := list[0].claims.rights.Holder(rights.ClaimKey(claim.HashClaim("t", "s", key).Bucket()), roster.Scope{})
		return m
	}
	settled, open := newKey(), newKey()
	for ownerOf(open).ID != ownerOf(settled).ID {
		open = newKey()
	}
	// Every bucket gets an owner, and two exchanges renew the replicas' sync leases.
	time.Sleep(3 * time.Second)
	execution, _, err := list[0].claims.Begin(t.Context(), claimOf(settled))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := list[0].claims.Begin(t.Context(), claimOf(open)); err != nil {
		t.Fatal(err)
	}
	if _, _, err := list[1].claims.Begin(t.Context(), claimOf(settled)); errkind.From(err).Kind != errkind.InProgress {
		t.Errorf("second instance: %v, want %s", err, errkind.InProgress)
	}
	list[0].claims.Settle(t.Context(), claimOf(settled), execution, entry.SettleAnswered, &entry.RecordedResponse{Status: 201, Body: []byte("slip 7")})
	check := func(when string, from *instance) {
		t.Helper()
		_, recorded, err := from.claims.Begin(t.Context(), claimOf(settled))
		if err != nil || recorded == nil || string(recorded.Body) != "slip 7" {
			t.Errorf("%s: %+v, %v; want the recorded response", when, recorded, err)
		}
	}
	check("after the response", list[2])
	owner := ownerOf(settled)
	var alive *instance
	for _, in := range list {
		if in.member.ID == owner.ID {
			shared.kill(in, true)
		} else {
			alive = in
		}
	}
	check("after the owner died", alive)
	if _, recorded, err := alive.claims.Begin(t.Context(), claimOf(open)); recorded != nil || err == nil || errkind.From(err).Kind == errkind.ClaimUnavailable {
		t.Errorf("open claim after its owner died: %v, %v; want in progress or unknown", recorded, err)
	}
	if execution, _, err := alive.claims.Begin(t.Context(), claimOf(newKey())); err != nil || execution == "" {
		t.Errorf("new key after an owner died: %v", err)
	}
}

// TestHandoverOfClaims guards against a released right whose new owner doesn't
// know the claims of the old one, or treats every key as possibly claimed.
func TestHandoverOfClaims(t *testing.T) {
	list, _ := startInstances(t, 3, nil)
	time.Sleep(3 * time.Second)
	c := entry.Claim{Team: "t", Service: "s", Key: "opaque", Digest: make([]byte, 32), Deadline: time.Now().Add(time.Second)}
	execution, _, err := list[0].claims.Begin(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	list[0].claims.Settle(t.Context(), c, execution, entry.SettleAnswered, &entry.RecordedResponse{Status: 201})
	known := claim.HashClaim(c.Team, c.Service, c.Key)
	bucket := known.Bucket()
	owner, _ := list[0].claims.rights.Holder(rights.ClaimKey(bucket), roster.Scope{})
	from, to := list[owner.ID[1]-'0'].claims, list[(owner.ID[1]-'0'+1)%3].claims
	state, ok := from.release(bucket)
	if !ok {
		t.Fatal("the owner released nothing")
	}
	to.receiveHandover(bucket, state)
	tenure := rights.Tenure{Since: time.Now(), Released: true}
	to.mu.Lock()
	to.table.BeginTenure(bucket, tenure.Since, false)
	to.applyHandover(bucket, tenure)
	other := known
	other[15]++
	for hash, want := range map[claim.Hash]claim.Result{known: claim.ResultRecorded, other: claim.ResultGranted} {
		if got, _, _ := to.table.Begin(time.Now(), claim.Request{Hash: hash, Execution: claim.Execution{1}, Deadline: time.Second}); got != want {
			t.Errorf("result %d, want %d", got, want)
		}
	}
	to.mu.Unlock()
	if _, again := from.release(bucket); again {
		t.Error("the right was released twice")
	}
}
