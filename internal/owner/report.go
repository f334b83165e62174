package owner

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/health"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/slots"
)

const (
	// advanceInterval is how often time-dependent state of the owned servers
	// is updated.
	advanceInterval = 20 * time.Millisecond
	// scanInterval is how often the roster and the configuration are checked
	// for changes.
	scanInterval = 250 * time.Millisecond
	// reportInterval is the time between health reports of a service;
	// urgentReportInterval applies while one of its servers requests or holds
	// an ejection permit.
	reportInterval       = 5 * time.Second
	urgentReportInterval = time.Second
	reportTimeout        = time.Second
)

// Run updates the owned servers, probes them and reports their health to the
// arbiters until the context is done.
func (o *Owner) Run(ctx context.Context) error {
	go o.reportLoop(ctx)
	go o.probeLoop(ctx)
	ticker := time.NewTicker(advanceInterval)
	defer ticker.Stop()
	var scanned time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(scanned) >= scanInterval {
			scanned = now
			o.scan(now)
		}
		for _, s := range o.owned() {
			s.advance(now)
		}
	}
}

func (o *Owner) owned() []*server {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.servers))
}

// scan drops servers that this instance no longer owns, empties the queues of
// servers that are out of service and, after a change of the configuration or
// the roster, starts to own the servers for which it ranks first.
func (o *Owner) scan(now time.Time) {
	cfg := o.state.Config()
	version := [2]uint64{cfg.Revision, o.state.Roster().Epoch}
	for _, s := range o.owned() {
		srv, ok := cfg.Servers[s.doc.ID]
		_, held := o.ownership(now, s.doc)
		switch {
		case !ok || !held || srv.Address != s.doc.Address || srv.Service != s.doc.Service || srv.FailureDomain != s.doc.FailureDomain:
			o.drop(s)
		case !o.state.InService(srv.ID):
			s.takeOutOfService()
		case version != o.scannedVersion:
			o.mu.Lock()
			config := o.slotConfig(srv)
			o.mu.Unlock()
			s.reconfigure(now, config)
		}
	}
	missing := false
	if version == o.scannedVersion {
		return
	}
	for _, srv := range o.RankedFirst() {
		if _, err := o.server(srv); err != nil {
			// The ownership begins later, when the previous owner's lease has
			// expired.
			missing = true
		}
	}
	if !missing {
		o.scannedVersion = version
	}
}

// drop ends the ownership of a server. Running requests finish; their deadlines
// are kept in case this instance owns the server again before they have passed.
func (o *Owner) drop(s *server) {
	s.mu.Lock()
	for _, id := range s.slots.Close().Evicted {
		s.notify(id, errOutOfService)
	}
	state := s.slots.State()
	s.mu.Unlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.servers, s.doc.ID)
	o.releasedStates[s.doc.ID] = state
	if len(state.Running) > 0 {
		o.unfinished[s.doc.ID] = state.Running
	}
}

func (s *server) takeOutOfService() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range s.slots.Flush().Evicted {
		s.notify(id, errOutOfService)
	}
	// Slow start applies when the server returns to service.
	s.slots.Reset()
	s.firstRamp = true
}

// reportLoop sends health reports for the services of the owned servers.
func (o *Owner) reportLoop(ctx context.Context) {
	if o.network == nil {
		return
	}
	last := make(map[string]time.Time)
	ticker := time.NewTicker(urgentReportInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ctx.Done():
			return
		case <-o.reportNow:
			changed = true
		case <-ticker.C:
		}
		now := time.Now()
		for service, list := range o.services() {
			urgent := slices.ContainsFunc(list, func(s *server) bool { return s.urgent() })
			if urgent || changed || now.Sub(last[service]) >= reportInterval {
				last[service] = now
				o.report(ctx, service, list)
			}
		}
	}
}

func (o *Owner) services() map[string][]*server {
	groups := make(map[string][]*server)
	for _, s := range o.owned() {
		groups[s.doc.Service] = append(groups[s.doc.Service], s)
	}
	return groups
}

func (s *server) urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ejection.WantsPermit()
}

func (o *Owner) report(ctx context.Context, service string, list []*server) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &peerpb.ReportRequest{Service: service, Instance: o.rights.Self().ID}
	for _, s := range list {
		o.checkPath(ctx, s)
		request.Servers = append(request.Servers, s.report(time.Now()))
	}
	requestedAt := time.Now()
	reply, err := o.network.Report(ctx, request)
	if err != nil || !reply.Held {
		log.WithFields(log.Fields{"event": "report_failed", "service": service}).WithError(err).Debug("no arbiter accepted the health report")
		return
	}
	o.applyReport(requestedAt, service, list, reply)
}

func (s *server) report(now time.Time) *peerpb.ServerReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.detector.Assess(now)
	return &peerpb.ServerReport{Server: s.doc.ID, FailureShare: v.FailureShare, MedianUs: uint64(v.Median.Microseconds()),
		Limit: uint32(s.slots.Limit()), Cold: s.slots.Cold(), WantsEjection: s.ejection.WantsPermit() && !s.pathBroken,
		Ejected: s.ejection.OutOfRotation(), Evidence: s.ejection.LastReason(), Score: v.Score}
}

func (o *Owner) applyReport(requestedAt time.Time, service string, list []*server, reply *peerpb.ReportReply) {
	granted := make(map[string]time.Duration)
	for _, p := range reply.Permits {
		granted[p.Server] = time.Duration(p.TtlMs) * time.Millisecond
	}
	for _, s := range list {
		s.mu.Lock()
		now := time.Now()
		if ttl, ok := granted[s.doc.ID]; ok {
			s.applyEjectionChange(now, s.ejection.ApplyPermit(now, requestedAt, ttl))
		} else if s.ejection.State() == health.Failing && reply.Reason != "" {
			log.WithFields(log.Fields{"event": "ejection_refused", "server": s.doc.ID, "service": service,
				"reason": reply.Reason, "evidence": s.ejection.LastReason()}).Warn("ejection refused")
		}
		s.detector.SetServiceMedian(time.Duration(reply.ServiceMedianUs) * time.Microsecond)
		s.mu.Unlock()
	}
	o.addQuarantined(service, reply.Quarantined, reply.QuarantinedMs)
}

// checkPath asks a second instance to connect to a failing server if all of its
// failures were connection failures. If that instance can connect, the network
// path of this instance is broken, and the failures say nothing about the
// server.
func (o *Owner) checkPath(ctx context.Context, s *server) {
	s.mu.Lock()
	need := s.ejection.State() == health.Failing && !s.pathChecked && s.detector.Assess(time.Now()).ConnectOnly
	s.mu.Unlock()
	if !need {
		return
	}
	connected, err := o.network.Dial(ctx, s.doc.Address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pathChecked, s.pathBroken = err == nil, err == nil && connected
	if s.pathBroken {
		log.WithFields(log.Fields{"event": "own_path_broken", "server": s.doc.ID, "service": s.doc.Service,
			"evidence": s.ejection.LastReason()}).Warn("another instance can connect to the server; not ejecting it")
	}
}

// addQuarantined adds the arbiter's list to the local quarantine and removes
// the crashes caused by these requests from the evidence against the servers.
func (o *Owner) addQuarantined(service string, list [][]byte, ttls []uint64) {
	now := time.Now()
	for i, raw := range list {
		var f health.Fingerprint
		if len(raw) != len(f) || i >= len(ttls) {
			continue
		}
		copy(f[:], raw)
		o.quarantineMu.Lock()
		known := o.quarantine.Refuses(now, f)
		o.quarantine.Add(now, f, now.Add(time.Duration(ttls[i])*time.Millisecond))
		o.quarantineMu.Unlock()
		if known {
			continue
		}
		log.WithFields(log.Fields{"event": "request_quarantined", "service": service, "fingerprint": fmt.Sprintf("%x", raw)}).
			Warn("request quarantined after it crashed two servers")
		for _, s := range o.services()[service] {
			s.mu.Lock()
			if s.detector.DiscardCrashes(now, f) {
				s.ejection.UndoBackoffIncrease(now)
			}
			s.mu.Unlock()
		}
	}
}

// ApplyQuarantine applies a list of quarantined requests pushed by the arbiter.
func (o *Owner) ApplyQuarantine(r *peerpb.QuarantineRequest) {
	ttls := make([]uint64, len(r.Fingerprints))
	for i := range ttls {
		ttls[i] = r.TtlMs
	}
	o.addQuarantined(r.Service, r.Fingerprints, ttls)
}

func (s *server) reconfigure(now time.Time, cfg slots.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEffects(s.slots.Reconfigure(now, cfg))
}
