package fleet

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// replica is an instance's copy of the state of the fleet and of the backend
// servers. The coordinator updates its own copy; members apply its messages.
type replica struct {
	// index is the configuration in force. Its version never decreases.
	index atomic.Pointer[catalog.Index]

	mu sync.Mutex
	// encodedConfigBytes caches the encoded configuration in force.
	encodedConfigBytes []byte
	// servers, coldUntil (the end of each server's cold start) and suspicions
	// are replicated to standbys only.
	servers   map[string]catalog.Server
	coldUntil map[string]time.Time
	// domainsOut holds the failure domains that are out of service.
	domainsOut map[string]bool
	roster     map[string]Peer
	// storeEra is the era of the store up to which all that was confirmed is known.
	storeEra   uint64
	suspicions []dispatch.Suspicion
	// suspectedAt is when the suspicions were received.
	suspectedAt time.Time
}

func newReplica() *replica {
	return &replica{
		servers: make(map[string]catalog.Server), coldUntil: make(map[string]time.Time),
		domainsOut: make(map[string]bool), roster: make(map[string]Peer),
	}
}

// setConfig puts a configuration in force if it is newer than the current one.
// It reports whether it did.
func (m *replica) setConfig(c *catalog.Config) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index := m.index.Load(); index != nil && index.Config.Version >= c.Version {
		return false
	}
	m.index.Store(catalog.NewIndex(c))
	m.encodedConfigBytes = nil
	return true
}

// encodedConfig returns the encoded configuration in force, or nil.
func (m *replica) encodedConfig() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := m.index.Load()
	if index == nil || m.encodedConfigBytes != nil {
		return m.encodedConfigBytes, nil
	}
	encoded, err := encodeConfig(index.Config)
	if err != nil {
		return nil, err
	}
	m.encodedConfigBytes = encoded
	return encoded, nil
}

// configVersion returns the version of the configuration in force, or 0.
func (m *replica) configVersion() uint64 {
	if index := m.index.Load(); index != nil {
		return index.Config.Version
	}
	return 0
}

// rosterWithout returns the roster except for one instance, sorted by address.
func (m *replica) rosterWithout(address string) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Peer, 0, len(m.roster))
	for a, p := range m.roster {
		if a != address {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// addPeer adds an instance to the roster.
func (m *replica) addPeer(p Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster[p.Address] = p
}

// removePeer removes an instance from the roster.
func (m *replica) removePeer(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.roster, address)
}

// setRoster replaces the roster.
func (m *replica) setRoster(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = make(map[string]Peer, len(peers))
	for _, p := range peers {
		m.roster[p.Address] = p
	}
}

// apply applies a state message from the coordinator.
func (m *replica) apply(s *peerpb.FleetState, now time.Time) error {
	if len(s.Config) > 0 {
		c, err := decodeConfig(s.Config)
		if err != nil {
			return err
		}
		m.setConfig(c)
	}
	if s.HasRoster {
		peers := make([]Peer, 0, len(s.Roster))
		for _, p := range s.Roster {
			peers = append(peers, peerFromProto(p))
		}
		m.setRoster(peers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.storeEra = max(m.storeEra, s.StoreEra)
	if !s.HasRoster {
		for _, p := range s.Roster {
			m.roster[p.Address] = peerFromProto(p)
		}
	}
	for _, a := range s.RosterGone {
		delete(m.roster, a)
	}
	if s.Complete || s.ReplaceServers {
		clear(m.servers)
		clear(m.coldUntil)
		m.suspicions = nil
	}
	for _, e := range s.Servers {
		m.servers[e.Id] = serverFromProto(e)
		m.coldUntil[e.Id] = now.Add(time.Duration(e.ColdMs) * time.Millisecond)
	}
	for _, id := range s.Gone {
		delete(m.servers, id)
		delete(m.coldUntil, id)
	}
	if s.HasDomainsOut {
		clear(m.domainsOut)
		for _, name := range s.DomainsOut {
			m.domainsOut[name] = true
		}
	}
	if len(s.Suspicions) > 0 {
		m.suspicions, m.suspectedAt = m.suspicions[:0], now
		for _, suspicion := range s.Suspicions {
			m.suspicions = append(m.suspicions, suspicionFromProto(suspicion))
		}
	}
	return nil
}

// era returns the era of the store up to which all that was confirmed is known.
func (m *replica) era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.storeEra
}

// completeState returns a message with the whole state except for the backend
// servers and suspicions.
func (m *replica) completeState() (*peerpb.FleetState, error) {
	s := &peerpb.FleetState{Complete: true, HasDomainsOut: true, HasRoster: true, ConfigVersion: m.configVersion(), StoreEra: m.era()}
	encoded, err := m.encodedConfig()
	if err != nil {
		return nil, err
	}
	s.Config = encoded
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.domainsOut {
		s.DomainsOut = append(s.DomainsOut, name)
	}
	for _, p := range m.roster {
		s.Roster = append(s.Roster, peerToProto(p))
	}
	return s, nil
}

// serversToProto returns all backend servers as messages.
func (m *replica) serversToProto(now time.Time) []*peerpb.ServerEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*peerpb.ServerEntry, 0, len(m.servers))
	for id, server := range m.servers {
		out = append(out, serverToProto(server, m.coldUntil[id].Sub(now)))
	}
	return out
}

func serverToProto(s catalog.Server, cold time.Duration) *peerpb.ServerEntry {
	return &peerpb.ServerEntry{
		Id: s.ID, Service: s.Service, Address: s.Address, Domain: s.Domain, Slots: uint32(s.Slots),
		Draining: s.Draining, Born: s.Incarnation, Sequence: s.Sequence, ColdMs: uint32(max(0, cold).Milliseconds()),
	}
}

func serverFromProto(e *peerpb.ServerEntry) catalog.Server {
	return catalog.Server{
		ID: e.Id, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: int(e.Slots),
		Draining: e.Draining, Incarnation: e.Born, Sequence: e.Sequence, Cold: time.Duration(e.ColdMs) * time.Millisecond,
	}
}

func suspicionToProto(s dispatch.Suspicion) *peerpb.Suspicion {
	out := &peerpb.Suspicion{Server: s.Server, Probability: float32(s.FailureProbability)}
	if s.SinceFailure >= 0 {
		out.SinceFailureMs = uint32(s.SinceFailure.Milliseconds()) + 1
	}
	return out
}

func suspicionFromProto(s *peerpb.Suspicion) dispatch.Suspicion {
	return dispatch.Suspicion{
		Server: s.Server, FailureProbability: float64(s.Probability),
		SinceFailure: time.Duration(s.SinceFailureMs)*time.Millisecond - time.Millisecond,
	}
}

func encodeConfig(c *catalog.Config) ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(c); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	return buf.Bytes(), nil
}

// maxConfigBytes bounds the decoded configuration from another instance.
const maxConfigBytes = 64 << 20

func decodeConfig(encoded []byte) (*catalog.Config, error) {
	var c catalog.Config
	r := flate.NewReader(bytes.NewReader(encoded))
	if err := json.NewDecoder(io.LimitReader(r, maxConfigBytes)).Decode(&c); err != nil {
		return nil, fmt.Errorf("decode configuration: %w", err)
	}
	return &c, nil
}
