package document

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const valid = `version: 1
environment: trial
failure_domains:
  - {id: a, region: r}
teams:
  - {id: red, rate: 10, burst: 20}
keys:
  - {id: k1, team: red, sha256: "%s"}
services:
  - {id: s, floor: 0.5}
servers:
  - {id: s-1, service: s, failure_domain: a, address: "10.0.0.1:80", slots: 2}
routes:
  - {id: look, service: s, methods: [GET], path: /v1/*, idempotent: true, timeout: 2s}
`

var digest = strings.Repeat("0a", 32)

func sample() string { return fmt.Sprintf(valid, digest) }

// Guards against faults that are accepted, reported at a wrong place, or
// reported without a remedy.
func TestParseReportsFaultsWithPosition(t *testing.T) {
	cases := []struct{ name, old, new, at, problem string }{
		{"unknown field", "rate: 10", "rate: 10, rat: 5", "rat: 5", `unknown field "rat"`},
		{"duplicate field", "rate: 10", "rate: 10, rate: 5", "rate: 5", `duplicate field "rate"`},
		{"duplicate section", "services:", "teams: []\nservices:", "teams: []", `duplicate field "teams"`},
		{"duplicate entity", "- {id: red, rate: 10, burst: 20}", "- {id: red, rate: 10, burst: 20}\n  - {id: red, rate: 9, burst: 20}", "red, rate: 9", `duplicate ID "red"`},
		{"missing field", ", floor: 0.5", "", "{id: s}", `missing field "floor"`},
		{"dangling team", "team: red", "team: blue", "blue", `team "blue" does not exist`},
		{"dangling service", "service: s, methods", "service: x, methods", "x, methods", `service "x" does not exist`},
		{"dangling domain", "failure_domain: a", "failure_domain: b", "b, address", `failure domain "b" does not exist`},
		{"absurd rate", "rate: 10", "rate: 99999999999", "99999999999", "out of range"},
		{"NaN", "rate: 10", "rate: .nan", ".nan", "not a number"},
		{"octal slots", "slots: 2", "slots: 010", "010", "not an integer"},
		{"fractional slots", "slots: 2", "slots: 1.5", "1.5}", "not an integer"},
		{"huge slots", "slots: 2", "slots: 99999999999999999999", "99999999999999999999", "not an integer"},
		{"negative timeout", "timeout: 2s", "timeout: -2s", "-2s", "out of range"},
		{"duration without unit", "timeout: 2s", "timeout: 2", "2}\n", "not a duration"},
		{"ambiguous routes", "  - {id: look", "  - {id: other, service: s, methods: [HEAD, GET], path: /v1/*}\n  - {id: look", "GET], path: /v1/*, idem", "ambiguous route: GET /v1/*"},
		{"prefix without slash", "path: /v1/*", "path: /v1*", "/v1*", "not valid"},
		{"dot segment", "path: /v1/*", "path: /v1/../x", "/v1/../x", "not valid"},
		{"unknown class", "path: /v1/*", "path: /v1/*, class: fast", "fast", `class "fast"`},
		{"lower-case method", "[GET]", "[get]", "get]", `method "get"`},
		{"short digest", digest, "0a", "\"0a\"", "digest is not valid"},
		{"address without port", "10.0.0.1:80", "10.0.0.1", "\"10.0.0.1\"", "address"},
		{"numeric ID", "id: red, rate", "id: 7, rate", "7, rate", "expected a text"},
		{"alias", "environment: trial", "environment: &e trial", "&e trial", "anchors, aliases"},
		{"wrong shape", "failure_domains:\n  - {id: a, region: r}", "failure_domains: {id: a, region: r}", "{id: a, region: r}", "expected a list"},
		{"format version", "version: 1", "version: 2", "2\nenv", "format version 2"},
		{"syntax", "teams:", "teams: [", "", ""},
		{"two documents", "routes:", "---\nroutes:", "", "2 YAML documents"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(sample(), c.old, c.new, 1)
			if text == sample() {
				t.Fatalf("%q is not in the sample", c.old)
			}
			_, err := Parse("f.yaml", []byte(text))
			var faults Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error is %v, want Faults", err)
			}
			position := ""
			if c.at != "" {
				before := text[:strings.LastIndex(text, c.at)]
				position = fmt.Sprintf("%d:%d", strings.Count(before, "\n")+1, len(before)-strings.LastIndex(before, "\n"))
			}
			for _, f := range faults {
				if f.Remedy == "" || f.Line == 0 {
					t.Errorf("fault without remedy or position: %+v", f)
				}
				if strings.Contains(f.Problem, c.problem) && (c.at == "" || fmt.Sprintf("%d:%d", f.Line, f.Column) == position) {
					return
				}
			}
			t.Errorf("got %v, want %q at %s", err, c.problem, position)
		})
	}
	if _, err := Parse("f.yaml", []byte(sample())); err != nil {
		t.Errorf("valid document: %v", err)
	}
}

// Guards against a parser that stops at the first fault.
func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("rate: 10", "rate: -1", "floor: 0.5", "flor: 0.5", "slots: 2", "slots: x", "team: red", "team: x").Replace(sample())
	_, err := Parse("f.yaml", []byte(text))
	var faults Faults
	if !errors.As(err, &faults) || len(faults) != 5 {
		t.Errorf("want 5 faults (rate, team, unknown flor, missing floor, slots), got:\n%v", err)
	}
}

// Guards against samples that no longer parse, or whose numbers of entities no
// longer match the deployments that they describe.
func TestSamples(t *testing.T) {
	for _, name := range []string{"cascadia", "saryarka"} {
		data, err := os.ReadFile(filepath.Join("../../samples", name+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Parse(name+".yaml", data)
		if err != nil {
			t.Fatal(err)
		}
		if len(doc.Servers) != 36 || len(doc.Teams) != 8 || len(doc.Domains) != 3 || len(doc.Services) != 3 {
			t.Errorf("%s: wrong sizes", name)
		}
		env, err := os.ReadFile(filepath.Join("../../samples", name+".trial.yaml"))
		if err != nil {
			t.Fatal(err)
		}
		trial, err := ParseWithEnvironment(name+".yaml", data, name+".trial.yaml", env)
		if err != nil {
			t.Fatal(err)
		}
		if trial.Environment != "trial" || !reflect.DeepEqual(trial.Routes, doc.Routes) {
			t.Errorf("%s: environment file changed more than its sections", name)
		}
	}
}

// Guards against faults of the environment file that are reported with a
// position in the base file.
func TestParseWithEnvironmentPositions(t *testing.T) {
	env := "version: 1\nenvironment: p\nfailure_domains: [{id: a, region: r}]\nkeys: []\nservers:\n  - {id: s-1, service: gone, failure_domain: a, address: \"h:1\", slots: 2}\n"
	_, err := ParseWithEnvironment("base.yaml", []byte(sample()), "env.yaml", []byte(env))
	if err == nil || !strings.HasPrefix(err.Error(), "env.yaml:6:24: servers[0].service") {
		t.Errorf("got %v", err)
	}
}

// Guards against a schema that differs from the Go types.
func TestSchemaMatchesTypes(t *testing.T) {
	var root schemaNode
	if err := json.Unmarshal(Schema, &root); err != nil {
		t.Fatal(err)
	}
	for kind, typ := range kindTypes {
		node := root.Defs[kind]
		if kind == "document" {
			node = root
		}
		fields := fieldsOf(typ)
		if len(fields) != len(node.Properties) {
			t.Errorf("%s: %d fields, %d in the schema", kind, len(fields), len(node.Properties))
		}
		help, err := Explain(kind)
		if err != nil {
			t.Fatal(err)
		}
		for i, f := range fields {
			if help.Fields[i].Description == "" || help.Fields[i].Required != f.required {
				t.Errorf("%s.%s: schema differs or lacks a description", kind, f.name)
			}
		}
	}
}

// drawDocument draws a small document, so that draws collide often.
func drawDocument(t *rapid.T, label string) *Document {
	pick := func(name string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID).Draw(t, label+name)
	}
	small := func() int { return rapid.IntRange(1, 3).Draw(t, label+"n") }
	d := &Document{Version: 1, Environment: rapid.SampledFrom([]string{"x", "y"}).Draw(t, label+"env")}
	for _, id := range pick("teams") {
		d.Teams = append(d.Teams, Team{ID: id, Rate: float64(small()), Burst: 1})
	}
	for _, id := range pick("keys") {
		d.Keys = append(d.Keys, Key{ID: id, Team: "a", SHA256: fmt.Sprintf("%s%063d", id, small())})
	}
	for _, id := range pick("servers") {
		d.Servers = append(d.Servers, Server{ID: id, Service: fmt.Sprint("s", small()), Slots: small()})
	}
	for _, id := range pick("routes") {
		d.Routes = append(d.Routes, Route{ID: id, Methods: []string{fmt.Sprint("M", small())}})
	}
	for _, id := range pick("domains") {
		d.Domains = append(d.Domains, Domain{ID: id, Out: small() == 1})
	}
	for _, id := range pick("services") {
		d.Services = append(d.Services, Service{ID: id, ColdSlots: small()})
	}
	return d
}

// Guards against a difference that loses or invents an entity, against a
// snapshot whose indexes differ from those of one made from the document, and
// against a change that also modifies the snapshot that it was applied to.
func TestDiffAndApplyAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawDocument(t, "from"), drawDocument(t, "to")
		before := NewSnapshot(1, from)
		c := Diff(from, to)
		want := NewSnapshot(2, to)
		if got := NewSnapshot(2, from.Apply(c)); !reflect.DeepEqual(got, want) {
			t.Fatalf("document: got %+v, want %+v", got, want)
		}
		got := before.Apply(2, c)
		if !reflect.DeepEqual(got.Document(), want.Document()) || !reflect.DeepEqual(got.byService, want.byService) {
			t.Fatalf("snapshot: got %+v, want %+v", got, want)
		}
		for _, d := range []*Document{from, to} {
			for _, k := range d.Keys {
				g, gok := got.KeyByDigest(k.SHA256)
				w, wok := want.KeyByDigest(k.SHA256)
				if gok != wok || g != w {
					t.Fatalf("key %s: got %v %v, want %v %v", k.SHA256, g, gok, w, wok)
				}
			}
		}
		if !reflect.DeepEqual(before, NewSnapshot(1, from)) {
			t.Fatalf("the earlier snapshot changed")
		}
		if !Diff(to, to).Empty() {
			t.Fatalf("a document differs from itself")
		}
	})
}

// Guards against a parser that panics or that accepts what it cannot validate.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sample()))
	f.Add([]byte("a: &x [*x]\n? [b]\n: c\n"))
	f.Add([]byte("version: !!int 1\n---\n- |\n  x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("f", data)
		if (doc == nil) == (err == nil) {
			t.Fatalf("document %v with error %v", doc, err)
		}
		if doc != nil && Validate(doc) != nil {
			t.Fatalf("parsed document is not valid: %v", Validate(doc))
		}
	})
}

// largeDocument has the given number of teams with one key each.
func largeDocument(teams int) *Document {
	d := &Document{Version: 1, Environment: "large"}
	for i := range teams {
		id := fmt.Sprintf("team-%06d", i)
		d.Teams = append(d.Teams, Team{ID: id, Rate: 5.8, Burst: 12})
		d.Keys = append(d.Keys, Key{ID: id + "-1", Team: id, SHA256: fmt.Sprintf("%064x", uint64(i)*0x9e3779b97f4a7c15)[:64]})
	}
	for i := range d.Keys {
		d.Keys[i].SHA256 = reverse(d.Keys[i].SHA256)
	}
	return d
}

// reverse puts the varying digits first, as those of a real digest are.
func reverse(s string) string {
	b := []byte(s)
	for i, j := 0, len(b)-1; i < j; i, j = i+1, j-1 {
		b[i], b[j] = b[j], b[i]
	}
	return string(b)
}

const targetTeams = 650_000

func heapMiB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

func BenchmarkKeyByDigest650kTeams(b *testing.B) {
	before := heapMiB()
	doc := largeDocument(targetTeams)
	digests := make([]string, 1<<16)
	for i := range digests {
		digests[i] = strings.Clone(doc.Keys[i*9].SHA256)
	}
	s := NewSnapshot(1, doc)
	doc = nil
	heap := heapMiB() - before
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if _, ok := s.KeyByDigest(digests[i&(len(digests)-1)]); !ok {
			b.Fatal("key not found")
		}
		i++
	}
	b.ReportMetric(heap, "heap-MiB")
	runtime.KeepAlive(s)
}

func BenchmarkApplyKey650kTeams(b *testing.B) {
	s := NewSnapshot(1, largeDocument(targetTeams))
	c := Change{Upserts: Entities{Keys: []Key{{ID: "new", Team: "team-000001", SHA256: strings.Repeat("ab", 32)}}}}
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(2, c)
	}
}

func BenchmarkApplyTeam650kTeams(b *testing.B) {
	s := NewSnapshot(1, largeDocument(targetTeams))
	c := Change{Upserts: Entities{Teams: []Team{{ID: "team-000001", Rate: 9, Burst: 9}}}}
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(2, c)
	}
}

// Guards against a partial validation that differs from that of the whole
// document: a change is accepted if and only if its result is valid.
func TestValidateChangeAgreesWithValidate(t *testing.T) {
	names := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		pick := func(label string) string { return rapid.SampledFrom(names).Draw(t, label) }
		draw := func() *Document {
			d := &Document{Version: 1, Environment: "e"}
			subset := func(label string) []string {
				return rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, label)
			}
			for _, id := range subset("domains") {
				d.Domains = append(d.Domains, Domain{ID: id, Region: "r"})
			}
			for _, id := range subset("teams") {
				d.Teams = append(d.Teams, Team{ID: id, Rate: 1, Burst: 1})
			}
			for _, id := range subset("services") {
				d.Services = append(d.Services, Service{ID: id, Floor: 0.5, ColdSlots: rapid.IntRange(0, 2).Draw(t, "cold")})
			}
			for _, id := range subset("keys") {
				d.Keys = append(d.Keys, Key{ID: id, Team: pick("team"), SHA256: strings.Repeat(pick("digest"), 64)})
			}
			for _, id := range subset("servers") {
				d.Servers = append(d.Servers, Server{ID: id, Service: pick("service"), FailureDomain: pick("domain"),
					Address: pick("host") + ":1", Slots: rapid.IntRange(1, 2).Draw(t, "slots")})
			}
			for _, id := range subset("routes") {
				d.Routes = append(d.Routes, Route{ID: id, Service: pick("service"), Methods: []string{"GET"}, Path: "/" + pick("path"), Teams: []string{pick("team")}})
			}
			return d
		}
		from, to := draw(), draw()
		// Make the starting point valid by removing the entities with references.
		for validate(from) != nil {
			from.Keys, from.Servers, from.Routes = from.Keys[:max(0, len(from.Keys)-1)], from.Servers[:max(0, len(from.Servers)-1)], from.Routes[:max(0, len(from.Routes)-1)]
		}
		whole := Validate(to)
		partial := NewSnapshot(1, from).ValidateChange(Diff(from, to))
		if (whole == nil) != (partial == nil) {
			t.Fatalf("whole: %v\npartial: %v", whole, partial)
		}
	})
}
