package measure

import (
	"context"
	"sync"
	"time"
)

// seriesInterval is the resolution of results derived from the traffic of backend
// servers.
const seriesInterval = 50 * time.Millisecond

// Series is a time series of the number of requests that each backend server has
// executed.
type Series struct {
	mu     sync.Mutex
	times  []time.Duration
	counts map[string][]int64
}

// sample records the counters of all servers every seriesInterval until ctx ends.
func (s *Series) sample(ctx context.Context, f *Fleet, now func() time.Duration) {
	ticker := time.NewTicker(seriesInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.mu.Lock()
		s.times = append(s.times, now())
		for id, b := range f.Servers {
			s.counts[id] = append(s.counts[id], b.Stats().Executed)
		}
		s.mu.Unlock()
	}
}

// between returns how many requests a server executed between two times.
func (s *Series) between(server string, from, to time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(server, to) - s.at(server, from)
}

// at returns the counter at a time. The caller holds mu.
func (s *Series) at(server string, t time.Duration) int64 {
	counts := s.counts[server]
	// Finds the first sample at or after t; samples are ordered by time.
	lo, hi := 0, len(s.times)
	for lo < hi {
		if mid := (lo + hi) / 2; s.times[mid] < t {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo >= len(counts) {
		lo = len(counts) - 1
	}
	if lo < 0 {
		return 0
	}
	return counts[lo]
}

const (
	// lostShare is the share of its former traffic below which a server
	// counts as out of service.
	lostShare = 0.2
	// lostFor is how long the traffic must stay below that share.
	lostFor = time.Second
	// minExpected is the number of requests that must be expected within a
	// window for their absence to count. With Poisson arrivals, a window with
	// 12 expected requests is empty by chance with probability e^-12.
	minExpected = 12
)

// detectionTime returns how long after a fault a server lost its traffic. detected
// is false if it kept its traffic until the end. measurable is false if the server
// had too little traffic before the fault to tell.
func (s *Series) detectionTime(server string, fault, end time.Duration) (took time.Duration, detected, measurable bool) {
	const baseline = 3 * time.Second
	rate := float64(s.between(server, fault-baseline, fault)) / baseline.Seconds()
	// The window is longer for servers with little traffic, so that at least
	// three requests are expected in it.
	window := max(lostFor, time.Duration(3/max(rate, 0.1)*float64(time.Second)))
	if rate*window.Seconds() < 3 || fault+window > end {
		return 0, false, false
	}
	limit := lostShare * rate * window.Seconds()
	for t := fault; t+window <= end; t += seriesInterval {
		if float64(s.between(server, t, t+window)) <= limit {
			return t - fault, true, true
		}
	}
	return end - fault, false, true
}

// recoveryTime returns how long after the end of its fault a server had half of
// the traffic again that it had before the fault. The second result is false if
// that did not happen before the end.
func (s *Series) recoveryTime(server string, fault, faultEnd, end time.Duration) (time.Duration, bool) {
	const window = 3 * time.Second
	half := float64(s.between(server, fault-window, fault)) / 2
	for t := faultEnd; t+window <= end; t += seriesInterval {
		if float64(s.between(server, t, t+window)) >= half {
			return t + window - faultEnd, true
		}
	}
	return 0, false
}

// serversWithoutTraffic returns the servers of a service that executed nothing in
// a window for which the mean rate of the service predicts minExpected requests.
func (s *Series) serversWithoutTraffic(servers []string, from, to time.Duration) []string {
	if len(servers) < 2 {
		return nil
	}
	var total int64
	for _, id := range servers {
		total += s.between(id, from, to)
	}
	rate := float64(total) / float64(len(servers)) / (to - from).Seconds()
	window := max(1500*time.Millisecond, time.Duration(minExpected/max(rate, 0.01)*float64(time.Second)))
	var idle []string
	for _, id := range servers {
		for t := from; t+window <= to; t += seriesInterval {
			if s.between(id, t, t+window) == 0 {
				idle = append(idle, id)
				break
			}
		}
	}
	return idle
}
