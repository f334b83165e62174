package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// dispatcher is a fake Dispatcher.
type dispatcher struct {
	mu   sync.Mutex
	seen []*Request
	// run returns the response; if it is nil, the response is "done".
	run func(ctx context.Context, r *Request) (*Response, error)
}

func (d *dispatcher) Dispatch(ctx context.Context, r *Request) (*Response, error) {
	d.mu.Lock()
	d.seen = append(d.seen, r)
	d.mu.Unlock()
	if d.run != nil {
		return d.run(ctx, r)
	}
	return responseOf("done"), nil
}

func (d *dispatcher) requests() []*Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*Request(nil), d.seen...)
}

func responseOf(text string) *Response {
	return &Response{Status: 200, Header: http.Header{}, ContentLength: int64(len(text)), Body: io.NopCloser(strings.NewReader(text))}
}

type openAdmission struct{}

func (openAdmission) Admit(context.Context, document.Team) error { return nil }

// claims is a fake Claims that grants everything.
type claims struct {
	mu       sync.Mutex
	settled  []Settlement
	recorded []*RecordedResponse
}

func (c *claims) Begin(context.Context, Claim) (string, *RecordedResponse, error) {
	return "e1", nil, nil
}

func (c *claims) Settle(_ context.Context, _ Claim, _ string, s Settlement, r *RecordedResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled = append(c.settled, s)
	c.recorded = append(c.recorded, r)
}

func testDocument() *document.Document {
	return &document.Document{
		Teams:    []document.Team{{ID: "tugs", Rate: 1000, Burst: 1000}, {ID: "barges", Rate: 1, Burst: 1}},
		Domains:  []document.Domain{{ID: "astoria", Region: "lower-columbia"}},
		Services: []document.Service{{ID: "slots"}},
		Keys: []document.Key{
			{ID: "k1", Team: "tugs", SHA256: fmt.Sprintf("%x", sha256.Sum256([]byte("secret")))},
			{ID: "k2", Team: "barges", SHA256: fmt.Sprintf("%x", sha256.Sum256([]byte("other")))},
		},
		Routes: []document.Route{
			{ID: "slots", Service: "slots", Methods: []string{"GET", "PUT", "BREW"}, Path: "/slots/*", Idempotent: true, Teams: []string{"tugs"}, MaxBody: 8 << 20},
			{ID: "berths", Service: "slots", Methods: []string{"POST"}, Path: "/berths", MaxBody: 1000, Timeout: document.Duration(2 * time.Second)},
			{ID: "open", Service: "slots", Methods: []string{"GET"}, Path: "/open/*", Open: true, Idempotent: true},
		},
	}
}

type fixture struct {
	*Entry
	dispatcher *dispatcher
	claims     *claims
	server     *Server
	address    string
	drained    chan struct{}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{dispatcher: &dispatcher{}, claims: &claims{}, drained: make(chan struct{})}
	f.Entry = &Entry{State: board.New(), Admission: openAdmission{}, Claims: f.claims, Dispatcher: f.dispatcher}
	f.State.SetConfig(document.NewSnapshot(1, testDocument()))
	f.State.SetFresh(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	f.server = NewServer(f.Handler(), 0, 0)
	go func() { _ = f.server.Serve(l) }()
	t.Cleanup(func() { _ = f.server.http.Close() })
	return f
}

// dial opens a connection of a caller.
func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c, bufio.NewReader(c)
}

// raw sends the text on a new connection and returns the response and its body.
func (f *fixture) raw(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, r := f.dial(t)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no response to %.60q: %v", text, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("response to %.60q: %v", text, err)
	}
	return resp, string(body)
}

const auth = "Authorization: Bearer secret\r\n"

// Guards against malformed requests that run, and against refusals that are not
// complete problem documents.
func TestBadRequestsAreRefused(t *testing.T) {
	f := newFixture(t)
	get := func(path, headers string) string {
		return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n"
	}
	post := func(headers, body string) string {
		return "POST /berths HTTP/1.1\r\nHost: a\r\n" + auth + headers + "\r\n" + body
	}
	for name, c := range map[string]struct {
		request string
		want    errkind.Kind
	}{
		"no key":                   {get("/slots/1", ""), errkind.MissingKey},
		"other scheme":             {get("/slots/1", "Authorization: Basic c2VjcmV0\r\n"), errkind.MissingKey},
		"empty key":                {get("/slots/1", "Authorization: Bearer \r\n"), errkind.MissingKey},
		"unknown key":              {get("/slots/1", "Authorization: Bearer nope\r\n"), errkind.UnknownKey},
		"key with a space":         {get("/slots/1", "Authorization: Bearer secret x\r\n"), errkind.UnknownKey},
		"very long key":            {get("/slots/1", "Authorization: Bearer "+strings.Repeat("k", 5000)+"\r\n"), errkind.UnknownKey},
		"two keys":                 {get("/slots/1", auth+"Authorization: Bearer other\r\n"), errkind.BadRequest},
		"other team's route":       {get("/slots/1", "Authorization: Bearer other\r\n"), errkind.NotPermitted},
		"no route":                 {get("/nothing", auth), errkind.NoRoute},
		"method without a route":   {strings.Replace(get("/slots/1", auth), "GET", "STEEP", 1), errkind.NoRoute},
		"prefix without slash":     {get("/slots", auth), errkind.NoRoute},
		"dot segments":             {get("/open/../slots/1", ""), errkind.BadRequest},
		"encoded dot segments":     {get("/open/%2e%2e/slots/1", ""), errkind.BadRequest},
		"encoded slash":            {get("/open/..%2fslots/1", ""), errkind.BadRequest},
		"empty segment":            {get("//slots/1", auth), errkind.BadRequest},
		"long target":              {get("/slots/"+strings.Repeat("a", 9000), auth), errkind.BadRequest},
		"many headers":             {get("/slots/1", auth+strings.Repeat("X-A: b\r\n", 200)), errkind.BadRequest},
		"large headers":            {get("/slots/1", auth+"X-A: "+strings.Repeat("b", 40_000)+"\r\n"), errkind.BadRequest},
		"time-out not a number":    {get("/slots/1", auth+"Request-Timeout: soon\r\n"), errkind.BadRequest},
		"time-out with exponent":   {get("/slots/1", auth+"Request-Timeout: 1e3\r\n"), errkind.BadRequest},
		"negative time-out":        {get("/slots/1", auth+"Request-Timeout: -1\r\n"), errkind.BadRequest},
		"zero time-out":            {get("/slots/1", auth+"Request-Timeout: 0\r\n"), errkind.BadRequest},
		"empty time-out":           {get("/slots/1", auth+"Request-Timeout:\r\n"), errkind.BadRequest},
		"two time-outs":            {get("/slots/1", auth+"Request-Timeout: 1\r\nRequest-Timeout: 9\r\n"), errkind.BadRequest},
		"no idempotency key":       {post("Content-Length: 0\r\n", ""), errkind.IdempotencyKeyMissing},
		"idempotency key, space":   {post("Idempotency-Key: a b\r\nContent-Length: 0\r\n", ""), errkind.IdempotencyKeyInvalid},
		"idempotency key, unicode": {post("Idempotency-Key: ké\r\nContent-Length: 0\r\n", ""), errkind.IdempotencyKeyInvalid},
		"long idempotency key":     {post("Idempotency-Key: "+strings.Repeat("a", 256)+"\r\nContent-Length: 0\r\n", ""), errkind.IdempotencyKeyInvalid},
		"two idempotency keys":     {post("Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n", ""), errkind.BadRequest},
		"declared body too large":  {post("Idempotency-Key: a\r\nContent-Length: 1001\r\n", ""), errkind.BodyTooLarge},
		"chunked body too large":   {post("Idempotency-Key: a\r\nTransfer-Encoding: chunked\r\n", "3e9\r\n"+strings.Repeat("x", 1001)+"\r\n0\r\n\r\n"), errkind.BodyTooLarge},
		"malformed chunk":          {post("Idempotency-Key: a\r\nTransfer-Encoding: chunked\r\n", "zz\r\n"), errkind.BadRequest},
		"body that does not come":  {post("Idempotency-Key: a\r\nRequest-Timeout: 0.05\r\nContent-Length: 5\r\n", "ab"), errkind.DeadlineExceededQueued},
	} {
		resp, body := f.raw(t, c.request)
		row := errkind.Lookup(c.want)
		var p problem
		if err := json.Unmarshal([]byte(body), &p); err != nil || p.Kind != c.want || resp.StatusCode != row.Status {
			t.Errorf("%s: %d %s, want %s", name, resp.StatusCode, body, c.want)
			continue
		}
		if p.Outcome != errkind.NotRun || resp.Header.Get("Trefoilstream-Outcome") != "not_run" ||
			resp.Header.Get("Content-Type") != "application/problem+json" || p.RequestID == "" {
			t.Errorf("%s: headers %v, body %s", name, resp.Header, body)
		}
	}
	if seen := f.dispatcher.requests(); len(seen) != 0 {
		t.Errorf("%d refused requests ran, first %s", len(seen), seen[0].URI)
	}
}

// Guards against request smuggling: framing that the load balancer and the entry
// read differently, so that a body is taken for a request of another caller.
func TestFramingIsNotAmbiguous(t *testing.T) {
	f := newFixture(t)
	head := "PUT /slots/1 HTTP/1.1\r\nHost: a\r\n" + auth
	for name, headers := range map[string]string{
		"two lengths":     "Content-Length: 3\r\nContent-Length: 4\r\n",
		"list of lengths": "Content-Length: 3, 4\r\n",
		"signed length":   "Content-Length: +3\r\n",
		"other coding":    "Transfer-Encoding: gzip\r\n",
		"coding list":     "Transfer-Encoding: gzip, chunked\r\n",
		"two codings":     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"spaced name":     "Content-Length : 3\r\n",
		"two hosts":       "Host: b\r\n",
	} {
		if resp, _ := f.raw(t, head+headers+"\r\nabcd"); resp.StatusCode != 400 && resp.StatusCode != 501 {
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
	}
	if n := len(f.dispatcher.requests()); n != 0 {
		t.Fatalf("%d requests ran", n)
	}
	c, r := f.dial(t)
	smuggled := "GET /open/smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	body := "0\r\n\r\n" + smuggled
	fmt.Fprintf(c, "%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n%s", head, len(body), body)
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if !resp.Close {
		t.Error("the connection stays open after a chunked body")
	}
	if rest, _ := io.ReadAll(r); len(rest) != 0 {
		t.Errorf("a second response came: %.60q", rest)
	}
	for _, req := range f.dispatcher.requests() {
		if strings.Contains(req.URI, "smuggled") {
			t.Error("the smuggled request ran")
		}
	}
}

// Guards against the caller's key, forged Trefoilstream headers and hop-by-hop
// headers that reach a backend server, or come back from it.
func TestHeadersAreFiltered(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.run = func(context.Context, *Request) (*Response, error) {
		resp := responseOf("done")
		resp.Header = http.Header{
			"Connection": {"X-Private"}, "X-Private": {"1"}, "Trefoilstream-Outcome": {"not_run"}, "Keep-Alive": {"1"},
			"Trefoilstream-Request-Id": {"forged"}, "Etag": {"v"}, "Set-Cookie": {"a", "b"},
		}
		return resp, nil
	}
	resp, body := f.raw(t, "BREW /slots/1?x=%2F HTTP/1.1\r\nHost: a\r\n"+auth+
		"Trefoilstream-Request-Id: forged\r\ntrefoilstream-execution-id: forged\r\nTrefoilstream_Team: forged\r\n"+
		"Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nUpgrade: h2c\r\nTE: trailers\r\nProxy-Authorization: x\r\n"+
		"Request-Timeout: 1.5\r\nX-Kept: yes\r\n\r\n")
	if body != "done" || resp.StatusCode != 200 {
		t.Fatalf("%d %s", resp.StatusCode, body)
	}
	req := f.dispatcher.requests()[0]
	got := fmt.Sprint(req.Header)
	id := req.Header.Get("Trefoilstream-Request-Id")
	if len(req.Header) != 2 || id == "" || id == "forged" || req.Header.Get("X-Kept") != "yes" || req.URI != "/slots/1?x=%2F" {
		t.Errorf("forwarded %s %s", req.URI, got)
	}
	for _, name := range []string{"X-Private", "Trefoilstream-Outcome", "Keep-Alive", "Connection"} {
		if resp.Header.Get(name) != "" {
			t.Errorf("response has %s: %s", name, resp.Header.Get(name))
		}
	}
	if resp.Header.Get("Trefoilstream-Request-Id") != id || len(resp.Header["Set-Cookie"]) != 2 || resp.Header.Get("Etag") != "v" {
		t.Errorf("response headers %v", resp.Header)
	}
}

// Guards against a truncated response that a caller takes for complete, for each
// way to delimit a response body.
func TestTruncatedAnswerBreaksTheConnection(t *testing.T) {
	f := newFixture(t)
	for name, c := range map[string]struct {
		length  int64
		err     error
		version string
	}{
		"declared length":           {1000, errkind.Errorf(errkind.PeerLost, "broke off"), "1.1"},
		"declared length, early":    {1000, io.EOF, "1.1"},
		"chunked":                   {-1, errkind.Errorf(errkind.PeerLost, "broke off"), "1.1"},
		"until the connection ends": {-1, errkind.Errorf(errkind.PeerLost, "broke off"), "1.0"},
	} {
		f.dispatcher.run = func(context.Context, *Request) (*Response, error) {
			body := io.MultiReader(strings.NewReader("beginning"), errorReader{c.err})
			return &Response{Status: 200, Header: http.Header{}, ContentLength: c.length, Body: io.NopCloser(body)}, nil
		}
		conn, r := f.dial(t)
		fmt.Fprintf(conn, "GET /open/x HTTP/%s\r\nHost: a\r\n\r\n", c.version)
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err == nil {
			t.Errorf("%s: the caller takes the response for complete", name)
		}
		if c.version == "1.0" && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %v, want a reset", name, err)
		}
	}
}

type errorReader struct{ err error }

func (r errorReader) Read([]byte) (int, error) { return 0, r.err }

// Guards against a request that keeps running after its caller disconnected or
// its deadline passed.
func TestCallerAndDeadlineCancel(t *testing.T) {
	f := newFixture(t)
	ended := make(chan error, 1)
	f.dispatcher.run = func(ctx context.Context, _ *Request) (*Response, error) {
		<-ctx.Done()
		ended <- ctx.Err()
		return nil, errkind.Errorf(errkind.DeadlineExceeded, "%w", ctx.Err())
	}
	c, _ := f.dial(t)
	_, _ = io.WriteString(c, "GET /open/x HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = c.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the request keeps running")
	}
	resp, body := f.raw(t, "GET /open/x HTTP/1.1\r\nHost: a\r\nRequest-Timeout: 0.05\r\n\r\n")
	if resp.StatusCode != http.StatusGatewayTimeout || !strings.Contains(body, `"unknown"`) {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
}

// Guards against bodies that are buffered until they are complete: request and
// response must stream at the same time.
func TestBodiesStreamBothWays(t *testing.T) {
	f := newFixture(t)
	f.dispatcher.run = func(_ context.Context, r *Request) (*Response, error) {
		if r.Body.Remaining == nil || r.Body.Buffered.Len() < maxBufferedBytes {
			return nil, errkind.Errorf(errkind.Internal, "body is not streamed")
		}
		// The echo starts before the body has arrived.
		echo := io.MultiReader(r.Body.Buffered.Reader(), r.Body.Remaining)
		return &Response{Status: 200, Header: http.Header{}, ContentLength: r.Body.Length, Body: io.NopCloser(echo)}, nil
	}
	c, r := f.dial(t)
	const total = 4 << 20
	fmt.Fprintf(c, "PUT /slots/1 HTTP/1.1\r\nHost: a\r\n%sContent-Length: %d\r\n\r\n", auth, total)
	payload := bytes.Repeat([]byte("0123456789abcde\n"), total/16)
	half := total / 2
	go func() { _, _ = c.Write(payload[:half]) }()
	resp, err := http.ReadResponse(r, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v %v", resp, err)
	}
	got := make([]byte, maxBufferedBytes)
	if _, err := io.ReadFull(resp.Body, got); err != nil {
		t.Fatalf("no response while the body is sent: %v", err)
	}
	go func() { _, _ = c.Write(payload[half:]) }()
	rest, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Equal(append(got, rest...), payload) {
		t.Fatalf("%d bytes, %v", len(got)+len(rest), err)
	}
}

// Guards against a response of a non-idempotent request that is not recorded
// because the caller disconnected while it was sent.
func TestAnswerIsRecordedWithoutCaller(t *testing.T) {
	f := newFixture(t)
	gone := make(chan struct{})
	f.dispatcher.run = func(ctx context.Context, _ *Request) (*Response, error) {
		body := &slowBody{ctx: ctx, wait: gone, rest: []byte("second half")}
		return &Response{Status: 201, Header: http.Header{}, ContentLength: 21, Body: io.NopCloser(io.MultiReader(strings.NewReader("first half"), body))}, nil
	}
	c, r := f.dial(t)
	_, _ = io.WriteString(c, "POST /berths HTTP/1.1\r\nHost: a\r\n"+auth+"Idempotency-Key: k\r\nContent-Length: 0\r\n\r\n")
	if _, err := r.ReadString('f'); err != nil {
		t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	time.Sleep(50 * time.Millisecond)
	close(gone)
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		f.claims.mu.Lock()
		settled, recorded := f.claims.settled, f.claims.recorded
		f.claims.mu.Unlock()
		if len(settled) == 1 {
			if settled[0] != SettleAnswered || string(recorded[0].Body) != "first halfsecond half" {
				t.Errorf("settled as %d with %+v", settled[0], recorded[0])
			}
			return
		}
		if time.Now().After(end) {
			t.Fatal("the claim is not settled")
		}
	}
}

// slowBody blocks until wait is closed, and fails if its context ends first.
type slowBody struct {
	ctx  context.Context
	wait chan struct{}
	rest []byte
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-b.wait:
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Guards against an old route that is still used, or a new one that is not used,
// after a change of the configuration, and against an instance that serves
// requests while its configuration may be stale.
func TestConfigurationAndFreshnessAreFollowed(t *testing.T) {
	f := newFixture(t)
	const request = "GET /open/x HTTP/1.1\r\nHost: a\r\n\r\n"
	if resp, _ := f.raw(t, request); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	d := testDocument()
	d.Routes[2].Path = "/public/*"
	f.State.SetConfig(document.NewSnapshot(2, d))
	if resp, _ := f.raw(t, request); resp.StatusCode != 404 {
		t.Errorf("old path: status %d", resp.StatusCode)
	}
	if resp, _ := f.raw(t, strings.Replace(request, "open", "public", 1)); resp.StatusCode != 200 {
		t.Errorf("new path: status %d", resp.StatusCode)
	}
	f.State.SetFresh(false)
	if resp, body := f.raw(t, strings.Replace(request, "open", "public", 1)); resp.StatusCode != 503 || !strings.Contains(body, "stale_configuration") {
		t.Errorf("stale: %d %s", resp.StatusCode, body)
	}
}
