package forward

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/fleet"
	"trefoilstream.example/trefoilstream/internal/ingress"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// step scripts one send: its outcome, and a response if status is set.
type step struct {
	outcome dispatch.Outcome
	status  int
	body    string
	// hang blocks until the context ends.
	hang bool
	// delay is the time before the outcome.
	delay time.Duration
}

// fakeFleet runs its steps in order, one per send.
type fakeFleet struct {
	// mu guards acquired, sent and released.
	mu    sync.Mutex
	index *catalog.Index
	// freshness is asked before each look at the index; beforeLook, if set, may change
	// both.
	freshness  fleet.Freshness
	beforeLook func(f *fakeFleet)
	// beforeAcquire, if set, may refuse a permit.
	beforeAcquire func(f *fakeFleet, r fleet.PermitRequest) error

	steps    []step
	acquired []fleet.PermitRequest
	refusal  error
	// waiting, if set, is closed by a request for a permit, which is then never granted.
	waiting chan struct{}
	stall   time.Duration
	// acquireDelay is the time until a permit other than the first one.
	acquireDelay time.Duration
	sent         []*sender.Job
	released     []dispatch.Outcome
}

func (f *fakeFleet) Index() *catalog.Index { return f.index }

func (f *fakeFleet) ConfigFreshness() fleet.Freshness {
	if f.beforeLook != nil {
		f.beforeLook(f)
	}
	return f.freshness
}

func (f *fakeFleet) Acquire(ctx context.Context, r fleet.PermitRequest) (*fleet.Permit, error) {
	f.mu.Lock()
	f.acquired = append(f.acquired, r)
	number := len(f.acquired)
	f.mu.Unlock()
	if f.beforeAcquire != nil {
		if err := f.beforeAcquire(f, r); err != nil {
			return nil, err
		}
	}
	if f.waiting != nil {
		close(f.waiting)
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if number > 1 {
		select {
		case <-time.After(f.acquireDelay):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if f.refusal != nil || number > len(f.steps) {
		if f.refusal == nil {
			return nil, &fleet.Refused{Kind: errkind.Overloaded}
		}
		return nil, f.refusal
	}
	return &fleet.Permit{Server: "s" + string(rune('0'+number)), Service: "desk", StallTimeout: f.stall}, nil
}

func (f *fakeFleet) Send(ctx context.Context, _ *fleet.Permit, j *sender.Job, reply sender.Reply) (dispatch.Outcome, error) {
	f.mu.Lock()
	f.sent = append(f.sent, j)
	s := f.steps[len(f.sent)-1]
	f.mu.Unlock()
	if s.hang {
		<-ctx.Done()
		return dispatch.Cancelled, ctx.Err()
	}
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return dispatch.Cancelled, ctx.Err()
	}
	if s.status != 0 {
		if err := reply.Head(s.status, http.Header{"X-Sig": {"x"}}, int64(len(s.body))); err != nil {
			return dispatch.Cancelled, err
		}
		if err := reply.Body([]byte(s.body)); err != nil {
			return dispatch.Cancelled, err
		}
	}
	if s.outcome == dispatch.Served || s.outcome == dispatch.Failed {
		return s.outcome, nil
	}
	return s.outcome, errors.New("scripted failure")
}

func (f *fakeFleet) Release(_ *fleet.Permit, o dispatch.Outcome, _ time.Duration, _ int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.released = append(f.released, o)
}

// plainDialect reads the key and the deadline from two headers.
type plainDialect struct{}

func (plainDialect) ReadCaller(h http.Header) dialect.CallerRequest {
	d, _ := time.ParseDuration(h.Get("Wait"))
	return dialect.CallerRequest{RequestID: "id", Key: h.Get("Key"), Deadline: d}
}
func (plainDialect) WriteRequest(http.Header, dialect.ServerRequest)          {}
func (plainDialect) ReadResponse(int, http.Header) (r dialect.ServerResponse) { return r }

type observer struct{ summaries []Summary }

func (o *observer) RequestEnded(s Summary) { o.summaries = append(o.summaries, s) }

func index() *catalog.Index {
	services := []catalog.Share{{Service: "desk", Weight: 1}}
	return catalog.NewIndex(&catalog.Config{
		Version: 1,
		Routes: []catalog.Route{
			{Name: "book", Host: "h", Prefix: "/b/", Kind: catalog.Unsafe, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Services: services},
			{Name: "look", Host: "h", Prefix: "/l/", Kind: catalog.Safe, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Services: services},
			{Name: "open", Host: "h", Prefix: "/o/", Kind: catalog.Safe, Timeout: 200 * time.Millisecond, MaxAttempts: 2, Services: services, Public: true},
		},
		Teams: []catalog.Team{{Name: "t", Keys: []string{"k"}}},
	})
}

// serveOne serves one request and returns its summary.
func serveOne(t *testing.T, f *fakeFleet, path, key string) (Summary, time.Duration) {
	t.Helper()
	f.index = index()
	o := &observer{}
	h := New(f, plainDialect{}, o)
	start := time.Now()
	h.Serve(context.Background(), &ingress.Request{
		Method: "GET", URI: path, Path: path, Host: "h", Header: http.Header{"Key": {key}}, Arrived: start,
	}, &ingress.Response{})
	if len(o.summaries) != 1 {
		t.Fatalf("the request ended %d times", len(o.summaries))
	}
	return o.summaries[0], time.Since(start)
}

// Guards against resending an unsafe request that may have run, and against a
// response that reports such a request as not run.
func TestUnsafeRequestIsSentAgainOnlyIfItDidNotRun(t *testing.T) {
	for _, c := range []struct {
		first dispatch.Outcome
		again bool
		kind  errkind.Kind
		want  errkind.Outcome
	}{
		{dispatch.Dropped, false, errkind.BackendFailed, errkind.Unknown},
		{dispatch.Stalled, false, errkind.DeadlineExceeded, errkind.Unknown},
		{dispatch.Shed, true, "", ""},
		{dispatch.Misdirected, true, "", ""},
		{dispatch.Unreachable, true, "", ""},
		{dispatch.Unsent, true, "", ""},
	} {
		f := &fakeFleet{steps: []step{{outcome: c.first}, {outcome: dispatch.Served, status: 200}}}
		s, _ := serveOne(t, f, "/b/1", "k")
		if again := len(f.sent) == 2; again != c.again || s.Kind != c.kind || s.Outcome != c.want {
			t.Errorf("after outcome %d: sent %d times, kind %q, outcome %q", c.first, len(f.sent), s.Kind, s.Outcome)
		}
	}
}

// Guards against failing a repeatable request after one server's failure, and
// against more attempts than the route allows.
func TestRepeatableRequestIsTriedTwice(t *testing.T) {
	f := &fakeFleet{steps: []step{{outcome: dispatch.Failed, status: 500}, {outcome: dispatch.Served, status: 200}}}
	if s, _ := serveOne(t, f, "/l/1", "k"); s.Status != 200 || s.Sends != 2 {
		t.Errorf("%+v", s)
	}
	if r := f.acquired[1]; !r.IsRetry || !r.Admitted || len(r.ExcludedServers) != 1 || r.Service != "desk" {
		t.Errorf("second acquire: %+v", r)
	}
	f = &fakeFleet{steps: []step{{outcome: dispatch.Dropped}, {outcome: dispatch.Dropped}, {outcome: dispatch.Served, status: 200}}}
	if s, _ := serveOne(t, f, "/l/1", "k"); len(f.sent) != 2 || s.Kind != errkind.BackendFailed {
		t.Errorf("sent %d times: %+v", len(f.sent), s)
	}
}

// Guards against replacing a backend server's own error response: it is
// returned if no further attempt is allowed.
func TestServersFailureIsPassedOn(t *testing.T) {
	f := &fakeFleet{steps: []step{{outcome: dispatch.Failed, status: 500}}}
	if s, _ := serveOne(t, f, "/b/1", "k"); s.Status != 500 || s.Kind != "" {
		t.Errorf("unsafe: %+v", s)
	}
	f = &fakeFleet{steps: []step{{outcome: dispatch.Failed, status: 500}}}
	if s, _ := serveOne(t, f, "/l/1", "k"); s.Status != 500 || s.Kind != "" {
		t.Errorf("repeatable, no second permit: %+v", s)
	}
}

// Guards against a refusal that reports "not run" although an attempt may have
// run.
func TestRefusalAfterASendPromisesNothing(t *testing.T) {
	f := &fakeFleet{steps: []step{{outcome: dispatch.Dropped}}}
	if s, _ := serveOne(t, f, "/l/1", "k"); s.Outcome != errkind.Unknown {
		t.Errorf("%+v", s)
	}
	f = &fakeFleet{refusal: &fleet.Refused{Kind: errkind.RateLimited, RetryAfter: time.Second}}
	if s, _ := serveOne(t, f, "/l/1", "k"); s.Outcome != errkind.NotRun || s.Kind != errkind.RateLimited {
		t.Errorf("%+v", s)
	}
}

// Guards against a request that exceeds its route's time limit, and against a
// stalled server that uses up all of that time.
func TestTimeLimits(t *testing.T) {
	f := &fakeFleet{steps: []step{{hang: true}}}
	if s, took := serveOne(t, f, "/b/1", "k"); s.Kind != errkind.DeadlineExceeded || took > time.Second {
		t.Errorf("after %v: %+v", took, s)
	}
	f = &fakeFleet{steps: []step{{hang: true}, {outcome: dispatch.Served, status: 200}}, stall: 20 * time.Millisecond}
	if s, _ := serveOne(t, f, "/l/1", "k"); s.Status != 200 || f.released[0] != dispatch.Stalled {
		t.Errorf("outcomes %v: %+v", f.released, s)
	}
}

// Guards against giving up the only attempt that a request has: a server is silent for a while,
// and there is no permit for another one, or it comes too late.
func TestStalledRequestIsNotGivenUpForNothing(t *testing.T) {
	slow := step{outcome: dispatch.Served, status: 200, delay: 60 * time.Millisecond}
	for name, f := range map[string]*fakeFleet{
		"refused":     {steps: []step{slow}, stall: 10 * time.Millisecond},
		"waiting":     {steps: []step{slow, {outcome: dispatch.Served, status: 200}}, stall: 10 * time.Millisecond, acquireDelay: 200 * time.Millisecond},
		"turned away": {steps: []step{slow, {outcome: dispatch.Shed}}, stall: 10 * time.Millisecond},
		"failed":      {steps: []step{slow, {outcome: dispatch.Failed, status: 500}}, stall: 10 * time.Millisecond},
	} {
		if s, _ := serveOne(t, f, "/l/1", "k"); s.Status != 200 || f.released[len(f.released)-1] != dispatch.Served {
			t.Errorf("%s: status %d after %d sends, outcomes %v; want the response of the first", name, s.Status, len(f.sent), f.released)
		}
	}
}

// Guards against accepting requests without a valid key, and against requiring
// a key on public routes.
func TestKeys(t *testing.T) {
	served := []step{{outcome: dispatch.Served, status: 200}}
	for _, c := range []struct {
		path, key string
		want      errkind.Kind
	}{
		{"/l/1", "k", ""}, {"/l/1", "", errkind.MissingKey}, {"/l/1", "other", errkind.UnknownKey},
		{"/o/1", "", ""}, {"/none", "k", errkind.NoRoute},
	} {
		f := &fakeFleet{steps: served}
		if s, _ := serveOne(t, f, c.path, c.key); s.Kind != c.want {
			t.Errorf("%s with key %q: kind %q, want %q", c.path, c.key, s.Kind, c.want)
		}
		if c.path == "/o/1" && f.sent[0].Team != "" {
			t.Errorf("a public route has team %q", f.sent[0].Team)
		}
	}
}

// Guards against a request whose key is valid by one version and whose service is that of
// another: the key was taken away while the coordinator had the newer version already.
func TestKeyAndServiceComeFromOneVersion(t *testing.T) {
	f := &fakeFleet{steps: []step{{outcome: dispatch.Served, status: 200}}}
	f.beforeAcquire = func(f *fakeFleet, r fleet.PermitRequest) error {
		if r.ConfigVersion != 1 {
			return nil
		}
		changed := *index().Config
		changed.Version = 2
		changed.Teams = []catalog.Team{{Name: "t"}}
		f.index = catalog.NewIndex(&changed)
		return &fleet.Refused{Kind: errkind.StaleConfiguration}
	}
	if s, _ := serveOne(t, f, "/b/x", "k"); s.Kind != errkind.UnknownKey || len(f.sent) > 0 {
		t.Errorf("kind %q, sent %d times, want a refusal of the key", s.Kind, len(f.sent))
	}
}

// Guards against a new route that is refused as unknown, or a new key, by an instance
// that lost its coordinator before it learned of the change: the request waits until the
// instance follows a coordinator again.
func TestLostCoordinatorRefusesNoNewRoute(t *testing.T) {
	for _, c := range []struct{ path, key string }{{"/new/x", "k"}, {"/b/x", "new"}, {"/b/x", ""}} {
		looks := 0
		f := &fakeFleet{freshness: fleet.NoCoordinator, steps: []step{{outcome: dispatch.Served, status: 200}}}
		f.beforeLook = func(f *fakeFleet) {
			if looks++; looks < 5 {
				return
			}
			changed := *index().Config
			changed.Version++
			changed.Routes[0].Public = c.key == ""
			changed.Routes = append(changed.Routes, catalog.Route{Name: "new", Host: "h", Prefix: "/new/", Kind: catalog.Safe, Services: changed.Routes[0].Services})
			changed.Teams = []catalog.Team{{Name: "t", Keys: []string{"k", "new"}}}
			f.index, f.freshness = catalog.NewIndex(&changed), fleet.ConfigCurrent
		}
		s, _ := serveOne(t, f, c.path, c.key)
		if s.Status != 200 {
			t.Errorf("%s with key %q: status %d, kind %q, want 200", c.path, c.key, s.Status, s.Kind)
		}
	}
}

// Guards against requests refused by an old configuration, and against ones held for
// long, while no instance can read the store.
func TestUnconfirmedConfigurationRefusesNothingForGood(t *testing.T) {
	for _, c := range []struct{ path, key string }{{"/new/x", "k"}, {"/b/x", "new"}} {
		s, took := serveOne(t, &fakeFleet{freshness: fleet.ConfigUnconfirmed}, c.path, c.key)
		if s.Kind != errkind.StaleConfiguration || s.Status != http.StatusServiceUnavailable {
			t.Errorf("%s with key %q: status %d, kind %q, want 503, stale_configuration", c.path, c.key, s.Status, s.Kind)
		}
		if took > configWait/2 {
			t.Errorf("%s with key %q: refused after %v, want at once", c.path, c.key, took)
		}
	}
	s, took := serveOne(t, &fakeFleet{freshness: fleet.NoCoordinator}, "/new/x", "k")
	if s.Kind != errkind.StaleConfiguration || took < configWait/2 {
		t.Errorf("without a coordinator: kind %q after %v, want stale_configuration after %v", s.Kind, took, configWait)
	}
}

// Guards against a planned stop that cuts requests off without an answer: those that wait
// for a backend server when the grace period ends, and those that connections bring after
// the load balancer has turned away, are refused as not run, and are not passed on.
func TestStoppingInstanceRefusesWhatItCannotFinish(t *testing.T) {
	summaries := func(h *Handler, o *observer) Summary {
		h.Serve(context.Background(), &ingress.Request{
			Method: "POST", URI: "/b/1", Path: "/b/1", Host: "h", Header: http.Header{"Key": {"k"}}, Arrived: time.Now(),
		}, &ingress.Response{})
		return o.summaries[len(o.summaries)-1]
	}
	f, o := &fakeFleet{index: index(), waiting: make(chan struct{})}, &observer{}
	f.index.Config.Routes[0].Timeout = 20 * time.Second
	h := New(f, plainDialect{}, o)
	go func() {
		<-f.waiting
		h.StopSending()
	}()
	if s := summaries(h, o); s.Kind != errkind.Stopping || s.Status != http.StatusServiceUnavailable || s.Outcome != errkind.NotRun || s.Took > 5*time.Second {
		t.Errorf("a waiting request ended as %q (%d, %s) after %v, want stopping, 503, not_run", s.Kind, s.Status, s.Outcome, s.Took)
	}

	f, o = &fakeFleet{index: index(), steps: []step{{outcome: dispatch.Served, status: 200}}}, &observer{}
	h = New(f, plainDialect{}, o)
	h.RefuseNew()
	if s := summaries(h, o); s.Kind != errkind.Stopping || s.Status != http.StatusServiceUnavailable || s.Outcome != errkind.NotRun || len(f.acquired) > 0 {
		t.Errorf("a late request ended as %q (%d, %s), %d permits asked for; want stopping, 503, not_run, none", s.Kind, s.Status, s.Outcome, len(f.acquired))
	}
}

// Guards against a refusal while a request is read that is logged without the request's ID, or
// with what the request holds.
func TestRefusalWhileReadingIsObserved(t *testing.T) {
	o := &observer{}
	h := New(&fakeFleet{index: index()}, plainDialect{}, o)
	h.NoteRefusal(ingress.Refusal{
		Header: http.Header{}, Err: errkind.Errorf(errkind.BadRequest, "malformed line: %q", "key secret"), Took: time.Second,
	})
	h.NoteRefusal(ingress.Refusal{Err: errkind.Errorf(errkind.InstanceFull, "memory is used up")})
	if len(o.summaries) != 2 {
		t.Fatalf("%d summaries, want 2", len(o.summaries))
	}
	bad, full := o.summaries[0], o.summaries[1]
	if bad.RequestID != "id" || bad.Kind != errkind.BadRequest || bad.Outcome != errkind.NotRun || bad.Status != 400 || bad.Took != time.Second ||
		strings.Contains(bad.Cause.Error(), "secret") || !bad.RefusedUnread {
		t.Errorf("%+v", bad)
	}
	if full.RequestID != "" || full.Kind != errkind.InstanceFull || full.Cause.Error() != "memory is used up" {
		t.Errorf("%+v", full)
	}
}
