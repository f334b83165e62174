package delivery

import (
	"io"
	"testing"
	"time"
)

// Guards against taking a peer for gone that reads later or loses packets, and against holding
// a connection for one that is gone without a word.
func TestUnacked(t *testing.T) {
	type look struct {
		at, lastAck time.Duration
		awaited     bool
		gone        bool
	}
	const ms = time.Millisecond
	for name, looks := range map[string][]look{
		"two packets are lost after a long pause": {{200 * ms, time.Hour, true, false}, {800 * ms, time.Hour, true, false}, {1400 * ms, time.Hour, true, false}, {1600 * ms, 100 * ms, false, false}},
		"the path is lost":                        {{200 * ms, time.Hour, true, false}, {1400 * ms, time.Hour, true, false}, {1500 * ms, time.Hour, true, true}},
		"the path is lost while data flows":       {{200 * ms, 10 * ms, true, false}, {1600 * ms, 1410 * ms, true, false}, {1700 * ms, 1510 * ms, true, true}},
		"the window is closed, probes are acknowledged": {
			{200 * ms, 100 * ms, false, false}, {3 * time.Second, 2 * time.Second, false, false}, {3200 * ms, 2200 * ms, true, false},
			{3400 * ms, 100 * ms, false, false}, {20 * time.Second, 16 * time.Second, false, false},
		},
		"the window is closed, a probe is not acknowledged": {
			{200 * ms, 100 * ms, false, false}, {3 * time.Second, 2 * time.Second, false, false}, {3200 * ms, 2200 * ms, true, false}, {4600 * ms, 3600 * ms, true, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			u := unacked{since: start}
			for i, l := range looks {
				if got := u.isGone(start.Add(l.at), l.awaited, l.lastAck); got != l.gone {
					t.Fatalf("look %d: gone %v, want %v", i, got, l.gone)
				}
			}
		})
	}
}

// Guards against ending the connection to a peer that reads nothing for a while, and against
// looking at connections for ever.
func TestWatchedPeerReadsLate(t *testing.T) {
	own, peer := connect(t)
	c := Watch(own).(*Watched)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, sent))
		if err == nil {
			err = c.CloseWrite()
		}
		written <- err
	}()
	time.Sleep(2*silenceTimeout + time.Second)
	if n, err := io.Copy(io.Discard, peer); n != sent || err != nil {
		t.Errorf("the peer got %d bytes of %d, %v", n, sent, err)
	}
	if err := <-written; err != nil {
		t.Error(err)
	}
	time.Sleep(3 * watchInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		t.Error("a connection is looked at that has nothing unacknowledged")
	}
}
