package instance

import (
	"math"
	"syscall"

	"trefoilstream.example/trefoilstream/internal/settings"
)

// callerShare of the descriptors are for callers; the others are for backend servers, other
// instances, the store and the log.
const callerShare = 0.75

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
