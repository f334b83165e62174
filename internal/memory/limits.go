package memory

// ownBytes is the least memory that the process needs for itself: its program, the runtime,
// the configuration, and connections to servers and other instances.
const ownBytes = 36 << 20

// LimitsOf returns the limits of the account of a process on a machine with a number of bytes
// of memory. A quarter of the machine, and ownBytes at least, is the process's own; a quarter
// of the rest is left to the collector, as what has been released stays in memory until it runs.
func LimitsOf(machine int64) Limits {
	total := max(minTotalBytes, (machine-max(ownBytes, machine/4))/4*3)
	return Limits{Total: total, Large: total / 3 * 2}
}

// minTotalBytes lets an instance serve requests even if its machine is stated too small for it.
const minTotalBytes = 8 << 20

// CollectorLimit returns the soft limit of the Go runtime on such a machine, in bytes. It counts
// neither the program's text nor what the kernel holds.
func CollectorLimit(machine int64) int64 {
	return max(ownBytes+minTotalBytes, machine/10*9-ownBytes/2)
}
