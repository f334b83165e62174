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
	b := &InstanceState{}
	b.config.Store(document.NewSnapshot(0, &document.Document{}))
	b.roster.Store(roster.New(0, nil))
	return b
}

// Config returns the current configuration.
func (b *InstanceState) Config() *document.Snapshot { return b.config.Load() }

// SetConfig replaces the configuration. An older revision is ignored, so the
// revision never decreases.
func (b *InstanceState) SetConfig(s *document.Snapshot) {
	for {
		current := b.config.Load()
		if s.Revision < current.Revision || b.config.CompareAndSwap(current, s) {
			return
		}
	}
}

// SetLeaving replaces the set of leaving backend servers.
func (b *InstanceState) SetLeaving(servers map[string]bool) { b.leaving.Store(&servers) }

// Leaving reports whether the platform lists the backend server as leaving.
func (b *InstanceState) Leaving(server string) bool {
	set := b.leaving.Load()
	return set != nil && (*set)[server]
}

// InService reports whether a backend server may get new requests: neither it
// nor its failure domain was taken out of service, and it is not leaving.
func (b *InstanceState) InService(server string) bool {
	return b.Config().InService(server) && !b.Leaving(server)
}

// Roster returns the members of the fleet, as agreed on by the instances.
func (b *InstanceState) Roster() *roster.Roster { return b.roster.Load() }

// SetRoster replaces the members of the fleet.
func (b *InstanceState) SetRoster(r *roster.Roster) { b.roster.Store(r) }

// Offset returns the highest applied offset of the replicated log.
func (b *InstanceState) Offset() uint64 { return b.offset.Load() }

// SetOffset sets the highest applied offset of the replicated log.
func (b *InstanceState) SetOffset(o uint64) { b.offset.Store(o) }

// Fresh reports whether the configuration is confirmed to be recent enough to
// serve; package freshness decides.
func (b *InstanceState) Fresh() bool { return b.fresh.Load() }

// SetFresh sets whether the configuration is recent enough to serve.
func (b *InstanceState) SetFresh(f bool) { b.fresh.Store(f) }

// Ready reports whether the load balancer may send requests: the instance has
// been admitted, holds a configuration confirmed to be recent, and isn't
// stopping.
func (b *InstanceState) Ready() bool {
	return b.admitted.Load() && b.Fresh() && !b.Stopping() && b.Config().Revision > 0
}

// Admit allows the load balancer to send requests.
func (b *InstanceState) Admit() { b.admitted.Store(true) }

// Stopping reports whether a planned shutdown has begun.
func (b *InstanceState) Stopping() bool { return b.stopping.Load() }

// SetStopping marks the beginning of a planned shutdown.
func (b *InstanceState) SetStopping() { b.stopping.Store(true) }
