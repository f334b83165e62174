// Package presence decides what share of the fleet a coordinator counts as its own.
// Bounds of the whole fleet, such as the rates of teams, are divided by that share
// between coordinators that don't know of each other. It uses no network and no clock.
package presence

import (
	"slices"
	"time"
)

const (
	// SettleTime is how long the store has to be read without a gap, and without a sign of
	// another coordinator, before instances that are missing no longer count.
	SettleTime = 30 * time.Second
	// LeaseTime is how long a coordinator of a minority grants its share after it last reached
	// the store. It is shorter than SettleTime by more than two sides of a cut notice it apart.
	LeaseTime = 20 * time.Second
	// MaxReadGap is the longest time between two reads of the store that counts as none.
	MaxReadGap = 15 * time.Second
	// RecordInterval is the time between the records of a coordinator that instances are
	// missing from.
	RecordInterval = 5 * time.Second
)

// fullShare is the share from which bounds are not reduced: they may be exceeded by a
// tenth, and so few missing instances cannot do so on their own.
const fullShare = 0.95

// View is what a coordinator knows of the instances of its fleet. An instance whose
// connection has ended is missing until there is evidence that it doesn't run, or that
// it follows this coordinator: it may have lost the path, and follow another one. A reset,
// a refusal, the end of a stream and silence are the same in this, since a cut network
// can cause each of them. Time alone ends no absence either. A coordinator that instances are
// missing from writes records to the store, and one of a minority that cannot do so for
// LeaseTime grants nothing any more. So where a majority reads the store and finds no records
// of others for SettleTime, the missing instances grant nothing, and the bounds are its
// own. A View is not safe for concurrent use.
type View struct {
	members map[string]struct{}
	// missing maps the addresses of instances that are not members to the time from which
	// they were not.
	missing map[string]time.Time
	// others holds what the store told of other coordinators.
	others map[recordKey]*otherRecord
	// changedAt is when a record was last found to have changed.
	changedAt time.Time
	// contactAt is when the store was last reached: written to, if the members are a minority.
	// returnedAt is when it was reached again after LeaseTime.
	contactAt, returnedAt time.Time
	// readAt is the time of the last read of the store, zero before the first one. Since
	// readSince there was no gap between the reads; it is zero after a failed one.
	readAt, readSince time.Time
}

// Record is what a coordinator tells in the store of itself.
type Record struct {
	Address string
	// Claim tells the record of a claim of the role from that of a coordinator that instances
	// are missing from.
	Claim bool
	// Written is the time of the record by the coordinator's clock, in Unix milliseconds. It
	// only tells one record from the next.
	Written int64
	Members int
}

type recordKey struct {
	address string
	claim   bool
}

// otherRecord is the newest record of its kind of another coordinator.
type otherRecord struct {
	Record
	// seenAt is when it was found to have changed; zero if it did not since the first read, so
	// that the coordinator may have ended before, or if it is known to have ended.
	seenAt time.Time
}

// NewView returns the view of a coordinator that takes over a roster of instances, by
// address. None of them has joined yet. contact is when a coordinator is known to have reached
// the store last.
func NewView(now time.Time, roster []string, contact time.Time) *View {
	v := &View{
		members: make(map[string]struct{}), missing: make(map[string]time.Time), others: make(map[recordKey]*otherRecord), contactAt: contact,
	}
	for _, address := range roster {
		v.missing[address] = now
	}
	return v
}

// Join notes that an instance has become a member. An earlier process at its address has
// ended, and it coordinates no longer.
func (v *View) Join(address string) {
	v.members[address] = struct{}{}
	delete(v.missing, address)
	for key, o := range v.others {
		if key.address == address {
			o.seenAt = time.Time{}
		}
	}
}

// StoreRead notes the newest records of other coordinators. Their first read only tells what
// was there before.
func (v *View) StoreRead(now time.Time, records []Record) {
	first := v.readAt.IsZero()
	if v.readSince.IsZero() || now.Sub(v.readAt) > MaxReadGap {
		v.readSince = now
	}
	v.readAt = now
	for _, r := range records {
		key := recordKey{r.Address, r.Claim}
		o := v.others[key]
		if o == nil {
			o = &otherRecord{}
			v.others[key] = o
		}
		if o.Record != r && !first {
			o.seenAt, v.changedAt = now, now
		}
		o.Record = r
	}
}

// StoreReached notes that the store was reached at a time, and whether a record was written to
// it. Only then do others know of a minority.
func (v *View) StoreReached(at time.Time, written bool) {
	if !written && v.minority() {
		return
	}
	if at.Sub(v.contactAt) > LeaseTime {
		v.returnedAt = at
	}
	if at.After(v.contactAt) {
		v.contactAt = at
	}
}

func (v *View) minority() bool { return isMinority(len(v.members), v.size()) }

func isMinority(members, size int) bool { return members < size-members }

// Unseen reports whether a coordinator with a number of members, in a roster of a size, is a
// minority that the others cannot see in the store, which it last reached at contact. A
// member of it does not know more.
func Unseen(now time.Time, members, size int, contact time.Time) bool {
	return isMinority(members, size) && now.Sub(contact) > LeaseTime
}

// Isolated reports whether this coordinator has only a minority of the fleet, and may not be
// seen by the others in the store: they may have taken its members for ended.
func (v *View) Isolated(now time.Time) bool {
	returning := v.minority() && now.Sub(v.returnedAt) < MaxReadGap
	return returning || Unseen(now, len(v.members), v.size(), v.contactAt)
}

// StoreFailed notes that the store could not be read.
func (v *View) StoreFailed() { v.readSince = time.Time{} }

// quiet returns for how long the store has told nothing new since a time; 0 if it is not being
// read.
func (v *View) quiet(now, since time.Time) time.Duration {
	if v.readSince.IsZero() || now.Sub(v.readAt) > MaxReadGap {
		return 0
	}
	if v.readSince.After(since) {
		since = v.readSince
	}
	return now.Sub(since)
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
	for _, o := range v.others {
		if v.quiet(now, o.seenAt) >= SettleTime {
			o.seenAt = time.Time{}
		}
	}
	if len(v.members) <= len(v.missing) {
		return nil
	}
	var out []string
	for address, at := range v.missing {
		if v.changedAt.After(at) {
			at = v.changedAt
		}
		if v.quiet(now, at) >= SettleTime {
			delete(v.missing, address)
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

// Share returns the share of the fleet, 0 to 1, whose instances are members; 0 for an isolated
// coordinator.
func (v *View) Share(now time.Time) float64 {
	return v.ShareOf(now, func(string) bool { return true })
}

// ShareOf returns the share of the fleet, 0 to 1, whose instances are members that a
// function accepts; 0 for an isolated coordinator.
func (v *View) ShareOf(now time.Time, accept func(address string) bool) float64 {
	if v.Isolated(now) {
		return 0
	}
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

// size returns how many instances the fleet is taken to have. The members of other coordinators
// are among those that are missing, as far as they were known.
func (v *View) size() int { return len(v.members) + max(len(v.missing), v.MembersOfOthers()) }

// MembersOfOthers returns how many members other coordinators have told of.
func (v *View) MembersOfOthers() int {
	members := make(map[string]int)
	for key, o := range v.others {
		if !o.seenAt.IsZero() {
			members[key.address] = max(members[key.address], o.Members)
		}
	}
	n := 0
	for _, m := range members {
		n += m
	}
	return n
}

// Missing returns how many instances are missing.
func (v *View) Missing() int { return len(v.missing) }
