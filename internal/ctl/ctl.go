// Package ctl implements trefoilctl, the operators' command line. It checks
// documents, publishes changes through the administration API or directly to the
// log service, and prints the state of the fleet.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

// Exit codes. ExitUsage is also that of the flag parser.
const (
	ExitOK    = 0
	ExitError = 1
	ExitUsage = 2
	// ExitRefused means that nothing was changed: the document has errors, an
	// entity does not exist, or the operator key is not accepted.
	ExitRefused = 3
	// ExitConflict means that another revision was accepted first.
	ExitConflict = 4
	// ExitUnreachable means that no instance was reached, or that the log was
	// not reached, and that nothing was changed.
	ExitUnreachable = 5
	// ExitUnconfirmed means that it is not known whether the change was
	// accepted, or that it was not in force everywhere in time.
	ExitUnconfirmed = 6
)

// Environment variables. Keys are not flags, since process lists show flags.
const (
	EnvAdmin     = "TREFOILSTREAM_ADMIN_URL"
	EnvKey       = "TREFOILSTREAM_OPERATOR_KEY"
	EnvSourceKey = "TREFOILSTREAM_SOURCE_OPERATOR_KEY"
	EnvLog       = "TREFOILSTREAM_LOG_URL"
)

// options are the values of all flags and arguments.
type options struct {
	admin, keyFile, authorityFile, output string
	timeout                               time.Duration

	file, environmentFile, parent, note, logURL string
	from, revision, team, id, kind, keyID       string
	wait, keepLive, dryRun                      bool
	limit                                       int
}

// usageError is a mistake in the command line.
type usageError struct{ text string }

func (e *usageError) Error() string { return e.text }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

// errNotInForce means that --wait timed out.
var errNotInForce = errors.New("the revision is accepted, but was not in force at every instance within --timeout")

// app is one run of the command line.
type app struct {
	options
	stdout, stderr io.Writer
	getenv         func(string) string
}

// command is a subcommand and what it runs.
type command struct {
	sub *flaggy.Subcommand
	run func() error
}

// Main runs the command line and returns the exit code. The flag parser itself
// exits with ExitUsage.
func Main(args []string, stdout, stderr io.Writer, getenv func(string) string) int {
	a := &app{stdout: stdout, stderr: stderr, getenv: getenv}
	a.options = options{admin: getenv(EnvAdmin), output: "table", timeout: 30 * time.Second, limit: 20}
	p := flaggy.NewParser("trefoilctl")
	p.Description = "publishes and inspects the configuration of a trefoilstream fleet"
	p.String(&a.admin, "", "admin", "base URLs of the administration API, separated by commas ("+EnvAdmin+")")
	p.String(&a.keyFile, "", "key-file", "file that holds the operator key (instead of "+EnvKey+")")
	p.String(&a.authorityFile, "", "authority", "PEM file of the certificate authority of the administration API")
	p.String(&a.output, "o", "output", "table or json")
	p.Duration(&a.timeout, "", "timeout", "time limit of --wait")
	commands := a.commands(p)
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, "trefoilctl:", err)
		return ExitUsage
	}
	for _, c := range commands {
		if c.sub.Used {
			return a.finish(c.run())
		}
	}
	p.ShowHelpWithMessage("a subcommand is required")
	return ExitUsage
}

func (a *app) finish(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(a.stderr, "trefoilctl:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *usageError
	var problem *problemError
	var faults document.Faults
	kind := errkind.Kind("")
	var typed *errkind.Error
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.Is(err, errNotInForce):
		return ExitUnconfirmed
	case errors.As(err, &faults):
		return ExitRefused
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.As(err, &problem):
		kind = errkind.Kind(problem.Kind)
	case errors.As(err, &typed):
		kind = typed.Kind
	}
	switch kind {
	case errkind.Conflict:
		return ExitConflict
	case errkind.LogUnavailable:
		return ExitUnreachable
	case errkind.LogUnknown:
		return ExitUnconfirmed
	case errkind.InvalidDocument, errkind.Unauthorized, errkind.BadRequest:
		return ExitRefused
	}
	return ExitError
}

// newSubcommand adds a subcommand to its parent.
func newSubcommand(parent *flaggy.Subcommand, name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	parent.AttachSubcommand(sub, 1)
	return sub
}

func (a *app) commands(p *flaggy.Parser) []command {
	add := func(name, description string, run func() error) (command, *flaggy.Subcommand) {
		sub := newSubcommand(&p.Subcommand, name, description)
		return command{sub, run}, sub
	}
	fileArgs := func(sub *flaggy.Subcommand) {
		sub.AddPositionalValue(&a.file, "document", 1, true, "YAML document")
		sub.String(&a.environmentFile, "e", "environment-file", "YAML file whose sections replace the environment sections of the document")
	}
	change := func(sub *flaggy.Subcommand) {
		sub.Bool(&a.wait, "w", "wait", "wait until the revision is in force everywhere")
		sub.String(&a.note, "n", "note", "note for the history")
	}
	var list []command
	c, sub := add("check", "check a document without a fleet", a.check)
	fileArgs(sub)
	list = append(list, c)

	c, sub = add("diff", "show what publishing a document would change", a.diff)
	fileArgs(sub)
	sub.Bool(&a.keepLive, "", "keep-live", "keep the accepted keys and what operators took out of service, instead of the document's")
	list = append(list, c)

	c, sub = add("publish", "publish a document", a.publish)
	fileArgs(sub)
	change(sub)
	sub.String(&a.parent, "p", "parent", "revision that the document was made from, or current to replace whatever is accepted")
	sub.Bool(&a.keepLive, "", "keep-live", "keep the accepted keys and what operators took out of service, instead of the document's")
	sub.String(&a.logURL, "", "log-url", "append directly to the log service, for a fleet without running instances ("+EnvLog+")")
	list = append(list, c)

	c, sub = add("promote", "take over another environment's document except its environment sections", a.promote)
	change(sub)
	sub.String(&a.from, "f", "from", "base URLs of the other environment's administration API; its operator key is in "+EnvSourceKey)
	sub.String(&a.parent, "p", "parent", "revision that the promotion is meant for")
	sub.Bool(&a.dryRun, "", "dry-run", "only show what would change")
	list = append(list, c)

	c, sub = add("rollback", "restore an earlier revision, except keys and what is out of service", a.rollback)
	change(sub)
	sub.AddPositionalValue(&a.revision, "revision", 1, true, "revision to restore")
	sub.String(&a.parent, "p", "parent", "revision that the rollback is meant for")
	sub.Bool(&a.dryRun, "", "dry-run", "only show what would change")
	list = append(list, c)

	c, sub = add("history", "list accepted and refused revisions", a.history)
	sub.Int(&a.limit, "", "limit", "number of revisions")
	list = append(list, c)

	c, _ = add("status", "show the revision in force at each instance", a.status)
	list = append(list, c)
	c, _ = add("document", "print the accepted document as YAML", a.document)
	list = append(list, c)

	c, sub = add("operator", "make an operator key and print its setting", a.operatorKey)
	sub.AddPositionalValue(&a.id, "name", 1, true, "name of the operator")
	list = append(list, c)

	c, sub = add("why", "explain the state of an entity", a.why)
	sub.AddPositionalValue(&a.kind, "kind", 1, true, "server, service, domain, team, key or route")
	sub.AddPositionalValue(&a.id, "id", 2, true, "ID of the entity")
	list = append(list, c)

	c, sub = add("explain", "explain an error kind or a kind of entity", a.explain)
	sub.AddPositionalValue(&a.kind, "kind", 1, true, "error kind, or document, domain, team, key, service, server, route")
	list = append(list, c)

	keys := newSubcommand(&p.Subcommand, "keys", "issue, withdraw and list callers' keys")
	issue := newSubcommand(keys, "issue", "make a key and print it once")
	issue.AddPositionalValue(&a.team, "team", 1, true, "team of the key")
	issue.String(&a.keyID, "", "id", "ID of the key; generated if absent")
	change(issue)
	withdraw := newSubcommand(keys, "withdraw", "withdraw a key")
	withdraw.AddPositionalValue(&a.id, "id", 1, true, "ID of the key")
	change(withdraw)
	keyList := newSubcommand(keys, "list", "list keys without their secrets")
	keyList.String(&a.team, "", "team", "only keys of the team")
	list = append(list, command{issue, a.issueKey}, command{withdraw, a.withdrawKey}, command{keyList, a.listKeys})

	for kind, plural := range map[string]string{"domain": "domains", "server": "servers"} {
		parent := newSubcommand(&p.Subcommand, kind, "take a "+kind+" out of service or back in")
		for _, direction := range []string{"out", "in"} {
			sub := newSubcommand(parent, direction, "take the "+kind+" "+direction)
			sub.AddPositionalValue(&a.id, "id", 1, true, "ID of the "+kind)
			change(sub)
			list = append(list, command{sub, func() error { return a.setOut(plural, direction == "out") }})
		}
		list = append(list, command{parent, func() error { return usagef("write %s out ID or %s in ID", kind, kind) }})
	}
	return append(list, command{keys, func() error { return usagef("write keys issue TEAM, keys withdraw ID or keys list") }})
}

// print writes a value as JSON or calls table.
func (a *app) print(v any, table func(w io.Writer)) error {
	switch a.output {
	case "json":
		out := json.NewEncoder(a.stdout)
		out.SetIndent("", "  ")
		return out.Encode(v)
	case "table":
		w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
		table(w)
		return w.Flush()
	}
	return usagef("--output is table or json, not %q", a.output)
}

func (a *app) client(urls, key string) (*client, error) {
	var authority []byte
	if a.authorityFile != "" {
		var err error
		if authority, err = os.ReadFile(a.authorityFile); err != nil {
			return nil, usagef("%v", err)
		}
	}
	return newClient(urls, key, authority)
}

// fleetClient returns a client of the fleet that the command is for.
func (a *app) fleetClient() (*client, error) {
	if a.output != "json" && a.output != "table" {
		return nil, usagef("--output is table or json, not %q", a.output)
	}
	key := a.getenv(EnvKey)
	if a.keyFile != "" {
		text, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, usagef("%v", err)
		}
		key = strings.TrimSpace(string(text))
	}
	return a.client(a.admin, key)
}
