package fleet

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
)

// testNetwork connects the instances of a fleet, and cuts some off from the others.
type testNetwork struct {
	mu    sync.Mutex
	conns map[net.Conn][2]string
	// cutOff holds the addresses of those that reach only each other.
	cutOff map[string]bool
}

func newTestNetwork() *testNetwork {
	return &testNetwork{conns: make(map[net.Conn][2]string), cutOff: make(map[string]bool)}
}

// dialer returns the dialer of an instance. A connection across a cut is refused.
func (n *testNetwork) dialer(from string) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		cut := n.cutOff[from] != n.cutOff[address]
		n.mu.Unlock()
		if cut {
			return nil, syscall.ECONNREFUSED
		}
		c, err := (&net.Dialer{Timeout: peerDialTimeout}).DialContext(ctx, "tcp", address)
		if err == nil {
			n.mu.Lock()
			n.conns[c] = [2]string{from, address}
			n.mu.Unlock()
		}
		return c, err
	}
}

// cut resets the connections between the addresses and all others, and refuses new ones.
func (n *testNetwork) cut(addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.cutOff[a] = true
	}
	for c, ends := range n.conns {
		if n.cutOff[ends[0]] != n.cutOff[ends[1]] {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

func (n *testNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutOff)
}

// newNetworkFleet returns a fleet of instances on a network, which starts with a team that
// has a rate limit.
func newNetworkFleet(t *testing.T, n int, team catalog.Team) (*testFleet, *testNetwork) {
	t.Helper()
	network, fleet := newTestNetwork(), newTestFleet(t, 0)
	fleet.store.config.Teams = []catalog.Team{team}
	for i := range n {
		fleet.addWith(i, func(o *Options) {
			o.Bounds.QuotaOvershoot, o.Bounds.QuotaSlack = 0.1, 20
			o.Dial = network.dialer(o.Self.Address)
		})
	}
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	return fleet, network
}

// permitLog collects when requests of a team were permitted.
type permitLog struct {
	mu      sync.Mutex
	times   []time.Time
	refused int
}

// most returns the most permits in a window.
func (l *permitLog) most(window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(l.times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range l.times {
		for at.Sub(l.times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// send makes every instance ask for permits at a rate in requests per second, all together,
// until the returned function is called.
func (fleet *testFleet) send(team string, rate float64) (stop func() *permitLog) {
	l := &permitLog{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, f := range fleet.instances {
		interval := time.Duration(float64(time.Second) * float64(len(fleet.instances)) / rate)
		wg.Go(func() {
			for ; ctx.Err() == nil; sleep(ctx, interval) {
				wg.Go(func() {
					p, err := acquireWith(f, 3*time.Second, func(r *PermitRequest) { r.Team = team })
					l.mu.Lock()
					defer l.mu.Unlock()
					if err != nil {
						l.refused++
						return
					}
					l.times = append(l.times, time.Now())
					f.Release(p, dispatch.Served, time.Millisecond, 0)
				})
			}
		})
	}
	return func() *permitLog {
		cancel()
		wg.Wait()
		return l
	}
}

// Guards against a coordinator that takes members whose connections were reset for ended, and
// grants the whole rate of a team while those that are cut off follow another one.
func TestBothSidesOfAResetStayWithinTheRate(t *testing.T) {
	team := catalog.Team{Name: "t", Keys: []string{"k"}, Rate: 100, Burst: 60}
	fleet, network := newNetworkFleet(t, 10, team)
	stop := fleet.send(team.Name, 8*team.Rate)
	time.Sleep(2 * time.Second)
	coordinator := fleet.coordinators(-1)[0]
	var cut []string
	for i, f := range fleet.instances {
		if i != coordinator && len(cut) < 4 {
			cut = append(cut, f.opts.Self.Address)
		}
	}
	network.cut(cut...)
	time.Sleep(5500 * time.Millisecond)
	if n := len(fleet.coordinators(-1)); n != 2 {
		t.Errorf("%d coordinators during the cut, want one on each side", n)
	}
	network.heal()
	time.Sleep(2 * time.Second)
	granted := stop()
	b := fleet.instances[0].opts.Bounds
	bound := int((team.Rate*b.QuotaWindow.Seconds()+team.Burst)*(1+b.QuotaOvershoot) + b.QuotaSlack)
	n := granted.most(b.QuotaWindow)
	if n > bound {
		t.Errorf("%d requests permitted in %v, bound %d", n, b.QuotaWindow, bound)
	}
	t.Logf("at most %d requests permitted in %v, bound %d", n, b.QuotaWindow, bound)
}
