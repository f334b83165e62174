package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Paths of the probe and load endpoints of a Backend. Requests to all other paths
// are executed.
const (
	ProbePath = "/health"
	LoadPath  = "/load"
)

// maxResponseBytes bounds the size of the bulk response that a request may ask for.
const maxResponseBytes = 1 << 30

// BackendStats holds the counters of a Backend.
type BackendStats struct {
	Requests int64 `json:"requests"`
	Executed int64 `json:"executed"`
	Answered int64 `json:"answered"`
	Errors   int64 `json:"errors"`
	Shed     int64 `json:"shed"`
	Refused  int64 `json:"refused"`
	// Cancelled counts executions whose caller disconnected.
	Cancelled int64 `json:"cancelled"`
	Crashes   int64 `json:"crashes"`
	// Collapses counts how often the load exceeded what the server can take
	// while cold.
	Collapses  int64 `json:"collapses"`
	InUse      int   `json:"in_use"`
	MaxInUse   int   `json:"max_in_use"`
	OverSlots  int64 `json:"over_slots"`
	Cold       bool  `json:"cold"`
	LastWorkMS int64 `json:"last_work_unix_ms"`
	// KeysSeen counts requests with an Authorization header, which the fleet
	// must not forward.
	KeysSeen int64 `json:"keys_seen"`
}

// Backend is a stand-in for a backend server.
type Backend struct {
	ID string

	mu              sync.Mutex
	behaviour       Behaviour
	rng             *rand.Rand
	stats           BackendStats
	warmupResponses int // responses since the server became cold
	collapsedUntil  time.Time
	byKey, byTag    map[string]int
	// crash is called when a request body crashes the server; if nil, only
	// the connection of the request is dropped.
	crash func(downtime time.Duration)
}

// NewBackend returns a cold backend server. The seed determines its random
// choices.
func NewBackend(id string, b Behaviour, seed uint64) *Backend {
	return &Backend{
		ID: id, behaviour: b, rng: rand.New(rand.NewPCG(seed, 0)),
		byKey: make(map[string]int), byTag: make(map[string]int),
	}
}

// Behaviour returns the current behaviour.
func (b *Backend) Behaviour() Behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaviour
}

// SetBehaviour replaces the behaviour. It returns the validation errors of an
// invalid one.
func (b *Backend) SetBehaviour(v Behaviour) error {
	if err := v.Validate(); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.behaviour = v
	return nil
}

// TurnCold makes a warm server cold without notice to its callers.
func (b *Backend) TurnCold() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmupResponses = 0
}

// Stats returns the counters.
func (b *Backend) Stats() BackendStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Cold = b.cold()
	return s
}

// Executions returns how many requests ran per Idempotency-Key.
func (b *Backend) Executions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.byKey)
}

// Tags returns how many requests ran per tag.
func (b *Backend) Tags() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.byTag)
}

func (b *Backend) cold() bool {
	return b.behaviour.ColdSlots > 0 && b.concurrencyLimit() < b.behaviour.Slots
}

// concurrencyLimit returns how many concurrent requests a server with cold starts
// can take before it collapses. It grows as the server warms up.
func (b *Backend) concurrencyLimit() int {
	return b.behaviour.ColdSlots + b.warmupResponses/max(b.behaviour.ColdAnswers, 1)
}

// ServeHTTP implements http.Handler. Requests to all paths but ProbePath and
// LoadPath are executed; the query bytes=N asks for a bulk response.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case ProbePath:
		b.probe(w)
		return
	case LoadPath:
		b.load(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a request whose body is incomplete is not executed
	}
	j, status := b.begin(r, body)
	w.Header().Set(ServerHeader, b.ID)
	w.Header().Set(TagHeader, r.Header.Get(TagHeader))
	if status != 0 {
		if j.refused {
			w.Header().Set("Trefoilstream-Not-Run", "true")
		}
		w.WriteHeader(status)
		return
	}
	defer b.end(&j)
	if j.crash {
		b.crashNow(j.behaviour)
	}
	if j.stall {
		<-r.Context().Done()
		return
	}
	if !sleep(r.Context(), j.took) {
		return
	}
	if j.cold && j.behaviour.SayCold {
		w.Header().Set("Trefoilstream-Cold", "true")
	}
	if j.status != 0 {
		j.faultSent = true
		http.Error(w, "injected error", j.status)
		return
	}
	b.respond(w, r, &j, len(body))
}

// job is one request with the faults that were chosen for it.
type job struct {
	behaviour                             Behaviour
	took                                  time.Duration
	status                                int
	crash, stall, truncate, cold, refused bool
	responded, faultSent                  bool
}

// begin decides, partly at random, how a request is handled. A status other than 0
// refuses it before execution. Otherwise the execution is counted, and end must be called.
func (b *Backend) begin(r *http.Request, body []byte) (job, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.behaviour
	j := job{behaviour: v}
	b.stats.Requests++
	if r.Header.Get("Authorization") != "" {
		b.stats.KeysSeen++
	}
	if b.chance(v.RefuseRate) {
		b.stats.Refused++
		j.refused = true
		return j, http.StatusServiceUnavailable
	}
	if v.MaxConcurrent > 0 && b.stats.InUse >= v.MaxConcurrent {
		b.stats.Shed++
		return j, http.StatusServiceUnavailable
	}
	b.countExecution(r)
	now := time.Now()
	if j.cold = b.cold(); j.cold && b.stats.InUse > b.concurrencyLimit() {
		b.stats.Collapses++
		b.warmupResponses = 0
		b.collapsedUntil = now.Add(time.Duration(v.CollapseMS) * time.Millisecond)
	}
	j.crash = v.CrashBody != "" && bytes.Contains(body, []byte(v.CrashBody))
	j.stall = b.chance(v.StallRate)
	j.took = v.serviceTime(b.rng, b.stats.InUse, j.cold, now.Before(b.collapsedUntil))
	if b.chance(v.LateRate) {
		j.took += time.Duration(v.LateMS) * time.Millisecond
	}
	if b.chance(v.ErrorRate) || v.ErrorBody != "" && bytes.Contains(body, []byte(v.ErrorBody)) {
		j.status = http.StatusInternalServerError
		if v.ErrorStatus != 0 {
			j.status = v.ErrorStatus
		}
	}
	j.truncate = b.chance(v.TruncateRate)
	return j, 0
}

func (b *Backend) countExecution(r *http.Request) {
	b.stats.Executed++
	b.stats.InUse++
	b.stats.MaxInUse = max(b.stats.MaxInUse, b.stats.InUse)
	if s := b.behaviour.Slots; s > 0 && b.stats.InUse > s {
		b.stats.OverSlots++
	}
	b.stats.LastWorkMS = time.Now().UnixMilli()
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.byKey[key]++
	}
	if tag := r.Header.Get(TagHeader); tag != "" {
		b.byTag[tag]++
	}
}

func (b *Backend) end(j *job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.InUse--
	switch {
	case j.responded:
		b.stats.Answered++
		b.warmupResponses++
	case j.faultSent:
		b.stats.Errors++
	default:
		b.stats.Cancelled++
	}
}

func (b *Backend) chance(rate float64) bool { return rate > 0 && b.rng.Float64() < rate }

// crashNow crashes the server and drops the connection without a response.
func (b *Backend) crashNow(v Behaviour) {
	b.mu.Lock()
	b.stats.Crashes++
	b.warmupResponses = 0
	crash := b.crash
	b.mu.Unlock()
	if crash != nil {
		crash(time.Duration(v.CrashMS) * time.Millisecond)
	}
	panic(http.ErrAbortHandler)
}

func (b *Backend) respond(w http.ResponseWriter, r *http.Request, j *job, received int) {
	var body io.Reader
	n, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	if bulk := err == nil && n >= 0 && n <= maxResponseBytes; bulk {
		body = NewResponseBody(r.Header.Get(TagHeader), n)
	} else {
		text := fmt.Sprintf("%s %s %d bytes by %s\n", r.Method, r.URL.Path, received, b.ID)
		n = int64(len(text))
		body = bytes.NewReader([]byte(text))
	}
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	if j.truncate {
		j.faultSent = true
		_, _ = io.CopyN(w, body, n/2)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if err := pace(r.Context(), w, body, j.behaviour.BytesPerSecond); err == nil {
		j.responded = true
	}
}

// pace copies body at the given rate in bytes per second; zero means no limit.
func pace(ctx context.Context, w io.Writer, body io.Reader, rate int) error {
	if rate <= 0 {
		_, err := io.Copy(w, body)
		return err
	}
	// Ten writes per second let the reader see progress at the cost of few timers.
	for {
		_, err := io.CopyN(w, body, int64(max(1, rate/10)))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if !sleep(ctx, 100*time.Millisecond) {
			return ctx.Err()
		}
	}
}

func (b *Backend) probe(w http.ResponseWriter) {
	b.mu.Lock()
	v := b.behaviour
	failing := v.ErrorRate >= 0.5 || v.StallRate >= 0.5 || time.Now().Before(b.collapsedUntil)
	b.mu.Unlock()
	if v.Probe == "failing" || (v.Probe == "" && failing) {
		http.Error(w, "failing", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

func (b *Backend) load(w http.ResponseWriter) {
	b.mu.Lock()
	running := b.stats.InUse
	if b.behaviour.LoadLie != nil {
		running = *b.behaviour.LoadLie
	}
	b.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]int{"in_use": running})
}

// sleep waits for d and reports whether ctx did not end first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
