package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

const (
	// stopClients is how many clients have a connection to the instance that is stopped.
	stopClients = 8
	// stopRequests is how many requests each client sends before it reads.
	stopRequests = 2
	// sendPause is the time between these requests.
	sendPause = 100 * time.Millisecond
	// stopBudget is the time budget of each request.
	stopBudget = 4 * time.Second
	// largeBytes is the size of a response. The users' downloads have up to 540,000 bytes.
	largeBytes = 500_000
)

// stop stops an instance with SIGTERM while clients send further safe requests before they read the
// response to the first one.
func stop(_ context.Context, p *play) error {
	b, err := p.deploy(largeBytes)
	if err != nil {
		return err
	}
	target := p.instances[2]
	conns := make([]net.Conn, stopClients)
	for k := range conns {
		if conns[k], err = net.DialTimeout("tcp", target.callers, time.Second); err != nil {
			return err
		}
		defer func() { _ = conns[k].Close() }()
	}
	if p.trouble {
		p.signal(target, syscall.SIGTERM)
	}
	time.Sleep(300 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, whole := 0, 0
	for k, c := range conns {
		wg.Go(func() {
			l, w := pipelining(p, b, k, c)
			mu.Lock()
			defer mu.Unlock()
			lost, whole = lost+l, whole+w
		})
	}
	wg.Wait()
	p.note("%d requests that ran at a backend server have no complete response, %d have one", lost, whole)
	switch {
	case lost > 0:
		return errBroken
	case whole < stopClients:
		return fmt.Errorf("only %d complete responses", whole)
	}
	return errHeld
}

// pipelining is one client. It returns how many of its requests were passed on to a backend server,
// which answered them, and have no complete response, and how many have one.
func pipelining(p *play, b *backends, k int, c net.Conn) (lost, whole int) {
	start := time.Now()
	_ = c.SetDeadline(start.Add(stopBudget))
	sent := 0
	for ; sent < stopRequests; sent++ {
		id := fmt.Sprintf("client%d-request%d", k+1, sent+1)
		if _, err := c.Write([]byte(get("/look/"+id, id, stopBudget))); err != nil {
			p.note("%s could not be sent: %v", id, err)
			break
		}
		p.note("%s sent", id)
		time.Sleep(sendPause)
	}
	r := bufio.NewReader(c)
	closed := false
	for i := range sent {
		id := fmt.Sprintf("client%d-request%d", k+1, i+1)
		a := reply{err: net.ErrClosed}
		if !closed {
			a = readReply(r, "GET")
		}
		ran := b.of(id)
		p.note("%s after %v: status %d, %d bytes, connection ends: %v, error %v; ran %d times, answered by its server: %v",
			id, time.Since(start).Round(time.Millisecond), a.status, len(a.body), a.closes, a.err, ran.times, ran.answered)
		switch {
		case a.err == nil:
			whole++
		case ran.answered:
			lost++
		}
		closed = closed || a.err != nil || a.closes
	}
	return lost, whole
}
