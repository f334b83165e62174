package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/ingress"
	"trefoilstream.example/trefoilstream/internal/memory"
)

// requestThrough sends a request through a server with an account of total bytes.
func requestThrough(t *testing.T, f *fakeFleet, total int64) (*http.Response, string) {
	t.Helper()
	f.index = index()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	server := ingress.NewServer(New(f, plainDialect{}, &observer{}))
	server.Memory = memory.NewAccount(memory.Limits{Total: total, Large: total}, nil)
	go server.Serve(l)
	req, err := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/b/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set("Key", "k")
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	for until := time.Now().Add(10 * time.Second); server.Memory.Used() != 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%d bytes stay counted", server.Memory.Used())
		}
	}
	return resp, string(body)
}

// Guards against an attempt for which no memory is left, and against a permit that is kept by a
// request which is refused for that.
func TestAttemptWithoutMemoryIsRefused(t *testing.T) {
	f := &fakeFleet{steps: []step{{outcome: dispatch.Served, status: 200, body: "ok"}}}
	resp, body := requestThrough(t, f, 100<<10)
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, string(errkind.InstanceFull)) || !strings.Contains(body, string(errkind.NotRun)) ||
		resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, header %v, body %q", resp.StatusCode, resp.Header, body)
	}
	if len(f.sent) != 0 || len(f.released) != 1 || f.released[0] != dispatch.Cancelled {
		t.Errorf("%d sent, permits released as %v; want none, one as cancelled", len(f.sent), f.released)
	}
}

// Guards against losing the response of a request that has run, since no memory is left to
// buffer it.
func TestResponseIsStreamedIfNoMemoryIsLeft(t *testing.T) {
	want := strings.Repeat("x", 200<<10)
	for _, total := range []int64{250 << 10, 16 << 20} {
		f := &fakeFleet{steps: []step{{outcome: dispatch.Served, status: 200, body: want}}}
		if resp, body := requestThrough(t, f, total); resp.StatusCode != http.StatusOK || body != want || resp.ContentLength != int64(len(want)) {
			t.Errorf("%d bytes of memory: status %d, length %d, %d bytes", total, resp.StatusCode, resp.ContentLength, len(body))
		}
	}
}
