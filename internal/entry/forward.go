package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/routing"
)

// Forwarder forwards requests to the owners of backend servers.
type Forwarder struct {
	state  *board.InstanceState
	rights rights.View
	peers  *peer.Pool
	loads  *loadTable
	watch  *peerWatch

	rngMu sync.Mutex
	rng   *rand.Rand
}

// NewForwarder returns a Forwarder whose random choices depend on the seed.
func NewForwarder(b *board.InstanceState, r rights.View, p *peer.Pool, seed uint64) *Forwarder {
	f := &Forwarder{state: b, rights: r, peers: p, loads: newLoadTable(), rng: rand.New(rand.NewPCG(seed, 0))}
	f.watch = newPeerWatch(func(ctx context.Context, address string) error {
		_, err := peerpb.NewDRPCReachabilityClient(p.Conn(ctx, address)).Ping(ctx, &peerpb.PingRequest{})
		return err
	})
	return f
}

// IgnoreAvoidance makes the forwarder ignore that owners ask it to prefer other
// servers. Measurements use it as a baseline.
func (f *Forwarder) IgnoreAvoidance() { f.loads.ignoreAvoid = true }

// target is a backend server and its owner.
type target struct {
	server document.Server
	owner  roster.Member
}

// result is the outcome of one attempt.
type result struct {
	response *Response
	err      error
	// notRun is set if the attempt certainly did not run the request.
	notRun bool
	// retryElsewhere is set if another server may succeed.
	retryElsewhere bool
}

// Dispatch implements Dispatcher.
func (f *Forwarder) Dispatch(ctx context.Context, r *Request) (*Response, error) {
	f.loads.recordRequest(r.Route.Service)
	f.loads.prune(time.Now(), f.state.Config())
	tried := make(map[string]bool, routing.MaxAttempts)
	next, ok := f.choose(r.Route.Service, tried)
	if !ok {
		return nil, errkind.Errorf(errkind.NoServer, "service %s has no server in service", r.Route.Service)
	}
	mayHaveRun := false
	for number := 1; ; number++ {
		res := f.attempt(ctx, r, next)
		tried[next.server.ID] = true
		retry := f.canRetry(ctx, r, res, number)
		if retry {
			next, retry = f.choose(r.Route.Service, tried)
		}
		if !retry || f.decideRetry(ctx, r, res, number) != routing.Retry {
			return res.response, finalError(res.err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !res.notRun
		if res.response != nil {
			_ = res.response.Body.Close()
		}
	}
}

// finalError returns the error of the last attempt. If an earlier attempt may
// have run, the outcome becomes unknown, since not_run would be wrong for the
// request as a whole.
func finalError(err error, mayHaveRun bool) error {
	if err == nil || !mayHaveRun {
		return err
	}
	e := *errkind.From(err)
	e.Outcome = errkind.Unknown
	return &e
}

// canRetry reports whether a server should be chosen for another attempt.
func (f *Forwarder) canRetry(ctx context.Context, r *Request, res result, number int) bool {
	return res.retryElsewhere && number < routing.MaxAttempts && ctx.Err() == nil && (res.notRun || r.Route.Idempotent)
}

func (f *Forwarder) decideRetry(ctx context.Context, r *Request, res result, number int) routing.RetryDecision {
	deadline, _ := ctx.Deadline()
	return f.loads.decide(time.Now(), r.Route.Service, routing.Attempt{
		Number: number, NotRun: res.notRun, RetryElsewhere: res.retryElsewhere, Idempotent: r.Route.Idempotent,
		BodyConsumed: r.Body.Remaining != nil, Cancelled: errors.Is(ctx.Err(), context.Canceled), Deadline: deadline,
	})
}

var candidateLists = sync.Pool{New: func() any { return new([]routing.Candidate) }}

// choose returns a server that was not tried yet, and its owner. Servers whose
// owner does not respond are chosen only if no other server is left.
func (f *Forwarder) choose(service string, tried map[string]bool) (target, bool) {
	list := candidateLists.Get().(*[]routing.Candidate)
	defer candidateLists.Put(list)
	cfg := f.state.Config()
	floor := cfg.Services[service].Floor
	domain := f.rights.Self().FailureDomain
	now := time.Now()
	*list = f.loads.candidates(now, (*list)[:0], f.state, service, domain, tried)
	// Every iteration but the last marks a server as Excluded or Unreachable, so
	// the loop ends.
	for range 2*len(*list) + 1 {
		i, ok := f.draw(now, *list, floor)
		if !ok {
			return target{}, false
		}
		c := &(*list)[i]
		server := cfg.Servers[c.Server]
		owner, held := f.rights.Holder(rights.ServerKey(c.Server), roster.Scope{FailureDomain: server.FailureDomain})
		switch {
		case !held:
			c.Excluded = true
		case f.watch.lost(owner.PeerAddress) && !c.Unreachable:
			c.Unreachable = true
		default:
			return target{server: server, owner: owner}, true
		}
	}
	return target{}, false
}

func (f *Forwarder) draw(now time.Time, list []routing.Candidate, floor float64) (int, bool) {
	f.rngMu.Lock()
	defer f.rngMu.Unlock()
	return routing.Choose(now, f.rng, list, floor)
}

// attempt forwards the request to the owner of one server.
func (f *Forwarder) attempt(ctx context.Context, r *Request, t target) result {
	f.loads.addPending(t.server.ID, 1)
	res := f.forward(ctx, r, t)
	if res.response != nil {
		// The request occupies the server until the response body has ended.
		body := res.response.Body.(*responseBody)
		body.onClose = func() { f.loads.addPending(t.server.ID, -1) }
		return classify(r, res)
	}
	f.loads.addPending(t.server.ID, -1)
	if e := errkind.From(res.err); e.Kind == errkind.NoServer && res.notRun {
		f.loads.markUnreachable(time.Now(), t.server.ID)
	}
	return res
}
