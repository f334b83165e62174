package instance

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/settings"
)

const (
	// defaultMemoryBytes is assumed if neither the settings nor the system tell.
	defaultMemoryBytes = 256 << 20
	// callerShare of the descriptors are for callers; the others are for backend servers, other
	// instances, the store and the log.
	callerShare = 0.75
)

// memoryBytes returns the memory that the process may use: that of the settings, or of the
// system if it has less or the settings name none.
func memoryBytes(s *settings.Instance) int64 {
	system := int64(defaultMemoryBytes)
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err == nil && info.Totalram > 0 {
		system = int64(min(uint64(info.Totalram)*uint64(max(info.Unit, 1)), math.MaxInt64))
	}
	if set := s.MemoryBytes(); set > 0 {
		return min(set, system)
	}
	return system
}

// descriptors returns how many descriptors the process may have open: those of the settings, or
// the limit of the process if that is lower or the settings name none; 0 if neither is known.
func descriptors(s *settings.Instance) int {
	set := s.DescriptorCount()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return set
	}
	if set > 0 {
		return min(set, int(limit.Cur))
	}
	return int(limit.Cur)
}

// maxConnections returns how many connections callers may have open; 0 sets no limit.
func maxConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(callerShare*float64(descriptors)))
}

// newAccount returns the account of what is held for callers on a machine with so much memory,
// and tells the collector of it.
func newAccount(machine int64) *memory.Account {
	debug.SetMemoryLimit(memory.CollectorLimit(machine))
	return memory.NewAccount(memory.LimitsOf(machine), func(s memory.Shortage) {
		log.WithFields(log.Fields{
			"event": "memory_short", "used": s.Used, "limit": s.Limits.Total, "evicted": s.Evicted, "refused": s.Refused,
		}).Warn("memory for callers is used up")
	})
}
