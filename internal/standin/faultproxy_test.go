package standin

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"
)

// echoProxy returns a fault proxy in front of an echo server.
func echoProxy(t *testing.T) *FaultProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	p, err := NewFaultProxy("127.0.0.1:0", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.Close() })
	return p
}

func dial(t *testing.T, p *FaultProxy) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// exchange sends text and returns what is received within the time.
func exchange(t *testing.T, c net.Conn, text string, within time.Duration) (string, error) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	return receive(c, len(text), within)
}

func receive(c net.Conn, n int, within time.Duration) (string, error) {
	c.SetReadDeadline(time.Now().Add(within))
	buf := make([]byte, n)
	got, err := io.ReadFull(c, buf)
	return string(buf[:got]), err
}

func set(t *testing.T, p *FaultProxy, f Fault) {
	t.Helper()
	if err := p.Set(f); err != nil {
		t.Fatal(err)
	}
}

// Guards against a proxy that corrupts or loses bytes without a fault, or does not
// forward the end of a stream.
func TestFaultProxyForwardsWhole(t *testing.T) {
	p := echoProxy(t)
	set(t, p, Fault{ToServer: DirectionFault{DelayMS: 2}})
	c := dial(t, p)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 200_000)
	go func() {
		c.Write(sent)
		c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(got, sent) {
		t.Fatalf("got %d bytes, %v; want the %d sent", len(got), err, len(sent))
	}
}

// Guards against a one-way cut that drops bytes or works both ways: the server
// must receive what the client sends, and its response must arrive late.
func TestFaultProxyCutsOneWay(t *testing.T) {
	p := echoProxy(t)
	c := dial(t, p)
	if _, err := exchange(t, c, "warm", time.Second); err != nil {
		t.Fatal(err)
	}
	set(t, p, Fault{ToClient: DirectionFault{Cut: true}})
	before := p.Stats()
	if got, err := exchange(t, c, "held", 50*time.Millisecond); err == nil {
		t.Fatalf("received %q through the cut", got)
	}
	if s := p.Stats(); s.BytesToServer != before.BytesToServer+4 || s.BytesToClient != before.BytesToClient {
		t.Fatalf("counters %+v after %+v", s, before)
	}
	late := dial(t, p)
	if _, err := exchange(t, late, "new", 50*time.Millisecond); err == nil {
		t.Fatal("a new connection passed the cut")
	}
	set(t, p, Fault{})
	if got, err := receive(c, 4, time.Second); got != "held" || err != nil {
		t.Fatalf("after the cut: %q, %v", got, err)
	}
	if got, err := receive(late, 3, time.Second); got != "new" || err != nil {
		t.Fatalf("new connection after the cut: %q, %v", got, err)
	}
}

// Guards against delays that accumulate per read or are not applied.
func TestFaultProxyDelaysPerDirection(t *testing.T) {
	p := echoProxy(t)
	c := dial(t, p)
	set(t, p, Fault{ToServer: DirectionFault{DelayMS: 30}, ToClient: DirectionFault{DelayMS: 20}})
	start := time.Now()
	if _, err := exchange(t, c, strings.Repeat("x", 200_000), 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); took < 50*time.Millisecond || took > 400*time.Millisecond {
		t.Errorf("took %v, want a little over 50 ms", took)
	}
}

// Guards against truncation that forwards more or fewer bytes than configured, and
// against truncation and reset that a client cannot tell apart.
func TestFaultProxyTruncatesAndResets(t *testing.T) {
	p := echoProxy(t)
	set(t, p, Fault{ToClient: DirectionFault{TruncateAfter: 5}})
	c := dial(t, p)
	if got, err := exchange(t, c, "0123456789", time.Second); got != "01234" || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated: %q, %v", got, err)
	}
	set(t, p, Fault{})
	c = dial(t, p)
	if _, err := exchange(t, c, "ok", time.Second); err != nil {
		t.Fatal(err)
	}
	p.Reset()
	if _, err := receive(c, 1, time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("reset: %v", err)
	}
}

// Guards against connections that hang instead of being refused, and against a
// listener that does not reopen at the same address.
func TestFaultProxyRefuses(t *testing.T) {
	p := echoProxy(t)
	set(t, p, Fault{Refuse: true})
	if _, err := net.Dial("tcp", p.Addr()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("refused: %v", err)
	}
	set(t, p, Fault{})
	if _, err := exchange(t, dial(t, p), "ok", time.Second); err != nil {
		t.Fatal(err)
	}
}

// Guards against a misspelt fault that is silently ignored.
func TestFaultControl(t *testing.T) {
	p := echoProxy(t)
	control := httptest.NewServer(FaultProxyControl(map[string]*FaultProxy{"peer": p}))
	defer control.Close()
	put := func(body string) int {
		req, err := http.NewRequest("PUT", control.URL+"/v1/proxies/peer/fault", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		return res.StatusCode
	}
	if got := put(`{"frozen": true}`); got != http.StatusBadRequest {
		t.Errorf("unknown field: status %d", got)
	}
	if got := put(`{"freeze": true, "to_client": {"delay_ms": 1.5}}`); got != http.StatusNoContent {
		t.Errorf("status %d", got)
	}
	want := Fault{Freeze: true, ToClient: DirectionFault{DelayMS: 1.5}}
	if got := p.Fault(); got != want {
		t.Errorf("fault %v, want %v", fmt.Sprintf("%+v", got), want)
	}
}
