package test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// smallMemoryBytes is the memory of a small instance, see docs/CAPACITY.md.
	smallMemoryBytes = 256_000_000
	// callerHeadBytes is below the limit of the own interface's HTTP server.
	callerHeadBytes = 60 << 10
	// manyDescriptors are more than any crowd of these tests needs.
	manyDescriptors = 4096
)

// memoryPeak returns the highest resident memory of a process so far, in bytes, or 0 if it has
// ended.
func memoryPeak(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kib << 10
		}
	}
	return 0
}

// startCrowdedInstance starts an instance of the own interface with a document, whose %x is the
// digest of a key and whose %s is the address of a backend server, and returns it with its
// address for callers. It may have so many descriptors open; the flags are added to its usual ones.
func startCrowdedInstance(t *testing.T, descriptors int, document string, flags ...string) (daemon *exec.Cmd, callers string) {
	t.Helper()
	logAddress, server, callers := freeAddress(t), freeAddress(t), freeAddress(t)
	start(t, "trefoilstandin", "log", "--listen", logAddress)
	start(t, "trefoilstandin", "backend", "--listen", server, "--id", "lookup-1")
	logURL := "http://" + logAddress
	flags = append(flags, "--instance-id", "i-0", "--failure-domain", "astoria", "--region", "lower-columbia", "--listen", callers,
		"--peer-listen", freeAddress(t), "--admin-listen", freeAddress(t), "--log-url", logURL, "--instances-url", logURL)
	daemon = startLimited(t, descriptors, "trefoilstreamd", flags...)
	eventually(t, 5*time.Second, "log service is up", func() bool {
		status, _ := get(logAddress, "/v1/records?after=0", "")
		return status == http.StatusOK
	})
	file := writeFile(t, document, sha256.Sum256([]byte("secret")), server)
	if msg, err := exec.Command(filepath.Join(binaries, "trefoilctl"), "publish", "--log-url", logURL, file).CombinedOutput(); err != nil {
		t.Fatalf("publish: %v: %s", err, msg)
	}
	return daemon, callers
}

// Guards against a process of the own interface that exceeds its memory since clients send
// much and keep the end of their requests back. See platform/crowd_test.go.
func TestCrowdOfUnfinishedRequests(t *testing.T) { testCrowdOfUnfinishedRequests(t, smallMemoryBytes) }

// As above, on a machine with half of the memory.
func TestCrowdOnAMachineWithLessMemory(t *testing.T) {
	testCrowdOfUnfinishedRequests(t, smallMemoryBytes/2, "--memory-mb", strconv.Itoa(smallMemoryBytes/2/1_000_000))
}

func testCrowdOfUnfinishedRequests(t *testing.T, machineBytes int, flags ...string) {
	for _, c := range []struct {
		name    string
		clients int
		request string
	}{
		{"head of short lines", 400, "GET /slots/1 HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", callerHeadBytes/4)},
		{"head of different names", 400, "GET /slots/1 HTTP/1.1\r\nHost: h\r\n" + differentNames(callerHeadBytes)},
		{"body without its last byte", 400, "POST /slots/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("b", 999_999)},
	} {
		t.Run(c.name, func(t *testing.T) {
			daemon, callers := startCrowdedInstance(t, manyDescriptors, crowdDocument, flags...)
			ordinary := func() bool {
				status, _ := get(callers, "/slots/1", "secret")
				return status == http.StatusOK
			}
			eventually(t, 10*time.Second, "request is served", ordinary)
			for range 2 {
				var mu sync.Mutex
				var conns []net.Conn
				var crowd sync.WaitGroup
				for range c.clients {
					crowd.Go(func() {
						conn, err := net.DialTimeout("tcp", callers, 5*time.Second)
						if err != nil {
							return
						}
						mu.Lock()
						conns = append(conns, conn)
						mu.Unlock()
						_ = conn.SetWriteDeadline(time.Now().Add(10 * time.Second))
						_, _ = io.WriteString(conn, c.request)
					})
				}
				crowd.Wait()
				time.Sleep(500 * time.Millisecond) // until the instance has read what it reads
				eventually(t, 20*time.Second, "an ordinary request is served beside the crowd", ordinary)
				for _, conn := range conns {
					_ = conn.Close()
				}
				eventually(t, 20*time.Second, "an ordinary request is served after the crowd has left", ordinary)
			}
			peak := memoryPeak(daemon.Process.Pid)
			t.Logf("%d MB at its peak", peak/1e6)
			if peak == 0 || peak > machineBytes {
				t.Errorf("the instance had %d MB at its peak, its machine has %d MB; 0 if it has ended", peak/1e6, machineBytes/1_000_000)
			}
		})
	}
}

// Guards against bodies that stall and keep the memory for bodies from others until their time
// limit, which is beyond the end of this test.
func TestStalledBodiesGiveWay(t *testing.T) {
	const bodyBytes = 1_000_000
	for _, c := range []struct {
		name string
		// waves are the clients of the crowd. The later ones announce smaller bodies, which
		// take what the earlier ones left.
		waves []stalledBodies
		// coldSlots are those of the server.
		coldSlots int
	}{
		{"before the request is sent on", []stalledBodies{
			{clients: 150, announced: bodyBytes, sent: bodyBytes - 1},
			{clients: 60, announced: 200_000, sent: 199_999},
			{clients: 100, announced: 20_000, sent: 19_999},
		}, 1},
		{"while the request is sent on", []stalledBodies{
			{clients: 150, announced: 3 * bodyBytes, sent: 2 * bodyBytes},
			{clients: 60, announced: 200_000, sent: 199_999},
			{clients: 100, announced: 20_000, sent: 19_999},
		}, 1},
		{"while the request is sent on to a warm server", []stalledBodies{
			{clients: 150, announced: 3 * bodyBytes, sent: 2 * bodyBytes},
			{clients: 60, announced: 200_000, sent: 199_999},
			{clients: 100, announced: 20_000, sent: 19_999},
		}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			daemon, callers := startCrowdedInstance(t, manyDescriptors, fmt.Sprintf(stalledDocument, c.coldSlots))
			served := func(bytes int) func() bool {
				return func() bool { return post(callers, "/slots/1", "secret", bytes) == http.StatusOK }
			}
			eventually(t, 10*time.Second, "a request is served", served(bodyBytes))
			for range 2 {
				var conns []net.Conn
				for _, w := range c.waves {
					conns = append(conns, w.send(callers)...)
				}
				time.Sleep(500 * time.Millisecond) // until the instance has read what it reads
				eventually(t, 20*time.Second, "a request with a body is served beside the crowd", served(bodyBytes/10))
				eventually(t, 20*time.Second, "a request with a large body is served beside the crowd", served(bodyBytes))
				for _, conn := range conns {
					_ = conn.Close()
				}
				eventually(t, 20*time.Second, "a request with a large body is served after the crowd has left", served(bodyBytes))
			}
			peak := memoryPeak(daemon.Process.Pid)
			t.Logf("%d MB at its peak", peak/1e6)
			if peak == 0 || peak > smallMemoryBytes {
				t.Errorf("the instance had %d MB at its peak, a small one has %d MB; 0 if it has ended", peak/1e6, smallMemoryBytes/1_000_000)
			}
		})
	}
}

// Guards against callers that take all descriptors of an instance of the own interface and keep
// them, so that it accepts nobody else and reaches no server.
func TestCrowdOfConnections(t *testing.T) {
	const descriptors, clients = 256, 400
	for _, c := range []struct {
		name, request string
		answered      bool
	}{
		{name: "nothing is sent"},
		{name: "half a head is sent", request: "GET /slots/1 HTTP/1.1\r\nHo"},
		{name: "one request is sent and answered", request: "GET /slots/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n\r\n", answered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			daemon, callers := startCrowdedInstance(t, descriptors, crowdDocument)
			ordinary := func() bool { return post(callers, "/slots/1", "secret", 1000) == http.StatusOK }
			eventually(t, 10*time.Second, "request is served", ordinary)
			for range 2 {
				conns := openConnections(callers, clients, c.request, c.answered)
				eventually(t, 20*time.Second, "an ordinary request is served beside the crowd", ordinary)
				for _, conn := range conns {
					_ = conn.Close()
				}
				eventually(t, 20*time.Second, "an ordinary request is served after the crowd has left", ordinary)
			}
			if memoryPeak(daemon.Process.Pid) == 0 {
				t.Error("the instance has ended")
			}
		})
	}
}

// openConnections opens connections, each of which sends a text and, if it is to be answered, waits for
// the head of a response.
func openConnections(address string, clients int, text string, answered bool) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var crowd sync.WaitGroup
	for range clients {
		crowd.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 5*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, text)
			if answered {
				_, _ = http.ReadResponse(bufio.NewReader(conn), nil)
			}
		})
	}
	crowd.Wait()
	return conns
}

// stalledBodies are clients that send a part of the bodies that they announce, in bytes.
type stalledBodies struct{ clients, announced, sent int }

// send makes the clients send one after the other, and returns their connections.
func (s stalledBodies) send(address string) []net.Conn {
	request := fmt.Sprintf("POST /slots/1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s",
		s.announced, strings.Repeat("b", s.sent))
	var conns []net.Conn
	for range s.clients {
		conn, err := net.DialTimeout("tcp", address, 5*time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(conn, request)
	}
	return conns
}

// post sends one POST request with a body of a number of bytes and returns its status, or 0 if
// no response arrived.
func post(address, path, key string, bytes int) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(strings.Repeat("b", bytes)))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const stalledDocument = `
version: 1
environment: trial
failure_domains:
  - {id: astoria, region: lower-columbia}
teams:
  - {id: dispatch, rate: 1000, burst: 1000}
keys:
  - {id: dispatch-1, team: dispatch, sha256: "%%x"}
services:
  - {id: lookup, floor: 1, cold_slots: %d}
servers:
  - {id: lookup-1, service: lookup, failure_domain: astoria, address: "%%s", slots: 400}
routes:
  - {id: lookup, service: lookup, methods: [GET, POST], path: "/slots/*", idempotent: true, max_body: 4000000, timeout: 10m}
`

const crowdDocument = `
version: 1
environment: trial
failure_domains:
  - {id: astoria, region: lower-columbia}
teams:
  - {id: dispatch, rate: 1000, burst: 1000}
keys:
  - {id: dispatch-1, team: dispatch, sha256: "%x"}
services:
  - {id: lookup, floor: 1}
servers:
  - {id: lookup-1, service: lookup, failure_domain: astoria, address: "%s", slots: 2}
routes:
  - {id: lookup, service: lookup, methods: [GET, POST], path: "/slots/*", idempotent: true}
`

// differentNames returns lines of a head with n bytes, each with a name of its own.
func differentNames(n int) string {
	var b strings.Builder
	for k := 0; b.Len() < n; k++ {
		b.WriteString(strconv.FormatInt(int64(k), 36) + ":\r\n")
	}
	return b.String()
}
