package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// allowBodies replaces the body limit of all routes, in bytes.
func (f *fixture) allowBodies(bytes int64) {
	d := testDocument()
	for i := range d.Routes {
		d.Routes[i].MaxBody, d.Routes[i].Timeout = bytes, document.Duration(time.Minute)
	}
	f.State.SetConfig(document.NewSnapshot(2, d))
}

// Guards against a single body inside the limits that is refused, since its buffer takes more
// than the body. The route is not idempotent, so the whole body is buffered.
func TestLargeBodyIsServedInCalm(t *testing.T) {
	f := newFixture(t)
	const length = defaultMachineBytes/bodyShare - 1<<20
	f.allowBodies(length)
	body := strings.Repeat("b", length)
	for _, framing := range []string{
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", length, body),
		fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", length, body),
	} {
		resp, text := f.raw(t, "POST /berths HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n"+auth+framing)
		if resp.StatusCode != http.StatusOK {
			t.Errorf("%.30q: %d %s", framing, resp.StatusCode, text)
		}
	}
}

// Guards against a body that is awaited although there can never be memory for it.
func TestBodyAboveTheBoundIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.allowBodies(defaultMachineBytes)
	resp, text := f.raw(t, fmt.Sprintf("POST /berths HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n%sContent-Length: %d\r\n\r\n", auth, defaultMachineBytes/bodyShare))
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(text, string(errkind.InstanceFull)) || resp.Header.Get(headerPrefix+"Outcome") != string(errkind.NotRun) {
		t.Errorf("%d %v %s", resp.StatusCode, resp.Header, text)
	}
}

// Guards against stalled bodies that keep the memory for bodies from other requests, against a
// refusal that says of a request whose beginning was sent on that it has not run, and against
// memory that is not released.
func TestStalledBodiesAreRefused(t *testing.T) {
	for _, c := range []struct {
		name            string
		announced, sent int
		outcome         errkind.Outcome
	}{
		{"before the request is sent on", 1_000_000, 999_999, errkind.NotRun},
		{"while the request is sent on", 3_000_000, 2_000_000, errkind.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.allowBodies(8 << 20)
			f.dispatcher.run = func(_ context.Context, r *Request) (*Response, error) {
				if r.Body.Remaining != nil {
					if _, err := io.Copy(io.Discard, r.Body.Remaining); err != nil {
						return nil, err
					}
				}
				return &Response{Status: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(""))}, nil
			}
			head := "PUT /slots/1 HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: %d\r\n\r\n%s"
			oldest, responses := f.dial(t)
			for n := range 2 * f.bodies.Limits().Total / 1_000_000 {
				conn := oldest
				if n > 0 {
					conn, _ = f.dial(t)
				}
				fmt.Fprintf(conn, head, c.announced, strings.Repeat("b", c.sent))
			}
			// The oldest has stalled longest, so it gives way to the later ones of the crowd.
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			text, _ := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" ||
				!strings.Contains(string(text), string(errkind.InstanceFull)) || resp.Header.Get(headerPrefix+"Outcome") != string(c.outcome) {
				t.Errorf("%d %v %s; want %s, %s", resp.StatusCode, resp.Header, text, errkind.InstanceFull, c.outcome)
			}
			for _, size := range []int{100_000, 1_000_000} {
				if resp, text := f.raw(t, fmt.Sprintf(head, size, strings.Repeat("b", size))); resp.StatusCode != http.StatusOK {
					t.Errorf("a body of %d bytes beside the crowd: %d %s", size, resp.StatusCode, text)
				}
			}
			_ = f.server.http.Close()
			for end := time.Now().Add(5 * time.Second); f.bodies.Used() > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatalf("%d bytes are not released", f.bodies.Used())
				}
			}
		})
	}
}
