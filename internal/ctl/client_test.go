package ctl

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// Guards against reporting a change as applied by a malformed or truncated response.
func TestBrokenResponseLeavesTheOutcomeUnknown(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nBad Name: 1\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\n\r\n{",
	} {
		server := httptest.NewServer(standin.RawResponse{Bytes: response})
		defer server.Close()
		c, err := newClient(server.URL, "key", nil)
		if err != nil {
			t.Fatal(err)
		}
		err = c.call(t.Context(), http.MethodPost, "/v1/publish", struct{}{}, &struct{}{})
		var problem *problemError
		if !errors.As(err, &problem) || problem.Outcome != string(errkind.Unknown) {
			t.Errorf("%q: error %v, want one whose outcome is unknown", response, err)
		}
	}
}
