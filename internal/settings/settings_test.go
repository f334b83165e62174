package settings

import (
	"strings"
	"testing"
)

// Guards against a start that reports only the first of several invalid
// settings, or that does not name the flag to correct.
func TestEveryFaultIsReportedWithItsFlag(t *testing.T) {
	env := map[string]string{
		"TREFOILSTREAM_DRAIN_WAIT":  "-1s",
		"TREFOILSTREAM_LOG_URL":     "ftp://example",
		"TREFOILSTREAM_PEER_LISTEN": "192.0.2.1:8081",
		"TREFOILSTREAM_MEMORY_MB":   "much",
	}
	_, err := Parse([]string{"--listen", "nowhere"}, func(k string) string { return env[k] })
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, flag := range []string{"instance-id", "failure-domain", "region", "listen", "log-url", "instances-url", "drain-wait", "peer-listen", "memory-mb"} {
		if !strings.Contains(err.Error(), "--"+flag+" (") {
			t.Errorf("error of --%s is missing in:\n%v", flag, err)
		}
	}
}

// Guards against an environment variable that overrides a flag.
func TestFlagGoesBeforeEnvironment(t *testing.T) {
	s, err := Parse([]string{"--dev", "--instance-id", "from-flag"}, func(k string) string {
		if k == "TREFOILSTREAM_INSTANCE_ID" {
			return "from-env"
		}
		return ""
	})
	if err != nil || s.InstanceID != "from-flag" {
		t.Fatalf("instance ID %q, error %v", s.InstanceID, err)
	}
}
