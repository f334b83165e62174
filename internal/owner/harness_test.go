package owner

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/backend"
	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// soleRights makes one instance the owner of everything, without an earlier
// owner.
type soleRights struct {
	mu   sync.Mutex
	lost bool
}

func (*soleRights) Self() roster.Member {
	return roster.Member{ID: "i-1", FailureDomain: "d1", Region: "r"}
}
func (r *soleRights) Holder(string, roster.Scope) (roster.Member, bool) { return r.Self(), true }
func (r *soleRights) Rank(string, roster.Scope) []roster.Member {
	return []roster.Member{r.Self(), {ID: "i-2", FailureDomain: "d1"}}
}
func (r *soleRights) Tenure(time.Time, string, roster.Scope) (rights.Tenure, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rights.Tenure{Founding: true}, !r.lost
}

// arbiterNetwork is a Network that runs the arbiter of the service in-process.
type arbiterNetwork struct {
	mu      sync.Mutex
	rules   *health.Arbiter
	crashes *health.CrashTracker
	// dials is the result of Dial.
	dials  bool
	handed []*peerpb.HandoverRequest
}

func (a *arbiterNetwork) Report(_ context.Context, r *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	reply := &peerpb.ReportReply{Held: true}
	var list []health.Report
	for _, s := range r.Servers {
		list = append(list, health.Report{Server: s.Server, Score: s.Score, Cold: s.Cold, WantsPermit: s.WantsEjection, Ejected: s.Ejected})
	}
	for _, ruling := range a.rules.Report(now, list) {
		if ruling.Granted {
			reply.Permits = append(reply.Permits, &peerpb.EjectionPermit{Server: ruling.Server, TtlMs: 5000})
		} else {
			reply.Reason = ruling.Reason
		}
	}
	for _, s := range r.Suspects {
		a.crashes.Report(now, health.Fingerprint(s.Fingerprint), s.Server)
	}
	for f := range a.crashes.Quarantined(now) {
		reply.Quarantined = append(reply.Quarantined, f[:])
		reply.QuarantinedMs = append(reply.QuarantinedMs, 60_000)
	}
	return reply, nil
}

func (a *arbiterNetwork) Dial(context.Context, string) (bool, error) { return a.dials, nil }

func (a *arbiterNetwork) Handover(_ context.Context, _ roster.Member, r *peerpb.HandoverRequest) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handed = append(a.handed, r)
	return true, nil
}

// logLines is a log handler that keeps all entries.
type logLines struct {
	mu      sync.Mutex
	entries []*log.Entry
}

// HandleLog implements log.Handler.
func (l *logLines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return nil
}

// fleet is an owner with its servers and an in-process arbiter.
type fleet struct {
	t       *testing.T
	o       *Owner
	board   *board.InstanceState
	rights  *soleRights
	network *arbiterNetwork
	logs    *logLines
	doc     *document.Document
}

const teamKey = "secret-of-"

var teams = []string{"a", "b", "c", "d"}

func digest(team string) []byte {
	sum := sha256.Sum256([]byte(teamKey + team))
	return sum[:]
}

func newFleet(t *testing.T, slots int, addresses ...string) *fleet {
	t.Helper()
	doc := &document.Document{
		Domains:  []document.Domain{{ID: "d1", Region: "r"}},
		Services: []document.Service{{ID: "svc", Floor: 0.3, RampStep: 2}},
		Routes: []document.Route{
			{ID: "q", Service: "svc", Methods: []string{"GET"}, Path: "/*", Idempotent: true},
			{ID: "b", Service: "svc", Methods: []string{"POST"}, Path: "/*"},
		},
	}
	capacity := map[string]health.Capacity{}
	for i, address := range addresses {
		id := fmt.Sprintf("s%d", i+1)
		doc.Servers = append(doc.Servers, document.Server{ID: id, Service: "svc", FailureDomain: "d1", Address: address, Slots: slots})
		capacity[id] = health.Capacity{Slots: slots, ColdSlots: 1, InService: true}
	}
	for _, team := range teams {
		doc.Teams = append(doc.Teams, document.Team{ID: team, Rate: 1000, Burst: 1000})
		doc.Keys = append(doc.Keys, document.Key{ID: team, Team: team, SHA256: fmt.Sprintf("%x", digest(team))})
	}
	f := &fleet{t: t, board: board.New(), rights: &soleRights{}, logs: &logLines{}, doc: doc,
		network: &arbiterNetwork{rules: health.NewArbiter(time.Now(), true), crashes: health.NewCrashTracker()}}
	f.network.rules.Configure(0.3, capacity)
	f.board.SetConfig(document.NewSnapshot(1, doc))
	f.board.SetFresh(true)
	log.SetHandler(f.logs)
	f.o = New(f.board, f.rights, backend.New(), f.network)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.o.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

// request is one request to a server of the fleet.
type request struct {
	server, team, route, method, uri string
	timeout                          time.Duration
	headers                          []*peerpb.Header
	body                             string
}

// response is what the entry receives for a request.
type response struct {
	status  int32
	body    string
	ended   bool
	refusal *peerpb.Refusal
	load    *peerpb.ServerLoad
}

func (f *fleet) get(server, team, uri string) response {
	return f.send(context.Background(), request{server: server, team: team, route: "q", method: "GET", uri: uri, timeout: 5 * time.Second})
}

func (f *fleet) send(ctx context.Context, r request) response {
	s := &fakeStream{ctx: ctx}
	s.frames = append(s.frames, &peerpb.ExecuteFrame{Head: &peerpb.ExecuteHead{Server: r.server, Team: r.team, Route: r.route,
		Method: r.method, Uri: r.uri, Host: "h", KeyDigest: digest(r.team), ExecutionId: "x", DeadlineMs: uint64(r.timeout.Milliseconds()),
		BodyDigest: []byte(r.body), ContentLength: int64(len(r.body)), Headers: r.headers}})
	if r.body != "" {
		s.frames = append(s.frames, &peerpb.ExecuteFrame{Body: []byte(r.body)})
	}
	s.frames = append(s.frames, &peerpb.ExecuteFrame{End: true})
	_ = f.o.Serve(s)
	if len(s.frames) > 0 {
		f.t.Errorf("%d frames left unread", len(s.frames))
	}
	return s.got
}

// fakeStream is the entry's end of an Execute call.
type fakeStream struct {
	ctx    context.Context
	frames []*peerpb.ExecuteFrame
	got    response
}

func (s *fakeStream) Context() context.Context { return s.ctx }

func (s *fakeStream) Recv() (*peerpb.ExecuteFrame, error) {
	if len(s.frames) == 0 {
		return nil, io.EOF
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	return frame, nil
}

func (s *fakeStream) Send(a *peerpb.AnswerFrame) error {
	if a.Head != nil {
		s.got.status, s.got.load = a.Head.Status, a.Head.Load
	}
	s.got.body += string(a.Body)
	s.got.ended = s.got.ended || a.End
	if a.Refusal != nil {
		s.got.refusal, s.got.load = a.Refusal, a.Refusal.Load
	}
	return nil
}

// serve starts a backend server.
func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// load sends requests of all teams to each server at the rate per server.
func (f *fleet) load(rate float64, servers ...string) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				group.Go(func() { f.get(server, teams[i%len(teams)], fmt.Sprintf("/n/%d", i)) })
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		})
	}
	return func() { cancel(); group.Wait() }
}

// event returns the first log line of an event for a server.
func (f *fleet) event(name, server string) *log.Entry {
	f.logs.mu.Lock()
	defer f.logs.mu.Unlock()
	for _, e := range f.logs.entries {
		if e.Fields["event"] == name && (server == "" || e.Fields["server"] == server) {
			return e
		}
	}
	return nil
}

func (f *fleet) waitEvent(name, server string, limit time.Duration) (*log.Entry, time.Duration) {
	start := time.Now()
	for time.Since(start) < limit {
		if e := f.event(name, server); e != nil {
			return e, time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, limit
}
