package journal

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"trefoilstream.example/trefoilstream/internal/roster"
)

// members is the membership part of the state.
type members struct {
	membership *roster.StateMachine
	// sum is the XOR of the hashes of all members.
	sum *[sha256.Size]byte
}

func newMembers() members { return newMembersOf(roster.NewStateMachine(true)) }

// restoredMembers returns the membership state of a snapshot.
func restoredMembers(epoch uint64, list []roster.Member) members {
	m := newMembersOf(roster.Resume(roster.New(epoch, list)))
	for _, e := range list {
		m.toggle(e)
	}
	return m
}

func newMembersOf(f *roster.StateMachine) members {
	m := members{membership: f, sum: new([sha256.Size]byte)}
	f.OnChange(m.toggle)
	return m
}

func (m members) roster() *roster.Roster { return m.membership.Roster() }

func (m members) epoch() uint64 { return m.membership.Epoch() }

// toggle XORs the hash of a member into the sum, which adds or removes it.
func (m members) toggle(e roster.Member) {
	text, err := json.Marshal(e)
	if err != nil {
		text = []byte(err.Error())
	}
	h := sha256.Sum256(text)
	for i := range m.sum {
		m.sum[i] ^= h[i]
	}
}

// digest returns the digest that identifies the state.
func (s *state) digest() string {
	h := sha256.New()
	config := s.config.Digest()
	h.Write(config[:])
	h.Write(s.members.sum[:])
	var numbers [16]byte
	for i := range 8 {
		numbers[i] = byte(s.config.Revision >> (8 * i))
		numbers[8+i] = byte(s.epoch() >> (8 * i))
	}
	h.Write(numbers[:])
	return hex.EncodeToString(h.Sum(nil))
}
