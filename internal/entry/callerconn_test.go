package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// awaitHeads waits until the account of heads fulfils a condition.
func (f *fixture) awaitHeads(t *testing.T, what string, cond func(used int64) bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !cond(f.server.heads.Used()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: %d bytes are counted", what, f.server.heads.Used())
		}
	}
}

// Guards against heads that are not counted, or stay counted after their request has ended or
// their caller has left.
func TestHeadsCountUntilTheirRequestEnds(t *testing.T) {
	f := newFixture(t)
	lines := strings.Repeat("a:\r\n", 1000)
	half, _ := f.dial(t)
	_, _ = io.WriteString(half, "GET /open/x HTTP/1.1\r\nHost: a\r\n"+lines)
	f.awaitHeads(t, "half a head", func(used int64) bool { return used > 1000*128 })
	_ = half.Close()
	f.awaitHeads(t, "its caller has left", func(used int64) bool { return used == 0 })

	c, r := f.dial(t)
	for n := range 3 {
		_, _ = io.WriteString(c, openRequest)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", n, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		f.awaitHeads(t, "the request has ended", func(used int64) bool { return used == 0 })
	}
}

// Guards against unfinished heads that end in refusing everybody: the ones that stall are
// closed when others need the memory.
func TestStalledHeadsGiveWay(t *testing.T) {
	f := newFixture(t)
	const heads = 40
	for range heads {
		c, _ := f.dial(t)
		_, _ = io.WriteString(c, "GET /open/x HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 14_000))
	}
	f.awaitHeads(t, "heads fill the account", func(used int64) bool { return used > defaultMachineBytes/headShare/2 })
	c, r := f.dial(t)
	_, _ = io.WriteString(c, openRequest)
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("%v, %v beside %d stalled heads", resp, err, heads)
	}
	if used := f.server.heads.Used(); used > defaultMachineBytes/headShare {
		t.Errorf("%d bytes are counted, at most %d may be", used, defaultMachineBytes/headShare)
	}
}
