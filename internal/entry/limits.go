package entry

import "trefoilstream.example/trefoilstream/internal/memory"

const (
	// defaultMachineBytes is the memory of a small instance.
	defaultMachineBytes = 256 << 20
	// bodyShare and headShare are the parts of the machine's memory that all buffered bodies and
	// the heads of all requests may take: one in so many.
	bodyShare = 4
	headShare = 8
)

// limitsOf returns the limits of an account that may take one part in share of the machine's
// memory. The last quarter is kept for small holders.
func limitsOf(machine, share int64) memory.Limits {
	if machine <= 0 {
		machine = defaultMachineBytes
	}
	total := machine / share
	return memory.Limits{Total: total, Large: total / 4 * 3}
}
