// Package owner sends requests to the backend servers that this instance owns.
// Entries forward them here: only the owner of a backend server sends requests
// to it, so its concurrency limit, queue and health state are kept in one place.
package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/slots"
)

// Network holds the calls that an owner makes to other instances.
type Network interface {
	// Report sends a health report to the instance that arbitrates ejections
	// for the service.
	Report(ctx context.Context, r *peerpb.ReportRequest) (*peerpb.ReportReply, error)
	// Dial asks a second instance whether it can connect to the address.
	Dial(ctx context.Context, address string) (connected bool, err error)
	// Handover transfers the state of a server to its next owner.
	Handover(ctx context.Context, to roster.Member, r *peerpb.HandoverRequest) (accepted bool, err error)
}

// Owner implements the drpc service Owner.
type Owner struct {
	state   *board.InstanceState
	rights  rights.View
	backend *backend.Client
	network Network
	// OnHandover, if set, is called when the previous owner has released a
	// server.
	OnHandover func(key, instance string, incarnation uint64)

	mu        sync.Mutex
	servers   map[string]*server
	baselines map[string]*serviceBaselines
	// receivedStates holds the state of servers that previous owners handed
	// over.
	receivedStates map[string]receivedState
	// unfinished holds the deadlines of requests that were still running here
	// when the ownership of their server ended.
	unfinished map[string][]time.Time
	// releasedStates holds the last state of servers that this instance owned
	// earlier.
	releasedStates map[string]slots.State
	// scannedVersion is the configuration revision and roster epoch of the
	// last complete search for servers to own.
	scannedVersion [2]uint64
	reportNow      chan struct{}
	// closing is set when the servers are handed over at shutdown.
	closing             bool
	propertiesByService map[string]serviceProperties
	propertiesRevision  uint64

	quarantineMu sync.Mutex
	quarantine   *health.Quarantine
}

// serviceBaselines holds the latency baselines that the servers of a service
// share. mu also guards the state of each of these servers.
type serviceBaselines struct {
	mu        sync.Mutex
	latencies *health.LatencyBaselines
}

// New returns an owner. If n is nil, no server is ejected.
func New(b *board.InstanceState, r rights.View, c *backend.Client, n Network) *Owner {
	return &Owner{state: b, rights: r, backend: c, network: n, servers: make(map[string]*server),
		baselines: make(map[string]*serviceBaselines), receivedStates: make(map[string]receivedState), unfinished: make(map[string][]time.Time), releasedStates: make(map[string]slots.State),
		reportNow: make(chan struct{}, 1), quarantine: health.NewQuarantine()}
}

// Stream is the server side of one Execute call.
type Stream interface {
	Context() context.Context
	Send(*peerpb.AnswerFrame) error
	Recv() (*peerpb.ExecuteFrame, error)
}

// Execute implements peerpb.DRPCOwnerServer.
func (o *Owner) Execute(stream peerpb.DRPCOwner_ExecuteStream) error { return o.Serve(stream) }

// Serve handles one forwarded request.
func (o *Owner) Serve(stream Stream) error {
	first, err := stream.Recv()
	if err != nil {
		return fmt.Errorf("receive request head: %w", err)
	}
	head := first.GetHead()
	if head == nil {
		return fmt.Errorf("first frame has no request head")
	}
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(head.DeadlineMs)*time.Millisecond)
	defer cancel()
	body := &bodyReader{stream: stream, ended: first.End}
	defer body.drain()
	if err := o.run(ctx, stream, head, body); err != nil {
		return stream.Send(&peerpb.AnswerFrame{Refusal: o.refusal(head.Server, err)})
	}
	return nil
}

func (o *Owner) refusal(server string, err error) *peerpb.Refusal {
	e := errkind.From(err)
	return &peerpb.Refusal{
		Kind:           string(e.Kind),
		NotRun:         e.EffectiveOutcome() == errkind.NotRun,
		RetryElsewhere: e.Kind == errkind.Overloaded || e.Kind == errkind.NoServer,
		RetryAfterMs:   uint64(e.RetryAfter.Milliseconds()),
		Detail:         e.Err.Error(),
		Load:           o.load(server),
	}
}

// load returns the load of a server that this instance owns.
func (o *Owner) load(id string) *peerpb.ServerLoad {
	o.mu.Lock()
	s := o.servers[id]
	o.mu.Unlock()
	if s == nil {
		return nil
	}
	return s.load(time.Now())
}

func (o *Owner) run(ctx context.Context, stream Stream, head *peerpb.ExecuteHead, body *bodyReader) error {
	srv, route, err := o.check(head)
	if err != nil {
		return err
	}
	s, err := o.server(srv)
	if err != nil {
		return err
	}
	t, err := s.acquire(ctx, head.Team, route)
	if err != nil {
		return err
	}
	// The request may have been queued for long, so all checks are repeated.
	if _, _, err := o.check(head); err != nil {
		t.end(outcome{notSent: true})
		return err
	}
	if ctx.Err() != nil {
		t.end(outcome{notSent: true})
		return errkind.Errorf(errkind.DeadlineExceededQueued, "deadline passed before the request was sent")
	}
	x := &call{o: o, s: s, t: t, head: head, srv: srv, route: route, body: body, stream: stream}
	return x.run(ctx)
}

// check repeats the checks of the entry instance against the local
// configuration, since the entry's may be older, and verifies that this
// instance owns the server.
func (o *Owner) check(head *peerpb.ExecuteHead) (document.Server, document.Route, error) {
	cfg := o.state.Config()
	srv, ok := cfg.Servers[head.Server]
	if !ok || !o.state.InService(head.Server) {
		return srv, document.Route{}, errkind.Errorf(errkind.NoServer, "server %s is not in service", head.Server)
	}
	if !o.state.Fresh() {
		return srv, document.Route{}, errkind.Errorf(errkind.StaleConfiguration, "owner cannot confirm its configuration")
	}
	if _, held := o.ownership(time.Now(), srv); !held {
		return srv, document.Route{}, errkind.Errorf(errkind.NoServer, "instance does not own server %s", srv.ID)
	}
	route, ok := cfg.Routes[head.Route]
	if !ok || route.Service != srv.Service {
		return srv, route, errkind.Errorf(errkind.NoRoute, "route %s does not exist", head.Route)
	}
	if !route.Idempotent && head.ExecutionId == "" {
		return srv, route, errkind.Errorf(errkind.ClaimUnavailable, "request has no execution identifier")
	}
	if o.isQuarantined(fingerprint(head)) {
		return srv, route, errkind.Errorf(errkind.QuarantinedRequest, "the request crashed several servers")
	}
	if route.Open {
		return srv, route, nil
	}
	key, ok := cfg.KeyByDigest(fmt.Sprintf("%x", head.KeyDigest))
	if !ok || key.Team != head.Team {
		return srv, route, errkind.Errorf(errkind.UnknownKey, "key is unknown or withdrawn")
	}
	if !route.Allows(head.Team) {
		return srv, route, errkind.Errorf(errkind.NotPermitted, "team %s may not use route %s", head.Team, route.ID)
	}
	return srv, route, nil
}

func fingerprint(head *peerpb.ExecuteHead) health.Fingerprint {
	return health.FingerprintOf(head.Team, head.Method, head.Uri, head.BodyDigest)
}

func (o *Owner) isQuarantined(f health.Fingerprint) bool {
	o.quarantineMu.Lock()
	defer o.quarantineMu.Unlock()
	return o.quarantine.Refuses(time.Now(), f)
}

// ownership returns this instance's ownership of a server and whether it is
// valid at now.
func (o *Owner) ownership(now time.Time, srv document.Server) (rights.Tenure, bool) {
	return o.rights.Tenure(now, rights.ServerKey(srv.ID), roster.Scope{FailureDomain: srv.FailureDomain})
}

// server returns the state of an owned server and creates it on first use.
func (o *Owner) server(srv document.Server) (*server, error) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if s, ok := o.servers[srv.ID]; ok {
		return s, nil
	}
	tenure, held := o.ownership(now, srv)
	if !held || o.closing {
		return nil, errkind.Errorf(errkind.NoServer, "instance does not own server %s", srv.ID)
	}
	shared := o.baselines[srv.Service]
	if shared == nil {
		shared = &serviceBaselines{latencies: health.NewLatencyBaselines()}
		o.baselines[srv.Service] = shared
	}
	cfg := o.slotConfig(srv)
	delete(o.releasedStates, srv.ID)
	s := newServer(now, srv, cfg, o.initialState(now, srv, tenure, cfg), shared, o.requestReport)
	o.servers[srv.ID] = s
	return s, nil
}

// requestReport makes reportLoop send a report at once.
func (o *Owner) requestReport() {
	select {
	case o.reportNow <- struct{}{}:
	default:
	}
}
