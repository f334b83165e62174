package settings

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// Instance holds the settings of the "platform" subcommand.
type Instance struct {
	InstanceID    string
	FailureDomain string
	// ListenAddress is where callers connect, as host:port.
	ListenAddress string
	// ReadinessAddress is where the readiness check listens, as host:port.
	ReadinessAddress string
	// PeerAddress is where other instances connect, as host:port.
	PeerAddress string
	// Seeds are peer addresses of instances that may know the coordinator,
	// separated by commas.
	Seeds string
	// StoreAddress is the platform's store, as host:port.
	StoreAddress string
	// Bounds holds the limits and time spans agreed with the platform, as JSON.
	Bounds string
	// Policy holds the values of dispatch.Policy that a trial changes, as JSON.
	Policy   string
	LogLevel string
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool
	// Capacity is the CPU share of the instance, in cores.
	Capacity string
	// Memory is that of the machine, in MB; Descriptors is how many descriptors the process may
	// have open. Empty, the process asks the system.
	Memory, Descriptors string
}

func (s *Instance) options() []option {
	return []option{
		{"instance-id", "unique name of this instance", &s.InstanceID},
		{"failure-domain", "failure domain of this instance", &s.FailureDomain},
		{"listen", "address for callers, host:port", &s.ListenAddress},
		{"readiness-listen", "address for readiness checks, host:port", &s.ReadinessAddress},
		{"peer-listen", "address for other instances, host:port", &s.PeerAddress},
		{"seeds", "peer addresses of instances that may know the coordinator, separated by commas", &s.Seeds},
		{"store", "address of the platform's store, host:port", &s.StoreAddress},
		{"bounds", "limits and time spans agreed with the platform, as JSON", &s.Bounds},
		{"policy", "for trials: values of the dispatch policy that differ from the defaults, as JSON", &s.Policy},
		{"first-start", "the whole fleet starts for the first time", &s.FirstStart},
		{"capacity", "share of processors that the instance may use, in cores", &s.Capacity},
		{"memory-mb", "memory of the machine that the instance may use, in MB; by default that of the system", &s.Memory},
		{"file-descriptors", "descriptors that the instance may have open; by default the limit of the process", &s.Descriptors},
		{"log-level", "debug, info, warn or error", &s.LogLevel},
	}
}

// ParseInstance reads the settings of the "platform" subcommand from flags
// (without the program name and the subcommand) and the environment.
func ParseInstance(args []string, getenv func(string) string) (*Instance, error) {
	s := &Instance{LogLevel: "info"}
	p := flaggy.NewParser("trefoilstreamd platform")
	p.Description = "proxy instance on the platform"
	p.ShowHelpOnUnexpected = false
	var errs []error
	for _, o := range s.options() {
		if v := getenv(EnvName(o.flag)); v != "" {
			errs = append(errs, setFromEnv(o, v))
		}
		addFlag(p, o)
	}
	if err := p.ParseArgs(args); err != nil {
		errs = append(errs, fmt.Errorf("flags: %w", err))
	}
	errs = append(errs, s.check())
	return s, errors.Join(errs...)
}

func (s *Instance) check() error {
	var errs []error
	addErr := func(flag, format string, args ...any) {
		errs = append(errs, fmt.Errorf("--%s (%s): %w", flag, EnvName(flag), fmt.Errorf(format, args...)))
	}
	if s.InstanceID == "" {
		addErr("instance-id", "is required")
	}
	if s.FailureDomain == "" {
		addErr("failure-domain", "is required")
	}
	for _, a := range []struct{ flag, value string }{
		{"listen", s.ListenAddress}, {"readiness-listen", s.ReadinessAddress}, {"peer-listen", s.PeerAddress}, {"store", s.StoreAddress},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			addErr(a.flag, "%q is not host:port", a.value)
		}
	}
	if s.Capacity != "" {
		if c, err := strconv.ParseFloat(s.Capacity, 64); err != nil || c <= 0 {
			addErr("capacity", "%q is not a positive number of cores", s.Capacity)
		}
	}
	for _, n := range []struct{ flag, value string }{{"memory-mb", s.Memory}, {"file-descriptors", s.Descriptors}} {
		if n.value != "" && parseAmount(n.value) == 0 {
			addErr(n.flag, "%q is not a positive number", n.value)
		}
	}
	for _, a := range s.SeedList() {
		if _, _, err := net.SplitHostPort(a); err != nil {
			addErr("seeds", "%q is not host:port", a)
		}
	}
	return errors.Join(errs...)
}

// Cores returns the capacity, or 1 if it is not set.
func (s *Instance) Cores() float64 {
	if c, err := strconv.ParseFloat(s.Capacity, 64); err == nil {
		return c
	}
	return 1
}

// MemoryBytes returns the memory of the machine, or 0 if it is not set.
func (s *Instance) MemoryBytes() int64 { return int64(parseAmount(s.Memory) * 1e6) }

// DescriptorCount returns how many descriptors may be open, or 0 if it is not set.
func (s *Instance) DescriptorCount() int { return int(parseAmount(s.Descriptors)) }

// maxAmount is more than any machine has, and far from where amounts in bytes overflow.
const maxAmount = 1e9

// parseAmount returns a number from 1 to maxAmount, or 0 if the text is none. The platform writes
// some numbers with a fraction.
func parseAmount(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || !(n >= 1 && n <= maxAmount) {
		return 0
	}
	return n
}

// SeedList splits Seeds into addresses.
func (s *Instance) SeedList() []string {
	var out []string
	for a := range strings.SplitSeq(s.Seeds, ",") {
		if a = strings.TrimSpace(a); a != "" {
			out = append(out, a)
		}
	}
	return out
}
