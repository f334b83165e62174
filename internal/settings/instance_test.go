package settings

import (
	"strings"
	"testing"
)

var goodInstance = map[string]string{
	"instance-id": "i1", "failure-domain": "a", "listen": "10.0.0.1:1", "readiness-listen": "10.0.0.1:2",
	"peer-listen": "10.0.0.1:3", "store": "10.0.0.9:4", "seeds": "10.0.0.1:3, 10.0.0.2:3", "capacity": "0.32",
	"memory-mb": "284", "file-descriptors": "4100",
}

func environment(values map[string]string) func(string) string {
	return func(name string) string {
		for flag, v := range values {
			if EnvName(flag) == name {
				return v
			}
		}
		return ""
	}
}

// Guards against a setting that is lost from the environment, and against a
// variable that overrides a flag.
func TestInstanceFromEnvironmentAndFlags(t *testing.T) {
	s, err := ParseInstance([]string{"--failure-domain", "b"}, environment(goodInstance))
	if err != nil {
		t.Fatal(err)
	}
	if s.InstanceID != "i1" || s.FailureDomain != "b" || s.Cores() != 0.32 || len(s.SeedList()) != 2 || s.SeedList()[1] != "10.0.0.2:3" {
		t.Errorf("%+v", s)
	}
	if s.MemoryBytes() != 284_000_000 || s.DescriptorCount() != 4100 {
		t.Errorf("%d bytes, %d descriptors", s.MemoryBytes(), s.DescriptorCount())
	}
}

// Guards against invalid settings that are reported one at a time, or not at all.
func TestEveryFaultOfAnInstanceIsNamed(t *testing.T) {
	bad := map[string]string{"listen": "nowhere", "seeds": "10.0.0.1:3,x", "capacity": "much", "memory-mb": "0", "file-descriptors": "99999999999"}
	_, err := ParseInstance(nil, environment(bad))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, flag := range []string{"instance-id", "failure-domain", "listen", "readiness-listen", "peer-listen", "store", "seeds", "capacity", "memory-mb", "file-descriptors"} {
		if !strings.Contains(err.Error(), "--"+flag+" (TREFOILSTREAM_") {
			t.Errorf("the error of --%s is missing in %q", flag, err)
		}
	}
}

// Guards against amounts that overflow, and against an instance that does not start since the
// platform writes a number with a fraction.
func TestAmounts(t *testing.T) {
	for text, want := range map[string]int64{
		"": 0, "284": 284_000_000, "284.0": 284_000_000, "0.5": 0, "0": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e300": 0, "much": 0, "1e6": 1e12,
	} {
		s := &Instance{Memory: text, Descriptors: text}
		if s.MemoryBytes() != want || int64(s.DescriptorCount()) != want/1_000_000 {
			t.Errorf("%q: %d bytes, %d descriptors, want %d bytes", text, s.MemoryBytes(), s.DescriptorCount(), want)
		}
	}
}
