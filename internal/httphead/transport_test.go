package httphead

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against responses of services, such as the store, that are believed although they are
// malformed, and against using their connections again.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, malformed := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 103 X\r\nBad Name: 1\r\n\r\n" + valid,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: 1\r\n\r\n",
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		var accepted atomic.Int32
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				response := valid
				if accepted.Add(1) == 1 {
					response = malformed
				}
				go func() {
					defer func() { _ = c.Close() }()
					r := bufio.NewReader(c)
					for {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(c, response)
					}
				}()
			}
		}()
		client := &http.Client{Transport: Transport{Base: &http.Transport{}}}
		get := func() (string, error) {
			resp, err := client.Get("http://" + l.Addr().String())
			if err != nil {
				return "", err
			}
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		}
		if body, err := get(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: body %q, error %v", malformed, body, err)
		}
		if body, err := get(); err != nil || body != "ok" || accepted.Load() != 2 {
			t.Errorf("after %q: body %q, error %v, %d connections", malformed, body, err, accepted.Load())
		}
	}
}
