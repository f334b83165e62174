package test

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/standin"
)

const statusDocument = `
version: 1
environment: trial
failure_domains:
  - {id: astoria, region: lower-columbia}
teams:
  - {id: dispatch, rate: 1000, burst: 1000}
keys:
  - {id: dispatch-1, team: dispatch, sha256: "%x"}
services:
  - {id: alone, floor: 1}
  - {id: pair, floor: 1}
servers:
  - {id: alone-1, service: alone, failure_domain: astoria, address: "%s", slots: 2}
  - {id: pair-1, service: pair, failure_domain: astoria, address: "%s", slots: 2}
  - {id: pair-2, service: pair, failure_domain: astoria, address: "%s", slots: 2}
routes:
  - {id: alone, service: alone, methods: [GET], path: "/alone/*", idempotent: true}
  - {id: pair, service: pair, methods: [GET], path: "/pair/*", idempotent: true}
`

// Guards against a response with status 000 that reaches a caller as a response (MIXED). The
// caller gets that of another server, as far as the retry budget goes, or a failure of the fleet.
func TestStatus000ReachesNoCaller(t *testing.T) {
	for name, response := range map[string]string{
		"whole":    "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\npart",
		"streamed": fmt.Sprintf("HTTP/1.1 000 X\r\nContent-Length: %d\r\n\r\n%s", 2<<20, strings.Repeat("part", 1<<19)),
	} {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int32
			respond := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasPrefix(r.URL.Path, "/alone/") || strings.HasPrefix(r.URL.Path, "/pair/") {
					reached.Add(1)
					standin.RawResponse{Bytes: response}.ServeHTTP(w, r)
				}
			})
			alone, pair := httptest.NewServer(respond), httptest.NewServer(respond)
			defer alone.Close()
			defer pair.Close()
			logAddress, sound, callers := freeAddress(t), freeAddress(t), freeAddress(t)
			start(t, "trefoilstandin", "log", "--listen", logAddress)
			start(t, "trefoilstandin", "backend", "--listen", sound, "--id", "pair-2")
			logURL := "http://" + logAddress
			start(t, "trefoilstreamd", "--instance-id", "i-0", "--failure-domain", "astoria", "--region", "lower-columbia", "--listen", callers,
				"--peer-listen", freeAddress(t), "--admin-listen", freeAddress(t), "--log-url", logURL, "--instances-url", logURL)
			eventually(t, 5*time.Second, "log service is up", func() bool {
				status, _ := get(logAddress, "/v1/records?after=0", "")
				return status == http.StatusOK
			})
			document := writeFile(t, statusDocument, sha256.Sum256([]byte("secret")), alone.Listener.Addr(), pair.Listener.Addr(), sound)
			if msg, err := exec.Command(filepath.Join(binaries, "trefoilctl"), "publish", "--log-url", logURL, document).CombinedOutput(); err != nil {
				t.Fatalf("publish: %v: %s", err, msg)
			}
			eventually(t, 10*time.Second, "request is served", func() bool {
				status, _ := get(callers, "/pair/0", "secret")
				return status == http.StatusOK
			})
			served := 0
			for n := range 10 {
				for _, service := range []string{"alone", "pair"} {
					status, body := get(callers, fmt.Sprintf("/%s/%d", service, n), "secret")
					switch {
					case status == http.StatusOK && service == "pair" && strings.Contains(body, "pair-2"):
						served++
					case status == http.StatusBadGateway && strings.Contains(body, `"backend_failed"`):
					case status == http.StatusServiceUnavailable && strings.Contains(body, `"not_run"`):
					default:
						t.Errorf("service %s: the caller gets status %d, %.200q", service, status, body)
					}
				}
			}
			if served == 0 {
				t.Error("the other server of the pair responds to nothing")
			}
			if reached.Load() < 2 {
				t.Errorf("%d requests reached the server; the case was not played", reached.Load())
			}
		})
	}
}
