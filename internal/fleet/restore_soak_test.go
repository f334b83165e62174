package fleet

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// directoryModel is a store's directory whose servers register, drain, leave and write
// again what a restore has lost.
type directoryModel struct {
	rng *rand.Rand
	now time.Time
	era uint64
	// log holds the changes of the era, newest the entries that the store gives out.
	log    []catalog.Change
	newest map[string]catalog.Server
	// copies are earlier states of newest, by age.
	copies []map[string]catalog.Server
	// running holds the last entry of each server that runs.
	running map[string]catalog.Server
	// writtenAt holds when each server wrote last.
	writtenAt map[string]time.Time
	// lost holds when servers write again what a restore has lost, and when the entries of
	// servers that have left are dropped.
	lost map[string]time.Time
	next int
}

func (m *directoryModel) write(s catalog.Server) {
	m.newest[s.ID], m.writtenAt[s.ID] = s, m.now
	m.log = append(m.log, catalog.Change{Server: &s})
}

func (m *directoryModel) remove(id string) {
	delete(m.newest, id)
	m.log = append(m.log, catalog.Change{RemovedServer: id})
}

// change lets one server register, drain, leave or write its heartbeat.
func (m *directoryModel) change() {
	kind := m.rng.IntN(4)
	if kind == 0 || len(m.running) < 3 {
		m.next++
		s := catalog.Server{ID: fmt.Sprint("i-", m.next), Service: "desk", Address: "127.0.0.1:1", Domain: "a", Slots: 1, Incarnation: int64(m.next), Sequence: 1}
		m.running[s.ID] = s
		m.write(s)
		return
	}
	ids := slices.Sorted(maps.Keys(m.running))
	id := ids[m.rng.IntN(len(ids))]
	if kind == 2 {
		delete(m.running, id)
		m.remove(id)
		return
	}
	m.heartbeat(id, kind == 1)
}

// heartbeat lets a server write its entry.
func (m *directoryModel) heartbeat(id string, drain bool) {
	s := m.running[id]
	s.Sequence++
	s.Draining = s.Draining || drain
	m.running[id] = s
	m.write(s)
}

// heartbeats lets servers write that have not done so for heartbeatInterval.
func (m *directoryModel) heartbeats() {
	const heartbeatInterval = 1500 * time.Millisecond
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		if _, waits := m.lost[id]; !waits && m.now.Sub(m.writtenAt[id]) >= heartbeatInterval {
			m.heartbeat(id, false)
		}
	}
}

// restore brings back an older copy. Servers that run write again within two seconds;
// entries of those that have left stay until they have been silent for long.
func (m *directoryModel) restore() {
	m.newest = maps.Clone(m.copies[m.rng.IntN(len(m.copies))])
	m.era++
	m.log = nil
	m.lost = make(map[string]time.Time)
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		m.lost[id] = m.now.Add(time.Duration(m.rng.IntN(2000)) * time.Millisecond)
	}
	for id := range m.newest {
		if _, ok := m.running[id]; !ok {
			m.lost[id] = m.now.Add(4500 * time.Millisecond)
		}
	}
}

// writeAgain writes what is due after a restore.
func (m *directoryModel) writeAgain() {
	for id, at := range m.lost {
		if m.now.Before(at) {
			continue
		}
		delete(m.lost, id)
		if _, ok := m.running[id]; !ok {
			m.remove(id)
			continue
		}
		m.heartbeat(id, false)
	}
}

// read answers as Source.Servers does.
func (m *directoryModel) read(from Position) ([]catalog.Change, Position) {
	end := Position{Era: m.era, Offset: int64(len(m.log))}
	if from.Era == m.era && from.Offset >= 0 {
		return m.log[from.Offset:], end
	}
	servers := maps.Clone(m.newest)
	return []catalog.Change{{Servers: &servers, Outdated: from.Era != 0 && from.Era < m.era}}, end
}

// Guards against servers that have left or drain coming back into use, and against servers
// that stay unknown, over random changes, restores, and changes of the coordinator. The
// number of seeds can be raised by hand with RESTORE_SEEDS.
func TestRestoreSoak(t *testing.T) {
	seeds := 40
	if n, err := strconv.Atoi(os.Getenv("RESTORE_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range uint64(seeds) {
		soakRestores(t, seed)
	}
}

func soakRestores(t *testing.T, seed uint64) {
	const (
		step   = 100 * time.Millisecond
		length = 60 * time.Second
	)
	m := &directoryModel{
		rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1000, 0), era: 1, newest: make(map[string]catalog.Server),
		running: make(map[string]catalog.Server), writtenAt: make(map[string]time.Time), copies: []map[string]catalog.Server{{}},
	}
	f := New(Options{Self: Peer{Name: "self", Address: "self:1", Domain: "a"}})
	c, progress := f.newCoordinator(func() {}), newFollower(0)
	// disturbedAt is when the store was restored or the coordinator replaced last.
	var disturbedAt time.Time
	// confirmed holds the last entry of each server that a coordinator has read.
	confirmed := make(map[string]catalog.Server)
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(step) {
		quiet := m.now.Sub(disturbedAt)
		if m.rng.IntN(4) == 0 && (quiet < settleTime || quiet > 2*settleTime) {
			m.change()
		}
		m.writeAgain()
		m.heartbeats()
		m.copies = append(m.copies, maps.Clone(m.newest))
		m.copies = m.copies[max(0, len(m.copies)-90):]
		switch m.rng.IntN(150) {
		case 0:
			if len(m.lost) == 0 {
				m.restore()
				disturbedAt = m.now
			}
		case 1:
			c, progress = f.newCoordinator(func() {}), newFollower(f.replica.era())
			disturbedAt = m.now
		}
		if m.rng.IntN(3) == 0 {
			continue
		}
		from := progress.next(m.now)
		changes, next := m.read(from)
		progress.advance(m.now, from, changes, next)
		c.applyChanges(changes)
		c.noteSettled(operatorTopic, m.era)
		c.noteSettled(directoryTopic, progress.settled(m.now))
		known := c.knownServers()
		for id, s := range known {
			if last, ok := confirmed[id]; ok && s.Before(&last) {
				t.Fatalf("seed %d, %v: entry %+v in use after %+v was read", seed, m.now, s, last)
			}
			confirmed[id] = s
		}
		for id := range confirmed {
			if _, ok := known[id]; ok {
				continue
			}
			if _, ok := m.running[id]; !ok {
				confirmed[id] = catalog.Server{ID: id, Incarnation: 1 << 40}
			}
		}
		if quiet := m.now.Sub(disturbedAt); quiet > settleTime+rewriteTime && quiet < 2*settleTime && !maps.Equal(known, m.newest) {
			t.Fatalf("seed %d, %v: known %v, the store has %v", seed, m.now, known, m.newest)
		}
	}
}
