package instance

import (
	"math"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/settings"
)

// defaultMemoryBytes is assumed if neither the settings nor the system tell.
const defaultMemoryBytes = 256 << 20

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
