// Package settings reads the daemon's settings from flags and environment
// variables. It validates all of them before it returns, so that one start
// reports every error.
package settings

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/admin"
	"trefoilstream.example/trefoilstream/internal/peer"
)

// EnvPrefix is the prefix of every environment variable. The rest of the name is
// the flag in upper case with underscores. A flag overrides its variable.
const EnvPrefix = "TREFOILSTREAM_"

// Settings are the daemon's settings.
type Settings struct {
	InstanceID    string
	FailureDomain string
	Region        string
	// ListenAddress is where callers connect, as host:port.
	ListenAddress string
	// PeerAddress is where other instances connect, as host:port.
	PeerAddress string
	// PeerAdvertise is the host:port that is advertised to other instances, if
	// it differs from PeerAddress, for example behind NAT.
	PeerAdvertise string
	// AdminAddress is where the administration API listens, as host:port.
	AdminAddress string
	LogURL       string
	InstancesURL string
	LogLevel     string
	// DrainWait is how long a stopping instance keeps serving, so that the load
	// balancer notices that it is not ready.
	DrainWait time.Duration
	// Ejection is EjectArbiter, or another value as a baseline for measurements.
	Ejection string
	// Rates is RatesShared, or another value as a baseline for measurements.
	Rates string
	// Dev runs one instance with an embedded log service.
	Dev bool
	// PeerCertificate, PeerKey and PeerAuthority are PEM texts, since an
	// instance has no disk to read them from.
	PeerCertificate, PeerKey, PeerAuthority string
	// OperatorKeys holds NAME=DIGEST pairs separated by commas, with the
	// SHA-256 digest of each operator's key in hexadecimal.
	OperatorKeys string
	// AdminCertificate and AdminKey are PEM texts for the administration API.
	AdminCertificate, AdminKey string
	// LogRetention is how long the log service keeps records.
	LogRetention time.Duration
	// Memory is that of the machine, in MB; empty means that of a small instance.
	Memory string
}

// The values of Settings.Ejection.
const (
	// EjectArbiter requires a permit of the service's arbiter for each ejection.
	EjectArbiter = "arbiter"
	// EjectLocal lets the instance that owns a server eject it on its own, with
	// no minimum of servers that stay in service.
	EjectLocal = "local"
	// EjectNone disables ejection, and instances do not avoid failing servers
	// when they choose one for a request.
	EjectNone = "none"
)

// The values of Settings.Rates.
const (
	// RatesShared enforces each team's rate over the whole fleet.
	RatesShared = "shared"
	// RatesStatic lets each of N instances enforce 1/N of each team's rate.
	RatesStatic = "static"
)

// Default returns the default settings.
func Default() *Settings {
	return &Settings{
		ListenAddress: "127.0.0.1:8080",
		PeerAddress:   "127.0.0.1:8081",
		AdminAddress:  "127.0.0.1:8082",
		LogLevel:      "info",
		Ejection:      EjectArbiter,
		Rates:         RatesShared,
		DrainWait:     5 * time.Second,
		LogRetention:  24 * time.Hour,
	}
}

type option struct {
	flag, help string
	target     any
}

func (s *Settings) options() []option {
	return []option{
		{"instance-id", "unique name of this instance", &s.InstanceID},
		{"failure-domain", "failure domain of this instance", &s.FailureDomain},
		{"region", "region of the failure domain", &s.Region},
		{"listen", "address for callers, host:port", &s.ListenAddress},
		{"peer-listen", "address for other instances, host:port", &s.PeerAddress},
		{"peer-advertise", "address told to other instances if it is not --peer-listen, host:port", &s.PeerAdvertise},
		{"admin-listen", "address of the administration API, host:port", &s.AdminAddress},
		{"log-url", "base URL of the platform's log service", &s.LogURL},
		{"instances-url", "base URL of the platform's instance list", &s.InstancesURL},
		{"log-level", "debug, info, warn or error", &s.LogLevel},
		{"drain-wait", "time to keep serving after SIGTERM while not ready", &s.DrainWait},
		{"peer-certificate", "PEM text of this instance's certificate for peers", &s.PeerCertificate},
		{"peer-key", "PEM text of the certificate's key", &s.PeerKey},
		{"peer-authority", "PEM text of the authority that signs instances' certificates", &s.PeerAuthority},
		{"operator-keys", "NAME=DIGEST pairs of operators, separated by commas; digests are SHA-256 in hexadecimal", &s.OperatorKeys},
		{"admin-certificate", "PEM text of the certificate of the administration API", &s.AdminCertificate},
		{"admin-key", "PEM text of that certificate's key", &s.AdminKey},
		{"log-retention", "how long the log service keeps records", &s.LogRetention},
		{"memory-mb", "memory of the machine that the instance may use, in MB; by default 268", &s.Memory},
		{"ejection", "who takes failing backend servers out: arbiter, or as baselines for measurements local (each owner alone) or none", &s.Ejection},
		{"rates", "how teams' rates are kept: shared by all instances, or as a baseline for measurements static (1/N for each)", &s.Rates},
		{"dev", "run one instance with an embedded log service", &s.Dev},
	}
}

// Parse reads flags (without the program name) and the environment.
func Parse(args []string, getenv func(string) string) (*Settings, error) {
	s := Default()
	p := flaggy.NewParser("trefoilstreamd")
	p.Description = "proxy instance between callers and backend servers"
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

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func addFlag(p *flaggy.Parser, o option) {
	help := o.help + " (" + EnvName(o.flag) + ")"
	switch t := o.target.(type) {
	case *string:
		p.String(t, "", o.flag, help)
	case *bool:
		p.Bool(t, "", o.flag, help)
	case *time.Duration:
		p.Duration(t, "", o.flag, help)
	}
}

func setFromEnv(o option, v string) error {
	switch t := o.target.(type) {
	case *string:
		*t = v
	case *bool:
		*t = v == "1" || v == "true"
	case *time.Duration:
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%s: %w", EnvName(o.flag), err)
		}
		*t = d
	}
	return nil
}

func (s *Settings) check() error {
	var errs []error
	addErr := func(flag, format string, args ...any) {
		errs = append(errs, fmt.Errorf("--%s (%s): %w", flag, EnvName(flag), fmt.Errorf(format, args...)))
	}
	if s.Dev {
		s.InstanceID = orDefault(s.InstanceID, "dev")
		s.FailureDomain = orDefault(s.FailureDomain, "dev")
		s.Region = orDefault(s.Region, "dev")
	}
	for flag, v := range map[string]string{"instance-id": s.InstanceID, "failure-domain": s.FailureDomain, "region": s.Region} {
		if v == "" {
			addErr(flag, "is required")
		}
	}
	s.PeerAdvertise = orDefault(s.PeerAdvertise, s.PeerAddress)
	for flag, v := range map[string]string{
		"listen": s.ListenAddress, "peer-listen": s.PeerAddress, "peer-advertise": s.PeerAdvertise, "admin-listen": s.AdminAddress,
	} {
		if _, _, err := net.SplitHostPort(v); err != nil {
			addErr(flag, "%q is not host:port", v)
		}
	}
	for flag, v := range map[string]string{"log-url": s.LogURL, "instances-url": s.InstancesURL} {
		if u, err := url.Parse(v); !s.Dev && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "") {
			addErr(flag, "%q is not an http or https URL", v)
		}
	}
	if s.Ejection != EjectArbiter && s.Ejection != EjectLocal && s.Ejection != EjectNone {
		addErr("ejection", "%q is not arbiter, local or none", s.Ejection)
	}
	if s.Rates != RatesShared && s.Rates != RatesStatic {
		addErr("rates", "%q is not shared or static", s.Rates)
	}
	s.checkPeers(addErr)
	s.checkAdmin(addErr)
	if s.Memory != "" && parseAmount(s.Memory) == 0 {
		addErr("memory-mb", "%q is not a positive number", s.Memory)
	}
	if s.DrainWait < 0 {
		addErr("drain-wait", "must not be negative")
	}
	return errors.Join(errs...)
}

// checkPeers requires TLS between instances unless the peer address is a loopback
// IP.
func (s *Settings) checkPeers(addErr func(flag, format string, args ...any)) {
	given := 0
	for _, v := range []string{s.PeerCertificate, s.PeerKey, s.PeerAuthority} {
		if v != "" {
			given++
		}
	}
	host, _, _ := net.SplitHostPort(s.PeerAddress)
	switch ip := net.ParseIP(host); {
	case given == 0 && (ip == nil || !ip.IsLoopback()):
		addErr("peer-listen", "%q is not a loopback IP; set --peer-certificate, --peer-key and --peer-authority", s.PeerAddress)
	case given != 0 && given != 3:
		addErr("peer-certificate", "set all of --peer-certificate, --peer-key and --peer-authority, or none")
	case given == 3:
		if _, err := s.PeerTLS(); err != nil {
			addErr("peer-certificate", "%w", err)
		}
	}
}

// minLogRetention is much longer than an instance is usually disconnected from
// the log, so that readers rarely have to fall back to a snapshot.
const minLogRetention = time.Minute

// checkAdmin validates the operator keys and the log retention. It requires TLS for
// the administration API unless that is on loopback, since operators send their
// keys to it.
func (s *Settings) checkAdmin(addErr func(flag, format string, args ...any)) {
	if _, err := admin.ParseOperators(s.OperatorKeys); err != nil {
		addErr("operator-keys", "%w", err)
	}
	if s.LogRetention < minLogRetention {
		addErr("log-retention", "%v is shorter than %v", s.LogRetention, minLogRetention)
	}
	host, _, _ := net.SplitHostPort(s.AdminAddress)
	ip := net.ParseIP(host)
	config, err := s.AdminTLS()
	switch {
	case err != nil:
		addErr("admin-certificate", "%w", err)
	case config == nil && (ip == nil || !ip.IsLoopback()):
		addErr("admin-listen", "%q is not a loopback IP; set --admin-certificate and --admin-key", s.AdminAddress)
	}
}

// MemoryBytes returns the memory of the machine, or 0 if it is not set.
func (s *Settings) MemoryBytes() int64 { return int64(parseAmount(s.Memory) * 1e6) }

// AdminTLS returns the TLS configuration of the administration API, or nil for
// plain TCP on loopback.
func (s *Settings) AdminTLS() (*tls.Config, error) {
	if s.AdminCertificate == "" && s.AdminKey == "" {
		return nil, nil
	}
	cert, err := tls.X509KeyPair([]byte(s.AdminCertificate), []byte(s.AdminKey))
	if err != nil {
		return nil, fmt.Errorf("certificate of the administration API: %w", err)
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}, nil
}

// PeerTLS returns the TLS configuration between instances, or nil for plain
// TCP on loopback.
func (s *Settings) PeerTLS() (*tls.Config, error) {
	if s.PeerCertificate == "" {
		return nil, nil
	}
	return peer.TLSConfig(s.PeerCertificate, s.PeerKey, s.PeerAuthority)
}

func orDefault(v, def string) string {
	if v == "" {
		return def
	}
	return v
}

// FromProcess parses the process's own flags and environment.
func FromProcess() (*Settings, error) { return Parse(os.Args[1:], os.Getenv) }
