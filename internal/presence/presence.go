// Package presence decides what share of the fleet a coordinator counts as its own.
// Bounds of the whole fleet, such as the rates of teams, are divided by that share
// between coordinators that don't know of each other. It uses no network and no clock.
package presence

import (
	"slices"
	"time"
)

// Retention is how long an instance counts as missing after it was lost.
const Retention = 30 * time.Second

// fullShare is the share from which bounds are not reduced: they may be exceeded by a
// tenth, and so few missing instances cannot do so on their own.
const fullShare = 0.95

// View is what a coordinator knows of the instances of its fleet. An instance whose
// connection has ended is missing until there is evidence that it doesn't run, or that
// it follows this coordinator: it may have lost the path, and follow another one. A reset,
// a refusal, the end of a stream and silence are the same in this, since a cut network
// can cause each of them. A View is not safe for concurrent use.
type View struct {
	members map[string]struct{}
	// missing maps the addresses of instances that are not members to the time from which
	// they were not.
	missing map[string]time.Time
}

// NewView returns the view of a coordinator that takes over a roster of instances, by
// address. None of them has joined yet.
func NewView(now time.Time, roster []string) *View {
	v := &View{members: make(map[string]struct{}), missing: make(map[string]time.Time)}
	for _, address := range roster {
		v.missing[address] = now
	}
	return v
}

// Join notes that an instance has become a member. An earlier process at its address has
// ended.
func (v *View) Join(address string) {
	v.members[address] = struct{}{}
	delete(v.missing, address)
}

// Lose notes that the connection of a member has ended, however it ended.
func (v *View) Lose(now time.Time, address string) {
	delete(v.members, address)
	v.missing[address] = now
}

// Leave notes that the connection of a member has ended that had announced its end.
func (v *View) Leave(address string) {
	delete(v.members, address)
	delete(v.missing, address)
}

// Forget removes the instances that need not be counted any more, and returns them.
func (v *View) Forget(now time.Time) []string {
	var out []string
	for address, at := range v.missing {
		if now.Sub(at) > Retention {
			delete(v.missing, address)
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// Share returns the share of the fleet, 0 to 1, whose instances are members.
func (v *View) Share() float64 { return v.ShareOf(func(string) bool { return true }) }

// ShareOf returns the share of the fleet, 0 to 1, whose instances are members that a
// function accepts.
func (v *View) ShareOf(accept func(address string) bool) float64 {
	n := 0
	for address := range v.members {
		if accept(address) {
			n++
		}
	}
	share := float64(n) / float64(max(1, v.size()))
	if share >= fullShare {
		return 1
	}
	return share
}

// size returns how many instances the fleet is taken to have.
func (v *View) size() int { return len(v.members) + len(v.missing) }

// Missing returns how many instances are missing.
func (v *View) Missing() int { return len(v.missing) }
