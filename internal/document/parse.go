package document

import (
	"errors"
	"reflect"
	"strings"

	yaml "github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxFileBytes bounds a YAML file. It leaves room for 650,000 teams with keys.
const MaxFileBytes = 256 << 20

// Environment is the part of a document that differs between environments.
// Promotion leaves it untouched. Keys belong to it so that a key withdrawn in
// one environment cannot return from another.
type Environment struct {
	Version     int      `yaml:"version" json:"version"`
	Environment string   `yaml:"environment" json:"environment"`
	Domains     []Domain `yaml:"failure_domains" json:"failure_domains"`
	Keys        []Key    `yaml:"keys" json:"keys"`
	Servers     []Server `yaml:"servers" json:"servers"`
}

// Parse reads and validates a document. The error is of type Faults and holds
// every fault; file is used in positions only.
func Parse(file string, data []byte) (*Document, error) {
	doc := new(Document)
	d := newDecoder(file)
	if !d.decodeFile(data, reflect.ValueOf(doc).Elem()) {
		return nil, d.faults.orNil()
	}
	faults := append(d.faults, d.addPositions(validate(doc), d.locate)...)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return doc, nil
}

// ParseWithEnvironment reads a document and replaces its environment
// sections with those of an environment file. The error is of type Faults.
func ParseWithEnvironment(file string, data []byte, envFile string, envData []byte) (*Document, error) {
	doc, env := new(Document), new(Environment)
	docDecoder := newDecoder(file)
	envDecoder := newDecoder(envFile)
	docOK := docDecoder.decodeFile(data, reflect.ValueOf(doc).Elem())
	envOK := envDecoder.decodeFile(envData, reflect.ValueOf(env).Elem())
	faults := append(docDecoder.faults, envDecoder.faults...)
	if !docOK || !envOK {
		return nil, faults.orNil()
	}
	doc = doc.WithEnvironment(*env)
	locate := func(path string) Position {
		if inEnvironmentSection(path) {
			return envDecoder.locate(path)
		}
		return docDecoder.locate(path)
	}
	faults = append(faults, envDecoder.addPositions(docDecoder.addPositions(validate(doc), locate), locate)...)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	return doc, nil
}

// EnvironmentPart returns the sections that differ between environments.
func (d *Document) EnvironmentPart() Environment {
	return Environment{Version: d.Version, Environment: d.Environment, Domains: d.Domains, Keys: d.Keys, Servers: d.Servers}
}

// WithEnvironment returns a document with the environment sections replaced.
func (d *Document) WithEnvironment(env Environment) *Document {
	merged := *d
	merged.Environment, merged.Domains, merged.Keys, merged.Servers = env.Environment, env.Domains, env.Keys, env.Servers
	return &merged
}

func inEnvironmentSection(path string) bool {
	for _, section := range []string{"environment", "failure_domains", "keys", "servers"} {
		if path == section || strings.HasPrefix(path, section+"[") {
			return true
		}
	}
	return false
}

// decodeFile parses the file and decodes its only document; false means that
// nothing could be decoded.
func (d *decoder) decodeFile(data []byte, v reflect.Value) bool {
	reject := func(remedy, problem string) bool {
		d.faults = append(d.faults, Fault{Position: Position{File: d.file, Line: 1, Column: 1}, Problem: problem, Remedy: remedy})
		return false
	}
	if len(data) > MaxFileBytes {
		return reject("split the change into smaller ones", "the file is larger than 256 MiB")
	}
	file, err := parseYAML(data)
	if err != nil {
		f := Fault{Position: Position{File: d.file}, Problem: err.Error(), Remedy: "correct the YAML syntax"}
		var syntax *yaml.SyntaxError
		if errors.As(err, &syntax) {
			f.Position, f.Problem = d.at(syntax.Token), syntax.Message
		}
		d.faults = append(d.faults, f)
		return false
	}
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return reject("add the fields of a document", "the file is empty")
	case 1:
		d.value(bodies[0], v, "")
		return true
	}
	d.fault(bodies[1], "", "keep one document in each file", "the file holds %d YAML documents", len(bodies))
	return false
}

// parseYAML turns a panic of the parser into an error, since the parser is not
// guaranteed to accept arbitrary bytes.
func parseYAML(data []byte) (file *ast.File, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("the YAML parser failed on this input")
		}
	}()
	return parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
}

// locate returns the position of a path or of its nearest parent.
func (d *decoder) locate(path string) Position {
	for {
		if p, ok := d.positions[path]; ok {
			return p
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return d.positions[""]
		}
		path = path[:i]
	}
}

// addPositions adds positions to the faults of the validation. It drops those of
// fields that are missing or did not decode, since they were reported before.
func (d *decoder) addPositions(faults Faults, locate func(string) Position) Faults {
	var kept Faults
	for _, f := range faults {
		if !d.invalid[f.Path] {
			f.Position = locate(f.Path)
			kept = append(kept, f)
		}
	}
	return kept
}
