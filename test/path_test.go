package test

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const pathDocument = `
version: 1
environment: trial
failure_domains:
  - {id: astoria, region: lower-columbia}
  - {id: longview, region: lower-columbia}
teams:
  - {id: dispatch, rate: 1000, burst: 1000}
keys:
  - {id: dispatch-1, team: dispatch, sha256: "%x"}
services:
  - {id: lookup, floor: 0.5}
servers:
  - {id: lookup-1, service: lookup, failure_domain: astoria, address: "%s", slots: 2}
  - {id: lookup-2, service: lookup, failure_domain: longview, address: "%s", slots: 2, out: %t}
routes:
  - {id: lookup, service: lookup, methods: [GET], path: "%s", idempotent: true}
`

// Guards against a fault anywhere on the path of a request through separate
// processes: a request with a key is served, one without a key is refused, and a
// published document changes the routing.
func TestRequestPath(t *testing.T) {
	logAddress := freeAddress(t)
	start(t, "trefoilstandin", "log", "--listen", logAddress)
	logURL := "http://" + logAddress
	backends := []string{freeAddress(t), freeAddress(t)}
	for i, address := range backends {
		start(t, "trefoilstandin", "backend", "--listen", address, "--id", fmt.Sprintf("lookup-%d", i+1))
	}
	var callerAddresses []string
	for i, domain := range []string{"astoria", "astoria", "longview"} {
		callerAddress := freeAddress(t)
		callerAddresses = append(callerAddresses, callerAddress)
		start(t, "trefoilstreamd", "--instance-id", fmt.Sprintf("i-%d", i), "--failure-domain", domain,
			"--region", "lower-columbia", "--listen", callerAddress, "--peer-listen", freeAddress(t),
			"--admin-listen", freeAddress(t), "--log-url", logURL, "--instances-url", logURL)
	}
	publish := func(out bool, path string) {
		t.Helper()
		name := writeFile(t, pathDocument, sha256.Sum256([]byte("secret")), backends[0], backends[1], out, path)
		cmd := exec.Command(filepath.Join(binaries, "trefoilctl"), "publish", "--log-url", logURL, name)
		if msg, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("publish: %v: %s", err, msg)
		}
	}
	eventually(t, 5*time.Second, "log service is up", func() bool {
		status, _ := get(logAddress, "/v1/records?after=0", "")
		return status == http.StatusOK
	})
	publish(false, "/slots/*")
	for _, callerAddress := range callerAddresses {
		eventually(t, 10*time.Second, "request is served", func() bool {
			status, _ := get(callerAddress, "/slots/7", "secret")
			return status == http.StatusOK
		})
		if status, body := get(callerAddress, "/slots/7", ""); status != http.StatusUnauthorized || !strings.Contains(body, `"missing_key"`) {
			t.Errorf("without a key: %d %s", status, body)
		}
		if status, body := get(callerAddress, "/slots/7", "wrong"); status != http.StatusUnauthorized || !strings.Contains(body, `"not_run"`) {
			t.Errorf("with an unknown key: %d %s", status, body)
		}
	}
	publish(true, "/berths/*")
	for _, callerAddress := range callerAddresses {
		eventually(t, 4*time.Second, "routing follows the document", func() bool {
			status, body := get(callerAddress, "/berths/7", "secret")
			old, _ := get(callerAddress, "/slots/7", "secret")
			return status == http.StatusOK && strings.Contains(body, "lookup-1") && old == http.StatusNotFound
		})
	}
}
