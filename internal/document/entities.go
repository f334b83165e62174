// Package document defines the operators' configuration: the entities, the
// YAML document that holds them, its validation, and the difference between
// two documents.
package document

import "time"

// Team is a tenant of the fleet.
type Team struct {
	ID string `yaml:"id" json:"id"`
	// Rate is in requests per second over all instances together.
	Rate float64 `yaml:"rate" json:"rate"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64 `yaml:"burst" json:"burst"`
}

// Key is a caller's key of a team. Only the digest is stored.
type Key struct {
	ID   string `yaml:"id" json:"id"`
	Team string `yaml:"team" json:"team"`
	// SHA256 is the hexadecimal SHA-256 digest of the key.
	SHA256 string `yaml:"sha256" json:"sha256"`
}

// Class groups routes by what their callers are sensitive to.
type Class string

// The classes of routes.
const (
	ClassLatency Class = "latency"
	ClassBooking Class = "booking"
	ClassBulk    Class = "bulk"
)

// Route maps requests to a service.
type Route struct {
	ID      string `yaml:"id" json:"id"`
	Service string `yaml:"service" json:"service"`
	// Methods are the HTTP methods, in upper case.
	Methods []string `yaml:"methods" json:"methods"`
	// Path is an exact path, or a prefix if it ends in "/*".
	Path string `yaml:"path" json:"path"`
	// Class defaults to ClassLatency.
	Class Class `yaml:"class,omitempty" json:"class,omitempty"`
	// Idempotent routes may be retried.
	Idempotent bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Open routes need no key.
	Open bool `yaml:"open,omitempty" json:"open,omitempty"`
	// Teams that may use the route; empty means all.
	Teams []string `yaml:"teams,omitempty" json:"teams,omitempty"`
	// MaxBody is in bytes; zero means 1 MiB.
	MaxBody int64 `yaml:"max_body,omitempty" json:"max_body,omitempty"`
	// Timeout caps the time of a request; zero means 10 s.
	Timeout Duration `yaml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Service is a set of interchangeable backend servers.
type Service struct {
	ID string `yaml:"id" json:"id"`
	// Floor is the share of slots, 0 to 1, that ejection leaves in service.
	Floor float64 `yaml:"floor" json:"floor"`
	// ColdSlots is the number of concurrent requests that a cold server
	// accepts; zero means 1.
	ColdSlots int `yaml:"cold_slots,omitempty" json:"cold_slots,omitempty"`
	// RampStep is the number of successful responses after which a cold
	// server's limit rises by one; zero means 10.
	RampStep int `yaml:"ramp_step,omitempty" json:"ramp_step,omitempty"`
	// ProbePath is requested by health probes; empty means no probes.
	ProbePath string `yaml:"probe_path,omitempty" json:"probe_path,omitempty"`
}

// Server is a backend server.
type Server struct {
	ID            string `yaml:"id" json:"id"`
	Service       string `yaml:"service" json:"service"`
	FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
	// Address is host:port.
	Address string `yaml:"address" json:"address"`
	// Slots is the number of concurrent requests that a warm server accepts.
	Slots int `yaml:"slots" json:"slots"`
	// Out takes the server out of service.
	Out bool `yaml:"out,omitempty" json:"out,omitempty"`
}

// Domain is a failure domain.
type Domain struct {
	ID     string `yaml:"id" json:"id"`
	Region string `yaml:"region" json:"region"`
	// Out takes the failure domain out of service.
	Out bool `yaml:"out,omitempty" json:"out,omitempty"`
}

// Document is one environment's configuration.
type Document struct {
	// Version is the version of the format; the only version is 1.
	Version int `yaml:"version" json:"version"`
	// Environment names the environment, for example trial or production.
	Environment string    `yaml:"environment" json:"environment"`
	Domains     []Domain  `yaml:"failure_domains" json:"failure_domains"`
	Teams       []Team    `yaml:"teams" json:"teams"`
	Keys        []Key     `yaml:"keys" json:"keys"`
	Services    []Service `yaml:"services" json:"services"`
	Servers     []Server  `yaml:"servers" json:"servers"`
	Routes      []Route   `yaml:"routes" json:"routes"`
}

// Defaults of the entities. DefaultMaxBody is in bytes, DefaultRampStep in
// successful responses per step of a slow start.
const (
	DefaultMaxBody   = 1 << 20
	DefaultTimeout   = 10 * time.Second
	DefaultColdSlots = 1
	DefaultRampStep  = 10
)

// Duration is a time.Duration written as a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
