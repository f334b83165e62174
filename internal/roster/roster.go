// Package roster holds the member set of the fleet and ranks members for rights,
// such as sending to a backend server, by rendezvous hashing. The set is computed
// from the membership records of the platform's log alone. The epoch is the log
// offset of the last one applied, so all instances at the same epoch have the same
// roster.
package roster

import (
	"cmp"
	"slices"
	"sync"
)

// State of a member's incarnation; it only moves forward.
type State int

// The states of a member.
const (
	// Active members are ranked for rights and chosen as witnesses.
	Active State = iota
	// Leaving members hold no rights but still finish requests.
	Leaving
	// Gone members have left or were proven to hold no lease.
	Gone
)

// Member is one instance of the fleet.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// PeerAddress is the host:port of the drpc listener.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the host:port of the administration API.
	AdminAddress string `json:"admin_address"`
	// Founding is set if the Join is known to be the first membership record
	// of the log.
	Founding bool  `json:"founding"`
	State    State `json:"state"`
	// JoinedAt is the log offset of the Join.
	JoinedAt uint64 `json:"joined_at,omitempty"`
	// InactiveAt is the log offset of the record that ended the active state
	// of this incarnation, or zero while it is active.
	InactiveAt uint64 `json:"inactive_at,omitempty"`
	// Down is set if the member is gone because its lease was proven to have
	// lapsed; otherwise a gone member left by itself.
	Down bool `json:"down,omitempty"`
}

// Ref identifies one incarnation of a member.
type Ref struct {
	ID          string
	Incarnation uint64
}

// Compare orders incarnations by ID and number.
func (r Ref) Compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.ID, o.ID), cmp.Compare(r.Incarnation, o.Incarnation))
}

// Ref returns the identity of the incarnation.
func (m Member) Ref() Ref { return Ref{m.ID, m.Incarnation} }

// Scope limits a ranking to a region or failure domain. Empty fields do not
// limit.
type Scope struct {
	Region        string
	FailureDomain string
}

// Includes reports whether the member lies in the scope.
func (s Scope) Includes(m Member) bool {
	return (s.Region == "" || s.Region == m.Region) &&
		(s.FailureDomain == "" || s.FailureDomain == m.FailureDomain)
}

// Wider returns the scope that applies while no member of s can hold a right:
// the region of a failure domain. It reports false if there is none.
func (s Scope) Wider() (Scope, bool) {
	if s.FailureDomain == "" || s.Region == "" {
		return Scope{}, false
	}
	return Scope{Region: s.Region}, true
}

// Roster is the immutable set of members at one epoch. It is safe for
// concurrent use.
type Roster struct {
	// Epoch is the log offset of the last membership record applied.
	Epoch uint64

	members    map[string]Member // latest incarnation of each ID
	superseded []Member          // older incarnations of the same IDs

	mu     sync.Mutex
	scopes map[Scope][]candidate
}

// candidate is an active member with the hash of its ID, which is computed
// once per roster and not once per ranked key.
type candidate struct {
	hash   uint64
	member Member
}

// New returns a roster of the given members. If an ID occurs more than once,
// the highest incarnation is current and the others are superseded.
func New(epoch uint64, members []Member) *Roster {
	r := &Roster{Epoch: epoch, members: make(map[string]Member, len(members))}
	for _, m := range members {
		old, ok := r.members[m.ID]
		switch {
		case !ok:
			r.members[m.ID] = m
		case old.Incarnation < m.Incarnation:
			r.superseded = append(r.superseded, old)
			r.members[m.ID] = m
		default:
			r.superseded = append(r.superseded, m)
		}
	}
	slices.SortFunc(r.superseded, compareRefs)
	return r
}

func compareRefs(a, b Member) int { return a.Ref().Compare(b.Ref()) }

// Get returns the latest incarnation of a member by ID.
func (r *Roster) Get(id string) (Member, bool) {
	m, ok := r.members[id]
	return m, ok
}

// Find returns the entry of one incarnation.
func (r *Roster) Find(ref Ref) (Member, bool) {
	if m, ok := r.members[ref.ID]; ok && m.Incarnation == ref.Incarnation {
		return m, true
	}
	for _, m := range r.superseded {
		if m.Ref() == ref {
			return m, true
		}
	}
	return Member{}, false
}

// Members returns all incarnations that the roster knows, ordered by ID and
// incarnation. New makes an equal roster from them.
func (r *Roster) Members() []Member {
	list := make([]Member, 0, len(r.members)+len(r.superseded))
	for _, m := range r.members {
		list = append(list, m)
	}
	list = append(list, r.superseded...)
	slices.SortFunc(list, compareRefs)
	return list
}

// Active returns the active members in the scope, ordered by ID.
func (r *Roster) Active(scope Scope) []Member {
	list := r.candidates(scope)
	members := make([]Member, len(list))
	for i := range list {
		members[i] = list[i].member
	}
	return members
}

// candidates returns the active members in the scope, ordered by ID. The
// result is cached, since one roster ranks many keys over few scopes.
func (r *Roster) candidates(scope Scope) []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := r.scopes[scope]; ok {
		return list
	}
	list := make([]candidate, 0)
	for _, m := range r.members {
		if m.State == Active && scope.Includes(m) {
			list = append(list, candidate{Hash(m.ID), m})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.member.ID, b.member.ID) })
	if r.scopes == nil {
		r.scopes = make(map[Scope][]candidate)
	}
	r.scopes[scope] = list
	return list
}

// Rank returns the active members in the scope, highest rendezvous hash of
// (key, member ID) first. It sorts all members in the scope; First does not.
func (r *Roster) Rank(key string, scope Scope) []Member {
	list := r.candidates(scope)
	hash := Hash(key)
	order := make([]weighted, len(list))
	for i := range list {
		order[i] = weighted{Weight(hash, list[i].hash), i}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		// Equal weights are ordered by ID, which is the order of the indexes.
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.index, b.index))
	})
	members := make([]Member, len(list))
	for i, w := range order {
		members[i] = list[w.index].member
	}
	return members
}

// weighted is the index of a candidate with its weight for a key.
type weighted struct {
	weight uint64
	index  int
}

// First returns the first ranked active member in the scope that is not
// excluded. A nil map excludes nobody. It does not allocate.
func (r *Roster) First(key string, scope Scope, excluded map[Ref]bool) (Member, bool) {
	list := r.candidates(scope)
	hash := Hash(key)
	best, weight := -1, uint64(0)
	for i := range list {
		w := Weight(hash, list[i].hash)
		if best >= 0 && w <= weight {
			continue
		}
		if len(excluded) > 0 && excluded[list[i].member.Ref()] {
			continue
		}
		best, weight = i, w
	}
	if best < 0 {
		return Member{}, false
	}
	return list[best].member, true
}

// Hash returns the hash of a key or member ID: FNV-1a and a final avalanche
// step, since FNV alone mixes the last bytes poorly.
func Hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * prime
	}
	return mix(h)
}

// Weight returns the rendezvous hash of a key and a member from the hashes of
// both. The member with the highest weight is ranked first.
func Weight(key, member uint64) uint64 { return mix(key ^ (member<<1 | member>>63)) }

// mix is the finaliser of MurmurHash3.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
