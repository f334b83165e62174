package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["slow"] = slow }

const (
	// slowClients is how many clients have a connection to the same instance.
	slowClients = 6
	// readPause is how long a client waits before it reads a response.
	readPause = 3 * time.Second
	// slowBudget is the time budget of each request, that of the users' downloads on the larger
	// installation.
	slowBudget = 15 * time.Second
	// lostAllowed is how many requests a machine may lose by the rule.
	lostAllowed = 3
)

// slow has clients that do not read a response at once.
func slow(_ context.Context, p *play) error {
	b, err := p.deploy(largeBytes)
	if err != nil {
		return err
	}
	// All machines are in touch.
	time.Sleep(3500 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost, whole := 0, 0
	for k := range slowClients {
		wg.Go(func() {
			complete, ran := download(p, b, k)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case complete:
				whole++
			case ran:
				lost++
			}
		})
	}
	wg.Wait()
	p.note("%d requests that ran at a backend server have no complete response, %d have one", lost, whole)
	switch {
	case lost > lostAllowed:
		return errBroken
	case whole < slowClients-lostAllowed:
		return fmt.Errorf("only %d complete responses", whole)
	}
	return errHeld
}

// download is one client. It sends a short request and a download on one connection, and reports
// whether the response to the latter was complete and whether a backend server has answered it.
func download(p *play, b *backends, k int) (complete, ran bool) {
	c, err := net.DialTimeout("tcp", p.instances[0].callers, time.Second)
	if err != nil {
		p.note("client %d: %v", k+1, err)
		return false, false
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(slowBudget))
	r := bufio.NewReader(c)
	for _, id := range []string{fmt.Sprintf("small%d", k+1), fmt.Sprintf("large%d", k+1)} {
		start := time.Now()
		if _, err := c.Write([]byte(get("/fetch/"+id, id, slowBudget))); err != nil {
			p.note("%s could not be sent: %v", id, err)
			return false, false
		}
		p.note("%s sent", id)
		if p.trouble && id[0] == 'l' {
			time.Sleep(readPause)
		}
		a := readReply(r, "GET")
		seen := b.of(id)
		p.note("%s after %v: status %d, %d bytes, error %v; ran %d times, answered by its server: %v",
			id, time.Since(start).Round(time.Millisecond), a.status, len(a.body), a.err, seen.times, seen.answered)
		complete, ran = a.err == nil, seen.answered
		if a.err != nil {
			break
		}
	}
	return complete, ran
}
