package logservice_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/standin"
)

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
		server := httptest.NewServer(standin.RawResponse{Bytes: response})
		defer server.Close()
		url := server.URL
		if offset, err := logservice.NewLogClient(url).Append(t.Context(), []byte("a")); !errors.Is(err, logservice.ErrUnknown) || errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("%q: appended at %d, error %v; want ErrUnknown", response, offset, err)
		}
		if page, err := logservice.NewLogClient(url).Read(t.Context(), 0, 0, 1); err == nil {
			t.Errorf("%q: counts as the page %+v", response, page)
		}
		if list, err := logservice.NewInstanceListClient(url).Instances(t.Context()); err == nil {
			t.Errorf("%q: counts as the list %+v", response, list)
		}
	}
}
