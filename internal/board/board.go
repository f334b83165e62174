// Package board holds the shared in-memory state of one instance: the
// configuration, the members of the fleet, and whether the instance may serve.
// It does no I/O.
package board

import (
	"sync/atomic"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// InstanceState is the shared state of one instance. It is safe for concurrent
// use.
type InstanceState struct {
	config atomic.Pointer[document.Snapshot]
	// roster lists the members of the fleet.
	roster atomic.Pointer[roster.Roster]
	// offset is the highest applied offset of the replicated log.
	offset atomic.Uint64
	// fresh is set while the configuration is confirmed to be recent enough to
	// serve.
	fresh atomic.Bool
	// stopping is set once the instance has begun a planned shutdown.
	stopping atomic.Bool
	// admitted is set once the load balancer may send requests.
	admitted atomic.Bool
	// leaving holds the IDs of the backend servers that the platform lists as
	// leaving.
	leaving atomic.Pointer[map[string]bool]
}

// New returns a state with an empty configuration and roster.
func New() *InstanceState {
	s := &InstanceState{}
	s.config.Store(document.NewSnapshot(0, &document.Document{}))
	s.roster.Store(roster.New(0, nil))
	return s
}

// Config returns the current configuration.
func (s *InstanceState) Config() *document.Snapshot { return s.config.Load() }

// SetConfig replaces the configuration. An older revision is ignored, so the
// revision never decreases.
func (s *InstanceState) SetConfig(config *document.Snapshot) {
	for {
		current := s.config.Load()
		if config.Revision < current.Revision || s.config.CompareAndSwap(current, config) {
			return
		}
	}
}

// SetLeaving replaces the set of leaving backend servers.
func (s *InstanceState) SetLeaving(servers map[string]bool) { s.leaving.Store(&servers) }

// Leaving reports whether the platform lists the backend server as leaving.
func (s *InstanceState) Leaving(server string) bool {
	set := s.leaving.Load()
	return set != nil && (*set)[server]
}

// InService reports whether a backend server may get new requests: neither it
// nor its failure domain was taken out of service, and it is not leaving.
func (s *InstanceState) InService(server string) bool {
	return s.Config().InService(server) && !s.Leaving(server)
}

// Roster returns the members of the fleet, as agreed on by the instances.
func (s *InstanceState) Roster() *roster.Roster { return s.roster.Load() }

// SetRoster replaces the members of the fleet.
func (s *InstanceState) SetRoster(r *roster.Roster) { s.roster.Store(r) }

// Offset returns the highest applied offset of the replicated log.
func (s *InstanceState) Offset() uint64 { return s.offset.Load() }

// SetOffset sets the highest applied offset of the replicated log.
func (s *InstanceState) SetOffset(o uint64) { s.offset.Store(o) }

// Fresh reports whether the configuration is confirmed to be recent enough to
// serve; package freshness decides.
func (s *InstanceState) Fresh() bool { return s.fresh.Load() }

// SetFresh sets whether the configuration is recent enough to serve.
func (s *InstanceState) SetFresh(f bool) { s.fresh.Store(f) }

// Ready reports whether the load balancer may send requests: the instance has
// been admitted, holds a configuration confirmed to be recent, and isn't
// stopping.
func (s *InstanceState) Ready() bool {
	return s.admitted.Load() && s.Fresh() && !s.Stopping() && s.Config().Revision > 0
}

// Admit allows the load balancer to send requests.
func (s *InstanceState) Admit() { s.admitted.Store(true) }

// Stopping reports whether a planned shutdown has begun.
func (s *InstanceState) Stopping() bool { return s.stopping.Load() }

// SetStopping marks the beginning of a planned shutdown.
func (s *InstanceState) SetStopping() { s.stopping.Store(true) }
