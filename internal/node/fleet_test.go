package node_test

import (
	"context"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/measure"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// startFleet runs instances as processes in three failure domains, with one
// service of fast backend servers.
func startFleet(t *testing.T, instances int, team document.Team) *measure.Fleet {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir, "trefoilstream.example/trefoilstream/cmd/trefoilstreamd").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	doc := &document.Document{Version: 1, Environment: "test", Teams: []document.Team{team},
		Keys:     []document.Key{{ID: "k", Team: team.ID}},
		Services: []document.Service{{ID: "s"}},
		Routes: []document.Route{
			{ID: "look", Service: "s", Methods: []string{"GET"}, Path: "/look", Idempotent: true},
			{ID: "book", Service: "s", Methods: []string{"POST"}, Path: "/book"},
		}}
	for _, d := range []string{"a", "b", "c"} {
		doc.Domains = append(doc.Domains, document.Domain{ID: d, Region: "r"})
		doc.Servers = append(doc.Servers, document.Server{ID: "s-" + d, Service: "s", FailureDomain: d, Slots: 50})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f, err := measure.StartFleet(ctx, measure.FleetOptions{Binaries: dir, Logs: dir, Document: doc, Instances: instances,
		Behaviours: map[string]standin.Behaviour{"s": {}}, DrainWait: 100 * time.Millisecond})
	t.Cleanup(func() { _ = f.Close() })
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func do(t *testing.T, to *measure.Instance, method, path, key string) (status int, kind string) {
	body := strings.NewReader("body")
	if method == "GET" {
		body = strings.NewReader("")
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+to.CallerAddress+path, body)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	req.Header.Set("Authorization", "Bearer "+measure.KeyOf("k"))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, resp.Header.Get("Trefoilstream-Outcome")
}

// TestRateThroughOneProcess guards against over-admission, and against a team
// below its rate, when one process of six takes all requests at three times
// the rate.
func TestRateThroughOneProcess(t *testing.T) {
	team := document.Team{ID: "t", Rate: 60, Burst: 30}
	f := startFleet(t, 6, team)
	// Covers acquiring leases, settling the membership and GrantTTL.
	time.Sleep(8 * time.Second)
	var served, limited, other atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for time.Since(start) < 4*time.Second {
		wg.Go(func() {
			switch status, outcome := do(t, f.Instances[5], "GET", "/look", ""); status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusTooManyRequests:
				limited.Add(1)
			default:
				t.Logf("status %d, outcome %s", status, outcome)
				other.Add(1)
			}
		})
		time.Sleep(time.Second / 180)
	}
	wg.Wait()
	limit := team.Rate*time.Since(start).Seconds() + team.Burst
	if got := float64(served.Load()); got > limit || got < 0.85*limit || other.Load() > 0 {
		t.Errorf("served %v of at most %.0f, %d rate limited, %d others", got, limit, limited.Load(), other.Load())
	}
}

// TestKeyThroughTwoProcesses guards against a second execution of a key that is
// sent through two processes at once, again later, and again after the kill of an
// instance that is owner of some keys and replica of others.
func TestKeyThroughTwoProcesses(t *testing.T) {
	f := startFleet(t, 6, document.Team{ID: "t", Rate: 1000, Burst: 500})
	// An owner that joined after the first instance can rule out earlier claims
	// only on keys made after it joined, with an allowance of 6 s for clock skew.
	time.Sleep(12 * time.Second)
	keys := make([]string, 30)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = uuid.Must(uuid.NewV7()).String()
		for j := range 2 {
			wg.Go(func() {
				if status, outcome := do(t, f.Instances[i%3+3*j], "POST", "/book", keys[i]); status != http.StatusOK && status != http.StatusConflict {
					t.Errorf("status %d, outcome %s", status, outcome)
				}
			})
		}
	}
	wg.Wait()
	resend := func(when string, via []*measure.Instance) {
		for i, key := range keys {
			wg.Go(func() {
				if status, outcome := do(t, via[i%len(via)], "POST", "/book", key); status != http.StatusOK {
					t.Errorf("%s: status %d, outcome %s; want the recorded response", when, status, outcome)
				}
			})
		}
		wg.Wait()
		runs := standin.SumExecutions(f.Servers).Keys
		for _, key := range keys {
			if runs[key] != 1 {
				t.Errorf("%s: a key ran %d times", when, runs[key])
			}
		}
	}
	resend("sent again", f.Instances)
	if err := f.Instances[2].Kill(); err != nil {
		t.Fatal(err)
	}
	resend("after a kill", []*measure.Instance{f.Instances[0], f.Instances[1], f.Instances[4]})
}
