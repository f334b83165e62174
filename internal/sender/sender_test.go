package sender

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// testDialect uses short header names.
type testDialect struct{}

func (testDialect) ReadCaller(http.Header) (c dialect.CallerRequest) { return c }
func (testDialect) WriteRequest(h http.Header, r dialect.ServerRequest) {
	h.Set("Id", r.RequestID)
	h.Set("Left", r.Left.String())
}
func (testDialect) ReadResponse(_ int, h http.Header) dialect.ServerResponse {
	return dialect.ServerResponse{RequestID: h.Get("Id"), Signed: h.Get("Sig") != "", NotRun: h.Get("Not-Run") != "", RateLimited: h.Get("Limit") != "", Leaving: h.Get("Leaving") != ""}
}

// server responds to each request with raw bytes. It closes the connection
// without a response if respond returns nil.
func server(t *testing.T, respond func(n int, id string) []byte) (address string, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(int)
	go func() {
		n := 0
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				n++
				out := respond(n, req.Header.Get("Id"))
				if out == nil {
					break
				}
				_, _ = c.Write(out)
				if req.Header.Get("Shut") != "" {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String(), conns
}

// collected is a Reply that keeps the response.
type collected struct {
	status int
	body   string
}

func (c *collected) Head(status int, _ http.Header, _ int64) error {
	c.status = status
	return nil
}
func (c *collected) Body(p []byte) error {
	c.body += string(p)
	return nil
}

func run(s *Sender, address, id string, header http.Header) (dispatch.Outcome, *collected, error) {
	c := &collected{}
	o, err := s.Run(context.Background(), &Job{
		Server: "s", Address: address, Method: "GET", URI: "/", Host: "h", Header: header, RequestID: id,
		Deadline: time.Now().Add(time.Second),
	}, c)
	return o, c, err
}

func okResponse(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nId: %s\r\nSig: x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against opening a new connection for each request.
func TestConnectionIsKept(t *testing.T) {
	address, conns := server(t, func(_ int, id string) []byte { return okResponse(id, id) })
	s := New(testDialect{})
	for i := range 5 {
		id := fmt.Sprint(i)
		if o, c, err := run(s, address, id, nil); o != dispatch.Served || c.body != id {
			t.Fatalf("outcome %d, body %q, %v", o, c.body, err)
		}
	}
	if *conns != 1 {
		t.Errorf("%d connections for five requests", *conns)
	}
}

// Guards against mistaking a late response to an earlier request for the
// response to this one.
func TestAnswerOfAnotherRequestIsDropped(t *testing.T) {
	address, _ := server(t, func(n int, id string) []byte {
		if n == 2 {
			return append(okResponse("old", "wrong"), okResponse(id, "right")...)
		}
		return okResponse(id, "right")
	})
	s := New(testDialect{})
	for i := range 3 {
		if o, c, err := run(s, address, fmt.Sprint(i), nil); o != dispatch.Served || c.body != "right" {
			t.Errorf("request %d: outcome %d, body %q, %v", i, o, c.body, err)
		}
	}
}

// Guards against a response, or a broken connection, that is reported with the
// wrong outcome: a request that ran would be sent again, or a truncated or
// unsigned response would count as served.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string
		want     dispatch.Outcome
	}{
		{"served", "HTTP/1.1 200 OK\r\nSig: x\r\nContent-Length: 2\r\n\r\nok", dispatch.Served},
		{"ends with its connection", "HTTP/1.1 200 OK\r\nSig: x\r\n\r\nok", dispatch.Served},
		{"failed", "HTTP/1.1 500 X\r\nSig: x\r\nContent-Length: 0\r\n\r\n", dispatch.Failed},
		{"not run", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Shed},
		{"another server", "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n", dispatch.Misdirected},
		{"no signature", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", dispatch.Dropped},
		{"truncated", "HTTP/1.1 200 OK\r\nSig: x\r\nContent-Length: 5\r\n\r\nok", dispatch.Dropped},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nSig: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", dispatch.Dropped},
		{"malformed head", "HTTP/1.1 200 OK\r\nSig: x\r\nBad Name: 1\r\nContent-Length: 2\r\n\r\nok", dispatch.Dropped},
		{"malformed refusal", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Dropped},
		{"malformed answer of another server", "HTTP/1.1 421 X\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Dropped},
		{"status 000", "HTTP/1.1 000 X\r\nSig: x\r\nContent-Length: 2\r\n\r\nok", dispatch.Dropped},
		{"status 099", "HTTP/1.1 099 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", dispatch.Dropped},
		{"malformed trailer", "HTTP/1.1 200 OK\r\nSig: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nBad Name: 1\r\n\r\n", dispatch.Dropped},
		{"no response", "", dispatch.Dropped},
		{"no protocol", "garbage\r\n\r\n", dispatch.Dropped},
	} {
		address, _ := server(t, func(int, string) []byte {
			if c.response == "" {
				return nil
			}
			return []byte(c.response)
		})
		if o, _, err := run(New(testDialect{}), address, "1", http.Header{"Shut": {"1"}}); o != c.want {
			t.Errorf("%s: outcome %d, want %d (%v)", c.name, o, c.want, err)
		}
	}
}

// Guards against reporting that a request may have run on a server to which no
// connection was made.
func TestUnreachableServerRanNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if o, _, err := run(New(testDialect{}), address, "1", nil); o != dispatch.Unreachable {
		t.Errorf("outcome %d, %v", o, err)
	}
}

// Guards against a rate limit that only some responses of a server tell: failures and
// refusals carry it as well. A response of another server says nothing about this one.
func TestEachResponseOfTheServerIsObserved(t *testing.T) {
	for _, c := range []struct {
		head string
		want int
	}{
		{"HTTP/1.1 200 OK\r\nSig: x\r\n", 1},
		{"HTTP/1.1 500 X\r\nSig: x\r\n", 1},
		{"HTTP/1.1 503 X\r\nNot-Run: 1\r\n", 1},
		{"HTTP/1.1 421 X\r\n", 0},
	} {
		address, _ := server(t, func(int, string) []byte { return []byte(c.head + "Limit: 1\r\nContent-Length: 0\r\n\r\n") })
		s := New(testDialect{})
		observed := 0
		s.Observe(func(j *Job, r dialect.ServerResponse) {
			if j.Server == "s" && r.RateLimited {
				observed++
			}
		})
		if _, _, _ = run(s, address, "1", nil); observed != c.want {
			t.Errorf("%q: observed %d times, want %d", c.head, observed, c.want)
		}
	}
}

// Guards against an earlier refusal, written once more on a kept connection, that is
// taken for the refusal of the request that is running: it would be sent again, or its
// caller told that it did not run.
func TestRepeatedRefusalIsNotTakenForThisRequest(t *testing.T) {
	refusal := func(status, id string) []byte {
		return []byte("HTTP/1.1 " + status + "\r\n" + id + "Not-Run: 1\r\nContent-Length: 2\r\n\r\nno")
	}
	for _, status := range []string{"503 X", "421 X", "429 X"} {
		for _, c := range []struct {
			name, id string
			want     dispatch.Outcome
		}{
			{"with its id", "Id: 1\r\n", dispatch.Served},
			// The connection ends here, so the response to this request is lost.
			{"without an id", "", dispatch.Dropped},
		} {
			address, _ := server(t, func(n int, id string) []byte {
				if n == 1 {
					return refusal(status, "Id: 1\r\n")
				}
				return append(refusal(status, c.id), okResponse(id, "done")...)
			})
			s := New(testDialect{})
			_, _, _ = run(s, address, "1", nil)
			if o, _, err := run(s, address, "2", nil); o != c.want {
				t.Errorf("%s, repeated %s: outcome %v, want %v (%v)", status, c.name, o, c.want, err)
			}
		}
	}
}

// Guards against a response that breaks off in its head, or anywhere else, and counts
// as served with an empty or short body.
func TestResponseCutAtAnyByteIsNotServed(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nSig: x\r\nContent-Length: 12\r\nOther: 1\r\n\r\nhello, world",
		"HTTP/1.1 200 OK\nId: 1\nSig: x\nContent-Length: 12\n\nhello, world",
		"HTTP/1.1 200 OK\r\nId: 1\r\nSig: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 500 X\r\nId: 1\r\nSig: x\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range len(whole) {
			address, _ := server(t, func(int, string) []byte { return []byte(whole[:cut]) })
			o, _, err := run(New(testDialect{}), address, "1", http.Header{"Shut": {"1"}})
			if o == dispatch.Served || o == dispatch.Failed {
				t.Errorf("cut after %q: outcome %v", whole[:cut], o)
			}
			if err == nil {
				t.Errorf("cut after %q: no error", whole[:cut])
			}
		}
	}
	// A response without a length ends with its connection, but its head does not.
	const unframed = "HTTP/1.1 200 OK\r\nId: 1\r\nSig: x\r\n\r\n"
	for cut := range len(unframed) {
		address, _ := server(t, func(int, string) []byte { return []byte(unframed[:cut]) })
		if o, _, _ := run(New(testDialect{}), address, "1", http.Header{"Shut": {"1"}}); o == dispatch.Served {
			t.Errorf("cut after %q: outcome %v", unframed[:cut], o)
		}
	}
}

// Guards against requests to a server that has said that it leaves, by permits that were
// granted before or by a coordinator that does not know; another incarnation is not held to
// it.
func TestNothingIsSentToAServerThatLeaves(t *testing.T) {
	requests := 0
	address, _ := server(t, func(int, string) []byte {
		requests++
		return []byte("HTTP/1.1 200 OK\r\nId: 1\r\nSig: x\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
	})
	s := New(testDialect{})
	send := func(incarnation int64) dispatch.Outcome {
		o, _ := s.Run(context.Background(), &Job{Server: "s", Incarnation: incarnation, Address: address, Method: "GET", URI: "/", RequestID: "1", Deadline: time.Now().Add(time.Second)}, &discard{})
		return o
	}
	if o := send(1); o != dispatch.Served {
		t.Fatalf("first request: %s", o)
	}
	if o := send(1); o != dispatch.Leaving || requests != 1 {
		t.Errorf("second request: %s, %d reached the server", o, requests)
	}
	if o := send(2); o != dispatch.Served {
		t.Errorf("a request to the server's next incarnation: %s", o)
	}
}

// discard is a reply that nobody reads.
type discard struct{}

func (*discard) Head(int, http.Header, int64) error { return nil }
func (*discard) Body([]byte) error                  { return nil }
