package fleet

import (
	"time"

	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// Freshness says whether an instance's configuration is the one in force.
type Freshness uint8

const (
	// ConfigCurrent means that the coordinator has just read what operators have
	// published.
	ConfigCurrent Freshness = iota
	// ConfigUnconfirmed means that the coordinator cannot read the store.
	ConfigUnconfirmed
	// NoCoordinator means that the instance follows none, but looks for one.
	NoCoordinator
)

// ConfigFreshness returns whether a change of the configuration may be in force that
// this instance does not know.
func (f *Fleet) ConfigFreshness() Freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	readAt, members := f.configReadAt, f.memberCount
	switch {
	case f.coordinator != nil:
		readAt, members = f.coordinator.reader.configReadAt(), f.coordinator.memberCount()
	case f.followedCoordinator == "":
		return NoCoordinator
	}
	if readAt.IsZero() || time.Since(readAt) > maxConfigAge(members) {
		return ConfigUnconfirmed
	}
	return ConfigCurrent
}

// maxConfigAge returns how long ago a coordinator that reads the store without failures
// may have read the operators' topic, as its members know it.
func maxConfigAge(members int) time.Duration {
	return operatorPollWait + storeCallTimeout + heartbeatInterval(members)
}

// noteConfigAge records what a message of the coordinator says about its last read of
// the operators' topic.
func (f *Fleet) noteConfigAge(now time.Time, m *peerpb.CoordinatorMessage) {
	if m.ConfigAgeMs == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configReadAt = now.Add(time.Millisecond - time.Duration(m.ConfigAgeMs)*time.Millisecond)
	f.noteStoreContact(f.configReadAt)
}

// noteStoreContact notes when a coordinator read the store. The caller holds mu.
func (f *Fleet) noteStoreContact(at time.Time) {
	if at.After(f.storeContactAt) {
		f.storeContactAt = at
	}
}

// lastStoreContact returns when any coordinator is known to have last read the store, or now
// if none is known.
func (f *Fleet) lastStoreContact(now time.Time) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeContactAt.IsZero() {
		return now
	}
	return f.storeContactAt
}

func configAgeToProto(now, readAt time.Time) uint32 {
	if readAt.IsZero() {
		return 0
	}
	return uint32(max(0, now.Sub(readAt)).Milliseconds()) + 1
}
