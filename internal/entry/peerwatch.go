package entry

import (
	"context"
	"sync"
	"time"
)

const (
	// pingAfter is how long an owner may take to begin its response before it
	// is pinged. Most responses begin sooner, so few pings are sent.
	pingAfter = 250 * time.Millisecond
	// pingTimeout is far above the round trip of 3 ms between failure domains
	// and above usual pauses of a small, busy instance. Together with
	// pingAfter, an unresponsive owner is detected within 0.75 s. With 1 s,
	// more requests hang at the same time than the retry budget covers.
	pingTimeout  = 500 * time.Millisecond
	pingInterval = 250 * time.Millisecond
	// unusedPeerTTL is how long a lost peer is pinged after its last use.
	unusedPeerTTL = 30 * time.Second
)

// peerWatch detects owners that do not respond, because they are frozen or
// packets are lost in one direction: connections to them stay open, and requests
// would hang until their deadline.
type peerWatch struct {
	// ping checks the peer at an address.
	ping func(ctx context.Context, address string) error

	mu    sync.Mutex
	peers map[string]*peerState
}

type peerState struct {
	lost    bool
	pinging bool
	usedAt  time.Time
	calls   map[*peerCall]struct{}
}

func newPeerWatch(ping func(ctx context.Context, address string) error) *peerWatch {
	return &peerWatch{ping: ping, peers: make(map[string]*peerState)}
}

// peerCall is a call to an owner whose response has not begun.
type peerCall struct {
	watch   *peerWatch
	address string
	timer   *time.Timer
	// onLost is called at most once, with the watch locked.
	onLost func()
}

// lost reports whether the peer currently does not respond.
func (w *peerWatch) lost(address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[address]
	return ok && p.lost
}

// begin watches a call until its end method is called. onLost must not block.
func (w *peerWatch) begin(address string, onLost func()) *peerCall {
	c := &peerCall{watch: w, address: address, onLost: onLost}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.state(address)
	p.usedAt = time.Now()
	p.calls[c] = struct{}{}
	c.timer = time.AfterFunc(pingAfter, func() { w.startPinging(address, false) })
	return c
}

// end stops watching a call.
func (c *peerCall) end() {
	c.timer.Stop()
	w := c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[c.address]
	if !ok {
		return
	}
	delete(p.calls, c)
	w.forget(c.address, p)
}

// forget drops the state of a peer that is neither used, lost nor pinged. The
// caller holds mu.
func (w *peerWatch) forget(address string, p *peerState) {
	if len(p.calls) == 0 && !p.lost && !p.pinging {
		delete(w.peers, address)
	}
}

func (w *peerWatch) state(address string) *peerState {
	p, ok := w.peers[address]
	if !ok {
		p = &peerState{calls: make(map[*peerCall]struct{})}
		w.peers[address] = p
	}
	return p
}

// startPinging pings the peer until it responds. If failed is set, the peer
// counts as lost at once, since a connection to it has just failed.
func (w *peerWatch) startPinging(address string, failed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.state(address)
	if failed {
		p.usedAt = time.Now()
		w.markLost(p)
	}
	if !p.pinging {
		p.pinging = true
		go w.pingUntilResponse(address)
	}
}

// markLost marks the peer as lost and notifies its calls. The caller holds mu.
func (w *peerWatch) markLost(p *peerState) {
	p.lost = true
	for c := range p.calls {
		if c.onLost != nil {
			c.onLost()
			c.onLost = nil
		}
	}
}

func (w *peerWatch) pingUntilResponse(address string) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
		err := w.ping(ctx, address)
		cancel()
		if w.recordPing(address, err) {
			return
		}
		time.Sleep(pingInterval)
	}
}

// recordPing records the result of a ping and reports whether to stop pinging.
func (w *peerWatch) recordPing(address string, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.state(address)
	if err != nil {
		w.markLost(p)
	} else {
		p.lost = false
	}
	unused := len(p.calls) == 0 && time.Since(p.usedAt) > unusedPeerTTL
	// While calls wait, the peer may still be lost later.
	stop := unused || err == nil && len(p.calls) == 0
	if stop {
		p.lost = p.lost && !unused
		p.pinging = false
		w.forget(address, p)
	}
	return stop
}
