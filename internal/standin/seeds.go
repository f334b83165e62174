package standin

import (
	"os"
	"strconv"
	"strings"
)

// Seeds returns the seeds that a seeded test plays: from 1 to a number, or those that an environment
// variable names as A-B.
func Seeds(variable string, most uint64) (first, last uint64) {
	first, last = 1, most
	if text := os.Getenv(variable); text != "" {
		a, b, _ := strings.Cut(text, "-")
		first, _ = strconv.ParseUint(a, 10, 64)
		last, _ = strconv.ParseUint(b, 10, 64)
	}
	return first, last
}
