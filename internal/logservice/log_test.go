package logservice

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

// startRaw starts a service that responds to each request with the same bytes.
func startRaw(t *testing.T, response string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against believing a malformed or truncated response of the log or of the instance
// list. After one to an append it is unknown whether the record was written.
func TestBrokenResponsesAreErrors(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 12\r\n\r\n{\"offset\":5}",
		"HTTP/1.1 503 X\r\nBad Name: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 X\r\nContent-Length: 12\r\n\r\n{\"offset\":5}",
		"HTTP/2.0 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":5}",
		"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\":5}",
		"HTTP/1.1 200 OK\r\n\r\n{\"offset\":5",
	} {
		url := startRaw(t, response)
		if offset, err := NewLogClient(url).Append(t.Context(), []byte("a")); !errors.Is(err, ErrUnknown) || errors.Is(err, ErrUnavailable) {
			t.Errorf("%q: appended at %d, error %v; want ErrUnknown", response, offset, err)
		}
		if page, err := NewLogClient(url).Read(t.Context(), 0, 0, 1); err == nil {
			t.Errorf("%q: counts as the page %+v", response, page)
		}
		if list, err := NewInstanceListClient(url).Instances(t.Context()); err == nil {
			t.Errorf("%q: counts as the list %+v", response, list)
		}
	}
}
