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

// manner is how a network fails.
type manner int

const (
	// resets ends connections and refuses new ones.
	resets manner = iota
	// silent passes nothing on, in either direction.
	silent
	// oneWay passes nothing on from those that are cut off.
	oneWay
)

func (m manner) String() string { return [...]string{"resets", "silent", "one way"}[m] }

// testNetwork connects the instances of a fleet, and cuts some off from the others.
type testNetwork struct {
	mu    sync.Mutex
	conns map[*testConn]struct{}
	// cutOff holds the addresses of those that reach only each other.
	cutOff  map[string]bool
	manner  manner
	changed chan struct{}
}

func newTestNetwork() *testNetwork {
	return &testNetwork{conns: make(map[*testConn]struct{}), cutOff: make(map[string]bool), changed: make(chan struct{})}
}

// testConn is the dialing end of a connection.
type testConn struct {
	*net.TCPConn
	network  *testNetwork
	from, to string
	closed   chan struct{}
	once     sync.Once
}

// await waits until the network passes on what one instance sends to another.
func (c *testConn) await(from, to string) {
	for {
		c.network.mu.Lock()
		blocked, changed := c.network.blocks(from, to), c.network.changed
		c.network.mu.Unlock()
		if !blocked {
			return
		}
		select {
		case <-changed:
		case <-c.closed:
			return
		}
	}
}

// Write implements net.Conn.
func (c *testConn) Write(p []byte) (int, error) {
	c.await(c.from, c.to)
	return c.TCPConn.Write(p)
}

// Read implements net.Conn.
func (c *testConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.await(c.to, c.from)
	return n, err
}

// Close implements net.Conn.
func (c *testConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.TCPConn.Close()
}

// blocks reports whether the network holds back what one instance sends to another. The caller
// holds mu.
func (n *testNetwork) blocks(from, to string) bool {
	switch n.manner {
	case silent:
		return n.cutOff[from] != n.cutOff[to]
	case oneWay:
		return n.cutOff[from] && !n.cutOff[to]
	}
	return false
}

// dialer returns the dialer of an instance.
func (n *testNetwork) dialer(from string) DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		refused := n.manner == resets && n.cutOff[from] != n.cutOff[address]
		// Neither its first packet nor the answer to it may be held back.
		lost := n.blocks(from, address) || n.blocks(address, from)
		n.mu.Unlock()
		if refused {
			return nil, syscall.ECONNREFUSED
		}
		if lost {
			sleep(ctx, peerDialTimeout)
			return nil, syscall.ETIMEDOUT
		}
		raw, err := (&net.Dialer{Timeout: peerDialTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := &testConn{TCPConn: raw.(*net.TCPConn), network: n, from: from, to: address, closed: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[c] = struct{}{}
		return c, nil
	}
}

// cut cuts addresses off from all others.
func (n *testNetwork) cut(m manner, addresses ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.manner = m
	clear(n.cutOff)
	for _, a := range addresses {
		n.cutOff[a] = true
	}
	n.wake()
	if m != resets {
		return
	}
	for c := range n.conns {
		if n.cutOff[c.from] != n.cutOff[c.to] {
			_ = c.SetLinger(0)
			_ = c.TCPConn.Close()
		}
	}
}

// drop ends the connections of an instance, as the end of its process does.
func (n *testNetwork) drop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == address || c.to == address {
			_ = c.TCPConn.Close()
		}
	}
}

func (n *testNetwork) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cutOff)
	n.wake()
}

func (n *testNetwork) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
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
	network.cut(resets, cut...)
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
