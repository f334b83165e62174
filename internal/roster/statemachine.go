package roster

import "slices"

// Kind of a membership record.
type Kind string

// The kinds of membership records.
const (
	// Join adds an incarnation. It needs the whole Member.
	Join Kind = "join"
	// Drain moves an incarnation to Leaving: it gives up its rights.
	Drain Kind = "drain"
	// Leave ends an incarnation that shuts down in order. It is appended after
	// the instance has given up its rights and stopped granting leases.
	Leave Kind = "leave"
	// Down ends an incarnation that is fenced: its lease was proven to have
	// lapsed for good.
	Down Kind = "down"
)

// Record is one membership record of the log. Records other than Join need
// only the ID and the incarnation.
type Record struct {
	Kind   Kind   `json:"kind"`
	Member Member `json:"member"`
	// Ends is the earlier incarnation of the same process that a Join ends,
	// or zero. One record for both keeps the member in all witness sets.
	Ends uint64 `json:"ends,omitempty"`
}

// EndedRetention is for how many log offsets a gone incarnation stays in the
// roster. During that time late repeats of its Join are recognised, and earlier
// witness sets that included it can be computed. At the target size of 2,500
// instances, 4,096 offsets are about 50 minutes.
const EndedRetention = 4096

// StateMachine builds rosters from the membership records, applied in the order
// of the log. The state of an incarnation only moves forward, so repeated records
// change nothing.
type StateMachine struct {
	epoch   uint64
	atStart bool
	members map[Ref]Member
	latest  map[string]uint64
	roster  *Roster
	// onChange is called with each entry that is removed or added.
	onChange func(Member)
}

// pruneEvery is the number of offsets between two removals of entries that
// ended EndedRetention ago. It depends on offsets alone, so every reader
// removes the same.
const pruneEvery = 256

// NewStateMachine returns an empty state machine. fromStart says that the records
// that follow begin with the first record ever appended to the log; only then can
// a member be a founding one.
func NewStateMachine(fromStart bool) *StateMachine {
	return &StateMachine{atStart: fromStart, members: make(map[Ref]Member), latest: make(map[string]uint64), onChange: func(Member) {}}
}

// OnChange sets a function that is called with each entry that is removed or
// added, to maintain a digest of the state.
func (f *StateMachine) OnChange(onChange func(Member)) { f.onChange = onChange }

// Resume returns a state machine that continues from a roster, for example that
// of a snapshot record.
func Resume(r *Roster) *StateMachine {
	// A snapshot without membership records proves that there were none.
	f := NewStateMachine(r.Epoch == 0)
	f.epoch = r.Epoch
	for _, m := range r.Members() {
		f.put(m)
	}
	return f
}

func (f *StateMachine) put(m Member) {
	if old, ok := f.members[m.Ref()]; ok {
		f.onChange(old)
	}
	f.onChange(m)
	f.members[m.Ref()] = m
	f.latest[m.ID] = max(f.latest[m.ID], m.Incarnation)
}

// Apply processes the record at a log offset. Offsets that were already applied
// are ignored. It reports whether the epoch has changed.
func (f *StateMachine) Apply(offset uint64, rec Record) bool {
	if offset <= f.epoch || rec.Member.ID == "" {
		return false
	}
	switch rec.Kind {
	case Join:
		f.join(offset, rec.Member, rec.Ends)
	case Drain:
		f.end(offset, rec.Member, Leaving, false)
	case Leave:
		f.end(offset, rec.Member, Gone, false)
	case Down:
		f.end(offset, rec.Member, Gone, true)
	default:
		return false
	}
	f.prune(offset)
	f.epoch, f.roster, f.atStart = offset, nil, false
	return true
}

func (f *StateMachine) join(offset uint64, m Member, ends uint64) {
	if _, known := f.members[m.Ref()]; known || m.Incarnation < f.latest[m.ID] {
		return
	}
	if old, ok := f.members[Ref{m.ID, f.latest[m.ID]}]; ok && old.State == Active {
		// The superseded incarnation may still run. It stays in state Active
		// until it has left or its lease is proven to have lapsed, but is no
		// longer ranked.
		old.InactiveAt = offset
		f.put(old)
	}
	if ends > 0 && ends < m.Incarnation {
		f.end(offset, Member{ID: m.ID, Incarnation: ends}, Gone, false)
	}
	m.State, m.JoinedAt, m.InactiveAt, m.Down, m.Founding = Active, offset, 0, false, f.atStart
	f.put(m)
}

func (f *StateMachine) end(offset uint64, m Member, to State, down bool) {
	old, ok := f.members[m.Ref()]
	if !ok {
		old = Member{ID: m.ID, Incarnation: m.Incarnation, JoinedAt: offset}
	}
	if old.State >= to {
		return
	}
	old.State, old.Down = to, down
	if old.InactiveAt == 0 {
		old.InactiveAt = offset
	}
	f.put(old)
}

func (f *StateMachine) prune(offset uint64) {
	if offset <= EndedRetention || offset/pruneEvery == f.epoch/pruneEvery {
		return
	}
	for ref, m := range f.members {
		if m.State == Gone && m.InactiveAt < offset-EndedRetention {
			f.onChange(m)
			delete(f.members, ref)
			if f.latest[ref.ID] == ref.Incarnation {
				delete(f.latest, ref.ID)
			}
		}
	}
}

// Epoch returns the offset of the last membership record applied.
func (f *StateMachine) Epoch() uint64 { return f.epoch }

// Roster returns the roster at the current epoch.
func (f *StateMachine) Roster() *Roster {
	if f.roster == nil {
		list := make([]Member, 0, len(f.members))
		for _, m := range f.members {
			list = append(list, m)
		}
		slices.SortFunc(list, compareRefs)
		f.roster = New(f.epoch, list)
	}
	return f.roster
}
