package memory

import "bytes"

// HeadLineBytes is the memory that a line of a request's head takes beside its text once it is
// parsed: an entry of a map, which grows by doubling, and a slice.
const HeadLineBytes = 128

// HeadBytes returns the memory that bytes of a head take once they are parsed.
func HeadBytes(p []byte) int64 {
	return int64(len(p) + HeadLineBytes*bytes.Count(p, []byte("\n")))
}
