package sockopt

import (
	"math"
	"syscall"
)

// callerShare of the descriptors are for callers; the others are for backend servers, other
// instances, the store and the log.
const callerShare = 0.75

// Descriptors returns how many descriptors the process may have open: a number that was set, or
// the limit of the process if that is lower or none was set (0); 0 if neither is known.
func Descriptors(set int) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return set
	}
	if set > 0 {
		return min(set, int(limit.Cur))
	}
	return int(limit.Cur)
}

// CallerConnections returns how many connections callers may have open in a process with a
// number of descriptors; 0 sets no limit.
func CallerConnections(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(1, int(callerShare*float64(descriptors)))
}
