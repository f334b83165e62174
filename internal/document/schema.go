package document

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// Schema is the JSON Schema of a document (draft 2020-12).
//
//go:embed schema.json
var Schema []byte

// FieldHelp describes one field of an entity, as the schema states it.
type FieldHelp struct {
	Name        string `json:"name"`
	Required    bool   `json:"required"`
	Limits      string `json:"limits,omitempty"`
	Description string `json:"description"`
}

// Help describes one kind of entity.
type Help struct {
	Kind        string      `json:"kind"`
	Description string      `json:"description"`
	Fields      []FieldHelp `json:"fields"`
}

type schemaNode struct {
	Description string                `json:"description"`
	Required    []string              `json:"required"`
	Properties  map[string]schemaNode `json:"properties"`
	Minimum     *float64              `json:"minimum"`
	Maximum     *float64              `json:"maximum"`
	Enum        []string              `json:"enum"`
	Defs        map[string]schemaNode `json:"$defs"`
}

var kindTypes = map[string]reflect.Type{
	"document": reflect.TypeFor[Document](), "domain": reflect.TypeFor[Domain](), "team": reflect.TypeFor[Team](),
	"key": reflect.TypeFor[Key](), "service": reflect.TypeFor[Service](), "server": reflect.TypeFor[Server](),
	"route": reflect.TypeFor[Route](),
}

// Kinds are the arguments that Explain accepts.
func Kinds() []string {
	return []string{"document", "domain", "team", "key", "service", "server", "route"}
}

// Explain describes a kind of entity, or the whole document for "document",
// from the JSON Schema.
func Explain(kind string) (Help, error) {
	t, ok := kindTypes[kind]
	if !ok {
		return Help{}, fmt.Errorf("kind %q is not known; use one of %s", kind, strings.Join(Kinds(), ", "))
	}
	var root schemaNode
	if err := json.Unmarshal(Schema, &root); err != nil {
		return Help{}, fmt.Errorf("read the JSON Schema: %w", err)
	}
	node := root
	if kind != "document" {
		node = root.Defs[kind]
	}
	help := Help{Kind: kind, Description: node.Description}
	for _, f := range fieldsOf(t) {
		p := node.Properties[f.name]
		help.Fields = append(help.Fields, FieldHelp{f.name, slices.Contains(node.Required, f.name), p.limits(), p.Description})
	}
	return help, nil
}

func (n schemaNode) limits() string {
	switch {
	case len(n.Enum) > 0:
		return strings.Join(n.Enum, ", ")
	case n.Minimum != nil && n.Maximum != nil:
		return formatNumber(*n.Minimum) + " to " + formatNumber(*n.Maximum)
	}
	return ""
}
