package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/standin"
)

const (
	// maxInFlight bounds the callers' concurrent requests. Arrivals above it
	// are not sent but counted as dropped, so that a fleet that responds too
	// slowly is reported as overloaded instead of being measured.
	maxInFlight = 4000
	// callerTimeoutMargin is how long a caller waits beyond the route's timeout.
	callerTimeoutMargin = 2 * time.Second
	// duplicateShare is the share of non-idempotent requests that are sent
	// twice at once with the same Idempotency-Key.
	duplicateShare = 0.1
	// bulkBytes is the size of a bulk response.
	bulkBytes = 256 << 10
	// drainTimeout is how long a load that has ended waits for responses. Later
	// ones count as failed. It exceeds the timeouts of the routes for
	// look-ups and bookings.
	drainTimeout = 12 * time.Second
	// errorBody makes a backend server respond with 500 (see
	// standin.Behaviour.ErrorBody).
	errorBody = "malformed manifest"
)

// Record is one request as its caller saw it.
type Record struct {
	Tag, Team, Key string
	IdempotencyKey string
	Class          document.Class
	// At is the scheduled time of the request since the start of the load,
	// Took the time from then to the end of the response.
	At, Took time.Duration
	Status   int
	Kind     errkind.Kind
	// Outcome is empty if the response came from a backend server.
	Outcome errkind.Outcome
	Server  string
	// Instance is the ID of the instance that the request was last sent to.
	Instance string
	// Err is set if no complete response arrived, Wrong if one arrived that
	// does not belong to this request.
	Err, Wrong error
	// Malformed marks requests that are meant to fail.
	Malformed bool
}

// good reports whether the caller got a successful response from a backend
// server.
func (r *Record) good() bool {
	return r.Err == nil && r.Wrong == nil && r.Outcome == "" && r.Status >= 200 && r.Status < 300
}

// refused reports whether the fleet reported that the request did not run.
func (r *Record) refused() bool { return r.Err == nil && r.Outcome == errkind.NotRun }

// TeamLoad is the load that one team generates.
type TeamLoad struct {
	ID, Key string
	// PerSecond is the mean rate of a Poisson arrival process.
	PerSecond float64
	// Malformed sends requests that make backend servers respond with errors.
	Malformed bool
}

// RouteShare is the share of requests that go to a route.
type RouteShare struct {
	Route document.Route
	Share float64
}

// Load generates an open-loop load of several teams: it does not wait for
// responses, so that slow ones do not reduce the rate.
type Load struct {
	fleet    *Fleet
	balancer *balancer
	mix      []RouteShare
	start    time.Time

	mu      sync.Mutex
	teams   map[string]*TeamLoad
	records []Record
	rng     *rand.Rand

	// requestContext ends when the load gives up waiting for responses.
	requestContext context.Context
	cancelRequests context.CancelFunc
	connections    connectionPool
	inFlight       atomic.Int64
	// Dropped counts arrivals above maxInFlight.
	Dropped atomic.Int64
	wg      sync.WaitGroup
}

// NewLoad returns a load that has not started.
func NewLoad(f *Fleet, teams []TeamLoad, mix []RouteShare, seed uint64) *Load {
	l := &Load{
		fleet: f, balancer: newBalancer(f), mix: mix, start: time.Now(),
		teams: make(map[string]*TeamLoad), rng: rand.New(rand.NewPCG(seed, 1)),
	}
	l.requestContext, l.cancelRequests = context.WithCancel(context.Background())
	for _, t := range teams {
		l.teams[t.ID] = &t
	}
	return l
}

// Run sends requests until ctx ends and waits for the responses.
func (l *Load) Run(ctx context.Context) {
	health, stop := context.WithCancel(context.Background())
	defer stop()
	go l.balancer.run(health)
	for id := range l.teams {
		l.wg.Go(func() { l.arrivals(ctx, id) })
	}
	<-ctx.Done()
	// Requests on routes with longer timeouts are cancelled.
	giveUp := time.AfterFunc(drainTimeout, l.cancelRequests)
	defer giveUp.Stop()
	l.wg.Wait()
	l.connections.close()
}

// Set changes the load that a team generates.
func (l *Load) Set(team string, change func(*TeamLoad)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l.teams[team])
}

// Now returns the time since the start of the load.
func (l *Load) Now() time.Duration { return time.Since(l.start) }

// Records returns the finished requests.
func (l *Load) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

func (l *Load) arrivals(ctx context.Context, id string) {
	due := l.Now()
	for {
		l.mu.Lock()
		team := *l.teams[id]
		interval := time.Duration(l.rng.ExpFloat64() / max(team.PerSecond, 0.01) * float64(time.Second))
		route := l.drawRoute()
		duplicate := !route.Idempotent && l.rng.Float64() < duplicateShare
		l.mu.Unlock()
		due += interval
		select {
		case <-ctx.Done():
			return
		case <-time.After(due - l.Now()):
		}
		key := ""
		if !route.Idempotent {
			key = uuid.Must(uuid.NewV7()).String()
		}
		l.send(team, route, due, key)
		if duplicate {
			l.send(team, route, due, key)
		}
	}
}

// drawRoute picks a route at random according to the shares. The caller holds
// mu.
func (l *Load) drawRoute() document.Route {
	x := l.rng.Float64()
	for _, s := range l.mix {
		if x -= s.Share; x < 0 {
			return s.Route
		}
	}
	return l.mix[0].Route
}

func (l *Load) send(team TeamLoad, route document.Route, due time.Duration, key string) {
	if l.inFlight.Add(1) > maxInFlight {
		l.inFlight.Add(-1)
		l.Dropped.Add(1)
		return
	}
	l.wg.Go(func() {
		defer l.inFlight.Add(-1)
		r := l.request(team, route, due, key)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.records = append(l.records, r)
	})
}

func (l *Load) request(team TeamLoad, route document.Route, due time.Duration, key string) Record {
	r := Record{
		Tag: uuid.NewString(), Team: team.ID, Key: team.Key, IdempotencyKey: key, Class: route.ClassOrDefault(), At: due, Malformed: team.Malformed,
	}
	ctx, cancel := context.WithTimeout(l.requestContext, route.TimeLimit()+callerTimeoutMargin)
	defer cancel()
	excluded := make(map[*Instance]bool)
	for {
		i := l.balancer.pick(excluded)
		r.Instance = i.ID
		req, err := newRequest(ctx, i.CallerAddress, route, &r, team.Malformed)
		if err != nil {
			r.Err = err
			return r
		}
		resp, err := l.connections.do(ctx, i.CallerAddress, req, func(resp *http.Response) error { return r.read(resp) })
		// Like a load balancer, tries another instance if no connection could
		// be established.
		if errors.Is(err, errNotConnected) && len(excluded) < len(l.fleet.Instances)-1 && ctx.Err() == nil {
			excluded[i] = true
			continue
		}
		r.Err = err
		if resp != nil {
			r.Status, r.Server = resp.StatusCode, resp.Header.Get(standin.ServerHeader)
		}
		r.Took = l.Now() - due
		return r
	}
}

func newRequest(ctx context.Context, address string, route document.Route, r *Record, malformed bool) (*http.Request, error) {
	path := strings.TrimSuffix(route.Path, "*")
	if route.Class == document.ClassBulk {
		path += fmt.Sprintf("x?bytes=%d", bulkBytes)
	} else if path != route.Path {
		path += "x"
	}
	var body io.Reader
	if text := ""; !route.Idempotent || malformed {
		text = "tag " + r.Tag
		if malformed {
			text = errorBody
		}
		if r.IdempotencyKey != "" {
			text = "booking " + r.IdempotencyKey // the same for both duplicates
		}
		body = bytes.NewReader([]byte(text))
	}
	req, err := http.NewRequestWithContext(ctx, route.Methods[0], "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	if !route.Open {
		req.Header.Set("Authorization", "Bearer "+KeyOf(r.Key))
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.Header.Set(standin.TagHeader, r.Tag)
	return req, nil
}

// read checks a response while reading it.
func (r *Record) read(resp *http.Response) error {
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		var p struct {
			Kind    errkind.Kind    `json:"kind"`
			Outcome errkind.Outcome `json:"outcome"`
		}
		if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&p); err != nil {
			return err
		}
		r.Kind, r.Outcome = p.Kind, p.Outcome
		if p.Outcome == "" || string(p.Outcome) != resp.Header.Get("Trefoilstream-Outcome") {
			r.Wrong = fmt.Errorf("problem %s has outcome %q in the body and %q in the header", p.Kind, p.Outcome, resp.Header.Get("Trefoilstream-Outcome"))
		}
		return nil
	}
	replayed := resp.Header.Get("Trefoilstream-Replayed") == "true"
	if tag := resp.Header.Get(standin.TagHeader); tag != r.Tag && !replayed && resp.StatusCode < 300 {
		r.Wrong = fmt.Errorf("response to %s came for %s", tag, r.Tag)
		return nil
	}
	if r.Class != document.ClassBulk || resp.StatusCode >= 300 {
		return nil
	}
	// The caller notices a connection that breaks, so that is a failure; a
	// body that ends as if it were complete is a wrong response.
	err := standin.VerifyResponseBody(resp.Body, r.Tag, bulkBytes)
	var wrong *standin.WrongResponse
	if errors.As(err, &wrong) {
		r.Wrong = err
		return nil
	}
	return err
}
