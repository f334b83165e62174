package instance

import (
	"syscall"
	"testing"

	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// Guards against an instance that takes itself for larger than its machine, or that serves
// nobody, since its settings name no limits or absurd ones.
func TestResourcesAreThoseOfTheSettingsAndTheSystem(t *testing.T) {
	system, limit := memoryBytes(&settings.Instance{}), sockopt.Descriptors(0)
	var process syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &process); err != nil {
		t.Fatal(err)
	}
	if system < 64<<20 || limit <= 0 || uint64(limit) > process.Cur {
		t.Fatalf("without settings: %d bytes, %d descriptors of %d", system, limit, process.Cur)
	}
	for _, c := range []struct {
		memory, descriptors string
		wantMemory          int64
		wantDescriptors     int
	}{
		{"64", "50", 64e6, 50},
		{"1", "1", 1e6, 1},
		{"999999999", "999999999", system, limit},
		{"0", "0", system, limit},
		{"-5", "NaN", system, limit},
		{"1e300", "lots", system, limit},
	} {
		s := &settings.Instance{Memory: c.memory, Descriptors: c.descriptors}
		if m, d := memoryBytes(s), sockopt.Descriptors(s.DescriptorCount()); m != c.wantMemory || d != c.wantDescriptors {
			t.Errorf("%q, %q: %d bytes, %d descriptors; want %d, %d", c.memory, c.descriptors, m, d, c.wantMemory, c.wantDescriptors)
		}
		l := memory.LimitsOf(memoryBytes(s))
		if l.Total <= 0 || l.Large <= 0 || l.Large > l.Total || sockopt.CallerConnections(sockopt.Descriptors(s.DescriptorCount())) < 1 {
			t.Errorf("%q, %q: limits %+v, %d connections", c.memory, c.descriptors, l, sockopt.CallerConnections(sockopt.Descriptors(s.DescriptorCount())))
		}
	}
}
