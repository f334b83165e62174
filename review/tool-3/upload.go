package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["12"] = playUpload }

// Figures of the case. Size, work time, slots and time budget are those of the users' site.
const (
	// uploadBytes and uploadWork are the largest of the site.
	uploadBytes    = 360_000
	uploadWork     = 1900 * time.Millisecond
	uploadDeadline = 6 * time.Second
	uploadSlots    = 6
	uploadBackends = 6
	// slowBackends have half the speed of the others.
	slowBackends = 2
	slowFactor   = 2
	uploads      = 18
	// termAfter is when the SIGTERM comes after the uploads were sent.
	termAfter = 300 * time.Millisecond
	// lastSixth is when the last sixth of grace-period begins.
	lastSixth = 5 * time.Second
)

// playUpload sends uploads to an instance and stops it, as is planned, while backends work on
// them. With trouble the backends read the bodies late, else at once. It looks whether the
// instance breaks uploads off. Nothing else disturbs the fleet.
func playUpload(p *play) int {
	p.putConfig(1, 0, 0)
	if !p.addBackends("intake", uploadBackends, uploadSlots, uploadWork) {
		return cannotRun
	}
	for i, b := range p.backends {
		b.readsInPieces = p.trouble
		if i < slowBackends {
			b.workTime *= slowFactor
		}
	}
	if !p.startFleet(6) {
		return cannotRun
	}
	// Longer than contact.
	time.Sleep(4 * time.Second)
	entry := p.fleet.instances[5]
	body := make([]byte, uploadBytes)
	var wg sync.WaitGroup
	answers := make([]answer, uploads)
	for n := range uploads {
		wg.Go(func() {
			answers[n] = send(newClient(1), entry.callers, http.MethodPost, fmt.Sprintf("/up/%d", n), body, uploadDeadline)
		})
	}
	time.Sleep(termAfter)
	term := time.Now()
	entry.signal(syscall.SIGTERM)
	p.printf("instance %d gets SIGTERM", entry.number)
	wg.Wait()
	runs := make(map[string]run)
	at := make(map[string]string)
	for _, b := range p.backends {
		for _, r := range b.allRuns() {
			runs[r.id], at[r.id] = r, b.id
		}
	}
	code, served := held, 0
	for _, a := range answers {
		r, ran := runs[a.id]
		p.printf("upload %s sent at %.3f, answered at %.3f with %d, signature %v, error %v", a.id, p.at(a.sent), p.at(a.got), a.status, a.signed, a.err)
		if ran {
			end := "not ended yet"
			if !r.ended.IsZero() {
				end = fmt.Sprintf("to %.3f, cancelled %v", p.at(r.ended), r.cancelled)
			}
			p.printf("upload %s ran at %s from %.3f, %s", a.id, at[a.id], p.at(r.began), end)
		}
		switch {
		case a.err == nil && a.signed:
			served++
		case !ran:
			p.printf("upload %s did not run", a.id)
		case a.got.Sub(a.sent) >= uploadDeadline:
			p.printf("upload %s reached its time budget", a.id)
		case a.got.Sub(term) >= lastSixth:
			p.printf("upload %s lasted into the last sixth of grace-period", a.id)
		default:
			p.printf("upload %s was broken off %.3f s after SIGTERM while %s worked on it", a.id, a.got.Sub(term).Seconds(), at[a.id])
			code = broken
		}
	}
	p.printf("%d of %d uploads are served", served, uploads)
	if served == 0 {
		return cannotRun
	}
	return code
}
