package owner

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/backend"
)

const (
	// probeInterval is the time between probes of a server. A probe usually
	// takes about 25 ms; it has failed after probeTimeout.
	probeInterval = 2 * time.Second
	probeTimeout  = time.Second
)

// probeLoop runs active health checks on the owned servers whose service has a
// probe path. Probes take no slot, and a failed probe alone ejects no server.
func (o *Owner) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		services := o.state.Config().Services
		var group sync.WaitGroup
		for _, s := range o.owned() {
			if path := services[s.doc.Service].ProbePath; path != "" {
				group.Go(func() { s.recordProbe(o.probe(ctx, s.doc.Address, path)) })
			}
		}
		group.Wait()
	}
}

func (o *Owner) probe(ctx context.Context, address, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	resp, err := o.backend.Do(ctx, &backend.Request{Address: address, Method: http.MethodGet, URI: path, Host: address, Idempotent: true})
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.CopyN(io.Discard, resp.Body, chunkBytes)
	return (err == nil || err == io.EOF) && resp.StatusCode < 500
}

func (s *server) recordProbe(passed bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detector.Probe(now, passed)
	s.applyEjectionChange(now, s.ejection.ApplyAssessment(now, s.detector.Assess(now)))
}
