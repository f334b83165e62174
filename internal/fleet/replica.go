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
	suspicions []dispatch.Suspicion
}

func newReplica() *replica {
	return &replica{
		servers: make(map[string]catalog.Server), coldUntil: make(map[string]time.Time),
		domainsOut: make(map[string]bool), roster: make(map[string]Peer),
	}
}

// setConfig puts a configuration in force if it is newer than the current one.
// It reports whether it did.
func (r *replica) setConfig(c *catalog.Config) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index := r.index.Load(); index != nil && index.Config.Version >= c.Version {
		return false
	}
	r.index.Store(catalog.NewIndex(c))
	r.encodedConfigBytes = nil
	return true
}

// encodedConfig returns the encoded configuration in force, or nil.
func (r *replica) encodedConfig() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := r.index.Load()
	if index == nil || r.encodedConfigBytes != nil {
		return r.encodedConfigBytes, nil
	}
	encoded, err := encodeConfig(index.Config)
	if err != nil {
		return nil, err
	}
	r.encodedConfigBytes = encoded
	return encoded, nil
}

// rosterWithout returns the roster except for one instance, sorted by address.
func (r *replica) rosterWithout(address string) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Peer, 0, len(r.roster))
	for a, p := range r.roster {
		if a != address {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Address < out[j].Address })
	return out
}

// addPeer adds an instance to the roster.
func (r *replica) addPeer(p Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster[p.Address] = p
}

// removePeer removes an instance from the roster.
func (r *replica) removePeer(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.roster, address)
}

// setRoster replaces the roster.
func (r *replica) setRoster(peers []Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster = make(map[string]Peer, len(peers))
	for _, p := range peers {
		r.roster[p.Address] = p
	}
}

// apply applies a state message from the coordinator.
func (r *replica) apply(s *peerpb.FleetState, now time.Time) error {
	if len(s.Config) > 0 {
		c, err := decodeConfig(s.Config)
		if err != nil {
			return err
		}
		r.setConfig(c)
	}
	if s.HasRoster {
		peers := make([]Peer, 0, len(s.Roster))
		for _, p := range s.Roster {
			peers = append(peers, peerFromProto(p))
		}
		r.setRoster(peers)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.HasRoster {
		for _, p := range s.Roster {
			r.roster[p.Address] = peerFromProto(p)
		}
	}
	for _, a := range s.RosterGone {
		delete(r.roster, a)
	}
	if s.Complete || s.ReplaceServers {
		clear(r.servers)
		clear(r.coldUntil)
		r.suspicions = nil
	}
	for _, e := range s.Servers {
		r.servers[e.Id] = serverFromProto(e)
		r.coldUntil[e.Id] = now.Add(time.Duration(e.ColdMs) * time.Millisecond)
	}
	for _, id := range s.Gone {
		delete(r.servers, id)
		delete(r.coldUntil, id)
	}
	if s.HasDomainsOut {
		clear(r.domainsOut)
		for _, name := range s.DomainsOut {
			r.domainsOut[name] = true
		}
	}
	if len(s.Suspicions) > 0 {
		r.suspicions = r.suspicions[:0]
		for _, suspicion := range s.Suspicions {
			r.suspicions = append(r.suspicions, dispatch.Suspicion{Server: suspicion.Server, FailureProbability: float64(suspicion.Probability)})
		}
	}
	return nil
}

// completeState returns a message with the whole state except for the backend
// servers and suspicions.
func (r *replica) completeState() (*peerpb.FleetState, error) {
	s := &peerpb.FleetState{Complete: true, HasDomainsOut: true, HasRoster: true}
	encoded, err := r.encodedConfig()
	if err != nil {
		return nil, err
	}
	s.Config = encoded
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range r.domainsOut {
		s.DomainsOut = append(s.DomainsOut, name)
	}
	for _, p := range r.roster {
		s.Roster = append(s.Roster, peerToProto(p))
	}
	return s, nil
}

// serversToProto returns all backend servers as messages.
func (r *replica) serversToProto(now time.Time) []*peerpb.ServerEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*peerpb.ServerEntry, 0, len(r.servers))
	for id, server := range r.servers {
		out = append(out, serverToProto(server, r.coldUntil[id].Sub(now)))
	}
	return out
}

func serverToProto(s catalog.Server, cold time.Duration) *peerpb.ServerEntry {
	return &peerpb.ServerEntry{
		Id: s.ID, Service: s.Service, Address: s.Address, Domain: s.Domain, Slots: uint32(s.Slots),
		Draining: s.Draining, Born: s.Incarnation, ColdMs: uint32(max(0, cold).Milliseconds()),
	}
}

func serverFromProto(e *peerpb.ServerEntry) catalog.Server {
	return catalog.Server{
		ID: e.Id, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: int(e.Slots),
		Draining: e.Draining, Incarnation: e.Born, Cold: time.Duration(e.ColdMs) * time.Millisecond,
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
