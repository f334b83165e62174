package membership

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and a number of checks that takes seconds with
// the race detector, unless the command line sets them. One check simulates
// about 100 s of a fleet.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "4", "rapid.seed": "1"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
