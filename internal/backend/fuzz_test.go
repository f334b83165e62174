package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"
)

// FuzzReadAnswer guards against backend server responses that hang or crash the
// client, that it accepts although they are truncated or malformed, or whose body it
// returns although the server did not send it.
func FuzzReadAnswer(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\noka",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nffffffffffffffff\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nno length",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\nContent-Length: 3\r\n\r\noka",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: 1\r\n\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 999\r\n\r\n", "\x00\xff", "",
	} {
		f.Add([]byte(s))
	}
	var response atomic.Pointer[[]byte]
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write(*response.Load())
			}()
		}
	}()
	f.Fuzz(func(t *testing.T, raw []byte) {
		response.Store(&raw)
		c := New()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		resp, err := c.Do(ctx, &Request{Address: l.Addr().String(), Method: http.MethodGet, URI: "/", Idempotent: true, Header: http.Header{}})
		if ctx.Err() != nil {
			t.Fatal("Do does not return although the server has closed the connection")
		}
		if err != nil {
			return
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if ctx.Err() != nil {
			t.Fatal("reading the body does not end although the server has closed the connection")
		}
		if err != nil {
			return
		}
		if resp.StatusCode < 200 || resp.ProtoMajor != 1 {
			t.Errorf("response %s %s is accepted", resp.Proto, resp.Status)
		}
		for _, h := range []http.Header{resp.Header, resp.Trailer} {
			for name := range h {
				if !httpguts.ValidHeaderFieldName(name) && len(h[name]) > 0 {
					t.Errorf("response with field name %q is accepted", name)
				}
			}
		}
		if resp.ContentLength >= 0 && int64(len(body)) != resp.ContentLength {
			t.Errorf("%d bytes accepted as a body of %d", len(body), resp.ContentLength)
		}
		if len(resp.TransferEncoding) == 0 && !bytes.Contains(raw, body) {
			t.Errorf("body %q is not in the response", body)
		}
	})
}
