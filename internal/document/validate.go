package document

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Limits of the values in a document. They are far above any real value and
// catch mistakes such as a rate in the unit of another system.
const (
	// MaxRate is in requests per second; the whole fleet is designed for
	// 3.8 million.
	MaxRate = 10_000_000
	// MaxSlots bounds the slots of one server.
	MaxSlots = 10_000
	// MaxRampStep bounds the successful responses for one step of a cold
	// server's slow start.
	MaxRampStep = 100_000
	// MaxBodyLimit is in bytes.
	MaxBodyLimit = 1 << 30
	// MaxTimeout bounds the time limit of a route.
	MaxTimeout = 24 * time.Hour
	// MaxIDLength is in bytes.
	MaxIDLength = 128
)

// IDs become parts of the keys of rights and of URL paths, so they hold no slash.
var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Routes are matched against unescaped paths, so only characters that are
// never escaped are accepted.
var pathPattern = regexp.MustCompile(`^/[A-Za-z0-9._~/-]*$`)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// Validate returns every fault of a document as Faults without positions, or
// nil.
func Validate(d *Document) error { return validate(d).orNil() }

// validator collects faults.
type validator struct{ faults Faults }

func (v *validator) check(ok bool, path, remedy, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, Fault{Path: path, Problem: fmt.Sprintf(format, args...), Remedy: remedy})
	}
}

func (v *validator) checkRange(value, low, high float64, path string) {
	// The negated form also catches NaN.
	if !(value >= low && value <= high) {
		v.check(false, path, fmt.Sprintf("use a number from %s to %s", formatNumber(low), formatNumber(high)), "%s is out of range", formatNumber(value))
	}
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

// checkIDs checks the IDs of one section and returns the index of each.
func checkIDs[E any](v *validator, section string, list []E, id func(E) string) map[string]int {
	seen := make(map[string]int, len(list))
	for i, e := range list {
		name := id(e)
		if idPattern.MatchString(name) && len(name) <= MaxIDLength {
			first, dup := seen[name]
			if dup {
				v.check(false, fieldPath(section, i, "id"), "give each its own ID or remove one", "duplicate ID %q, first used by %s", name, fieldPath(section, first, ""))
				continue
			}
		} else {
			v.check(false, fieldPath(section, i, "id"), "use 1 to 128 letters, digits, dots, hyphens and underscores, starting with a letter or digit", "ID %q is not valid", name)
		}
		seen[name] = i
	}
	return seen
}

func fieldPath(section string, i int, field string) string {
	path := section + "[" + strconv.Itoa(i) + "]"
	if field != "" {
		path += "." + field
	}
	return path
}

func validate(d *Document) Faults {
	v := new(validator)
	v.check(d.Version == 1, "version", "use 1", "format version %d is not known", d.Version)
	v.check(idPattern.MatchString(d.Environment) && len(d.Environment) <= MaxIDLength, "environment",
		"name the environment, for example production", "environment name %q is not valid", d.Environment)
	domains := checkIDs(v, "failure_domains", d.Domains, func(e Domain) string { return e.ID })
	teams := checkIDs(v, "teams", d.Teams, func(e Team) string { return e.ID })
	services := checkIDs(v, "services", d.Services, func(e Service) string { return e.ID })
	checkIDs(v, "servers", d.Servers, func(e Server) string { return e.ID })
	checkIDs(v, "keys", d.Keys, func(e Key) string { return e.ID })
	checkIDs(v, "routes", d.Routes, func(e Route) string { return e.ID })

	for i, e := range d.Domains {
		v.check(idPattern.MatchString(e.Region), fieldPath("failure_domains", i, "region"), "name the region", "region %q is not valid", e.Region)
	}
	for i, e := range d.Teams {
		v.checkRange(e.Rate, 0.001, MaxRate, fieldPath("teams", i, "rate"))
		v.checkRange(e.Burst, 1, MaxRate, fieldPath("teams", i, "burst"))
	}
	v.checkServices(d.Services)
	v.checkKeys(d.Keys, teams)
	v.checkServers(d, services, domains)
	v.checkRoutes(d.Routes, services, teams)
	return v.faults
}

func (v *validator) checkServices(list []Service) {
	for i, e := range list {
		v.checkRange(e.Floor, 0, 1, fieldPath("services", i, "floor"))
		v.checkRange(float64(e.ColdSlots), 0, MaxSlots, fieldPath("services", i, "cold_slots"))
		v.checkRange(float64(e.RampStep), 0, MaxRampStep, fieldPath("services", i, "ramp_step"))
		if e.ProbePath != "" {
			v.check(pathPattern.MatchString(e.ProbePath), fieldPath("services", i, "probe_path"), "use an absolute path such as /health", "probe path %q is not valid", e.ProbePath)
		}
	}
}

// checkReference checks that a name exists in another section.
func (v *validator) checkReference(known map[string]int, name, kind, path string) {
	_, ok := known[name]
	v.check(ok, path, "define the "+kind+" or correct the name", "%s %q does not exist", kind, name)
}

func (v *validator) checkKeys(list []Key, teams map[string]int) {
	digests := make(map[string]int, len(list))
	for i, e := range list {
		v.checkReference(teams, e.Team, "team", fieldPath("keys", i, "team"))
		raw, err := hex.DecodeString(e.SHA256)
		if err != nil || len(raw) != 32 || strings.ToLower(e.SHA256) != e.SHA256 {
			v.check(false, fieldPath("keys", i, "sha256"), "write the SHA-256 digest of the key as 64 lower-case hexadecimal digits", "the digest is not valid")
			continue
		}
		if first, dup := digests[e.SHA256]; dup {
			v.check(false, fieldPath("keys", i, "sha256"), "issue a new key", "the digest is already used by %s", fieldPath("keys", first, ""))
			continue
		}
		digests[e.SHA256] = i
	}
}

func (v *validator) checkServers(d *Document, services, domains map[string]int) {
	addresses := make(map[string]int, len(d.Servers))
	for i, e := range d.Servers {
		v.checkReference(services, e.Service, "service", fieldPath("servers", i, "service"))
		v.checkReference(domains, e.FailureDomain, "failure domain", fieldPath("servers", i, "failure_domain"))
		v.checkRange(float64(e.Slots), 1, MaxSlots, fieldPath("servers", i, "slots"))
		if s, ok := services[e.Service]; ok && e.Slots > 0 && e.Slots <= MaxSlots {
			cold := d.Services[s].ColdSlots
			v.check(cold <= e.Slots, fieldPath("servers", i, "slots"), "raise slots or lower cold_slots", "%d slots are fewer than the %d cold_slots of service %q", e.Slots, cold, e.Service)
		}
		host, port, err := net.SplitHostPort(e.Address)
		number, portErr := strconv.ParseUint(port, 10, 16)
		if err != nil || portErr != nil || host == "" || number == 0 || strings.ContainsAny(host, " /@") {
			v.check(false, fieldPath("servers", i, "address"), "write host:port with a port from 1 to 65535", "address %q is not valid", e.Address)
			continue
		}
		if first, dup := addresses[e.Address]; dup {
			v.check(false, fieldPath("servers", i, "address"), "list each backend server once, since its slots would be counted twice", "address %q is already used by %s", e.Address, fieldPath("servers", first, ""))
			continue
		}
		addresses[e.Address] = i
	}
}

func (v *validator) checkRoutes(list []Route, services, teams map[string]int) {
	matched := make(map[string]int, len(list))
	for i, e := range list {
		v.checkReference(services, e.Service, "service", fieldPath("routes", i, "service"))
		for j, team := range e.Teams {
			path := fieldPath("routes", i, "teams") + "[" + strconv.Itoa(j) + "]"
			v.checkReference(teams, team, "team", path)
			v.check(!slices.Contains(e.Teams[:j], team), path, "remove one", "team %q is listed twice", team)
		}
		v.check(!e.Open || len(e.Teams) == 0, fieldPath("routes", i, "teams"), "remove teams or open", "an open route cannot be limited to teams")
		v.check(e.Class == "" || slices.Contains([]Class{ClassLatency, ClassBooking, ClassBulk}, e.Class), fieldPath("routes", i, "class"), "use latency, booking or bulk", "class %q is not known", e.Class)
		v.checkRange(float64(e.MaxBody), 0, MaxBodyLimit, fieldPath("routes", i, "max_body"))
		v.check(e.Timeout >= 0 && time.Duration(e.Timeout) <= MaxTimeout, fieldPath("routes", i, "timeout"), `use a duration up to "24h"`, "%s is out of range", time.Duration(e.Timeout))
		v.check(validPath(e.Path), fieldPath("routes", i, "path"), `use an absolute path without empty, "." or ".." parts; only a trailing "/*" makes a prefix`, "path %q is not valid", e.Path)
		v.check(len(e.Methods) > 0, fieldPath("routes", i, "methods"), "list the methods, for example [GET]", "the route has no methods")
		for j, m := range e.Methods {
			path := fieldPath("routes", i, "methods") + "[" + strconv.Itoa(j) + "]"
			v.check(slices.Contains(methods, m), path, "use one of "+strings.Join(methods, ", "), "method %q is not known", m)
			first, dup := matched[m+" "+e.Path]
			v.check(!dup, path, "remove the method from one of the routes or change a path", "ambiguous route: %s %s is already matched by %s", m, e.Path, fieldPath("routes", first, ""))
			if !dup {
				matched[m+" "+e.Path] = i
			}
		}
	}
}

func validPath(p string) bool {
	if strings.HasSuffix(p, "/*") {
		p = strings.TrimSuffix(p, "*")
	}
	if !pathPattern.MatchString(p) || strings.Contains(p, "//") {
		return false
	}
	if trimmed := strings.TrimSuffix(p, "/"); trimmed != "" {
		for _, part := range strings.Split(trimmed[1:], "/") {
			if part == "." || part == ".." {
				return false
			}
		}
	}
	return true
}
