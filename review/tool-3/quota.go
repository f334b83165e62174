package main

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["spare"] = playQuota }

// Figures of the case. The bounds are those of the users' pages.
const (
	quotaRate, quotaBurst     = 20, 100
	quotaWindow               = 5 * time.Second
	quotaOvershoot            = 0.1
	quotaSlack                = 20.0
	quotaInstances            = 5
	quotaPlay                 = 9 * time.Second
	maxAllowed                = (quotaRate*5+quotaBurst)*(1+quotaOvershoot) + quotaSlack
	quotaWorkers              = 24
	restartDelay              = time.Second
	defaultRetryAfter         = 200 * time.Millisecond
	killAfter, quotaStartWait = 500 * time.Millisecond, 6 * time.Second
)

// playQuota lets the one client of a tenant, which the balancer gives to the coordinator, send
// as much as it is allowed to, with trouble kills that instance, and counts the requests of
// the tenant that were sent and run within any window.
func playQuota(p *play) int {
	p.putConfig(1, quotaRate, quotaBurst)
	if !p.addBackends("desk", 3, 2, 20*time.Millisecond) || !p.addBackends("board", 12, 4, 20*time.Millisecond) || !p.startFleet(quotaInstances) {
		return cannotRun
	}
	time.Sleep(quotaStartWait)
	first := p.fleet.coordinator()
	if first == nil {
		p.printf("no instance has written the coordinator's record")
		return cannotRun
	}
	second := p.fleet.instances[(first.number+1)%quotaInstances]
	p.printf("the client's connections lead to instance %d, and after its end to instance %d", first.number, second.number)
	var mu sync.Mutex
	target := first
	sentAt := make(map[string]time.Time)
	var wg sync.WaitGroup
	end := time.Now().Add(quotaPlay)
	for range quotaWorkers {
		wg.Go(func() {
			c := newClient(1)
			for time.Now().Before(end) {
				mu.Lock()
				to := target
				mu.Unlock()
				a := ask(c, to.callers, http.MethodGet, "/look/1", 2*time.Second)
				mu.Lock()
				sentAt[a.id] = a.sent
				if a.err != nil && to == target {
					// The balancer leads new connections to another instance.
					target = second
				}
				mu.Unlock()
				p.printf("request %s sent to %d at %.3f, answered at %.3f with %d %v", a.id, to.number, p.at(a.sent), p.at(a.got), a.status, a.err)
				if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
					after, err := strconv.ParseFloat(a.retryAfter, 64)
					wait := time.Duration(after * float64(time.Second))
					if err != nil {
						wait = defaultRetryAfter
					}
					time.Sleep(min(wait, 700*time.Millisecond))
				}
			}
		})
	}
	if p.trouble {
		time.Sleep(killAfter)
		first.kill()
		p.printf("instance %d, the coordinator, is killed", first.number)
		time.AfterFunc(restartDelay, func() {
			_ = first.start()
			p.printf("instance %d is started again", first.number)
		})
	}
	wg.Wait()
	first.signal(syscall.SIGCONT)
	return p.judgeQuota(sentAt)
}

// judgeQuota looks for the window in which most requests were both sent and run.
func (p *play) judgeQuota(sentAt map[string]time.Time) int {
	type ran struct{ sent, began time.Time }
	var all []ran
	for _, b := range p.backends {
		for _, r := range b.allRuns() {
			if sent, ok := sentAt[r.id]; ok {
				all = append(all, ran{sent, r.began})
				p.printf("request %s ran at %s at %.3f for tenant %s", r.id, b.id, p.at(r.began), r.tenant)
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	most, at := 0, p.start
	for i := range all {
		from := all[i].sent
		n := 0
		for _, r := range all[i:] {
			if r.began.Sub(from) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, from
		}
	}
	p.printf("%d requests of the tenant ran; at most %d were sent and run within %v, from %.3f; allowed are %.0f", len(all), most, quotaWindow, p.at(at), maxAllowed)
	if len(all) == 0 {
		return cannotRun
	}
	if float64(most) > maxAllowed {
		return broken
	}
	return held
}
