package httphead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// read reads a response as net/http does, and checks it.
func read(t *testing.T, raw string) (string, error) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		t.Fatalf("%q: net/http reads no response: %v", raw, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := Check(resp); err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against what net/http lets pass.
func TestCheckRejectsMalformedResponses(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 +99 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 -00 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/0.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 O\x00K\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nBad Name: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTrailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nSum : 1\r\n\r\n",
	} {
		if body, err := read(t, raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: body %q, error %v", raw, body, err)
		}
	}
}

// Guards against rejecting what HTTP allows.
func TestCheckPassesValidResponses(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.0 200\r\n\r\nok",
		"HTTP/1.2 999 \xe9\tX\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nx!#$%&'*+-.^_`|~1:\t\xe9 \t b\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nTrailer: Sum, a b\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nSum: 1\r\n\r\n",
	} {
		if body, err := read(t, raw); err != nil || body != "ok" {
			t.Errorf("%q: body %q, error %v", raw, body, err)
		}
	}
}

// Guards against values that reach CheckFields by another way than net/http.
func TestCheckFields(t *testing.T) {
	for _, h := range []http.Header{{"A": {"1", "a\nb"}}, {"A": {"\x00"}}, {"": {"1"}}, {"a:": {"1"}}} {
		if err := CheckFields(h); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", h, err)
		}
	}
}

// Guards against a status that no client reads as one of a final response.
func TestCheckFinal(t *testing.T) {
	for status, valid := range map[int]bool{-200: false, 0: false, 99: false, 103: false, 200: true, 599: true, 999: true, 1000: false} {
		if err := CheckFinal(status, http.Header{"A": {"1"}}); (err == nil) != valid || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("status %d: error %v", status, err)
		}
	}
	if err := CheckFinal(200, http.Header{"Bad Name": {"1"}}); !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v for a blank in a name", err)
	}
}

// Guards against a body that holds the framing of its chunks.
func TestCheckHTTP10(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n":                                true,
		"HTTP/1.0 200 OK\r\n\r\n":                                                     true,
		"HTTP/1.0 200 OK\n\n":                                                         true,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                       false,
		"HTTP/1.0 200 OK\ntransfer-encoding: \nContent-Length: 2\n\n":                 false,
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: identity\r\n\r\n": false,
	} {
		if err := CheckHTTP10([]byte(head)); (err == nil) != valid || err != nil && !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: error %v", head, err)
		}
	}
}
