package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	yaml "github.com/goccy/go-yaml"
	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/admin"
	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/errkind"
)

const (
	// statusPollInterval is the time between two requests for the status.
	statusPollInterval = 250 * time.Millisecond
	// secretBytes is the length of a key before encoding.
	secretBytes = 32
	// keyPrefix lets secret scanners recognise a caller's key, and
	// operatorPrefix an operator's key.
	keyPrefix, operatorPrefix = "tsk_", "tso_"
)

// readDocument parses the document of the command line.
func (a *app) readDocument() (*document.Document, error) {
	text, err := os.ReadFile(a.file)
	if err != nil {
		return nil, usagef("%v", err)
	}
	if a.environmentFile == "" {
		return document.Parse(a.file, text)
	}
	env, err := os.ReadFile(a.environmentFile)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return document.ParseWithEnvironment(a.file, text, a.environmentFile, env)
}

func (a *app) check() error {
	doc, err := a.readDocument()
	if err != nil {
		return err
	}
	return a.print(map[string]any{"valid": true, "environment": doc.Environment}, func(w io.Writer) {
		fmt.Fprintf(w, "%s: valid, environment %s, %d failure domains, %d teams, %d keys, %d services, %d servers, %d routes\n",
			a.file, doc.Environment, len(doc.Domains), len(doc.Teams), len(doc.Keys), len(doc.Services), len(doc.Servers), len(doc.Routes))
	})
}

// parentNumber reads --parent. Nil means the accepted revision.
func (a *app) parentNumber() (*uint64, error) {
	if a.parent == "" || a.parent == "current" {
		return nil, nil
	}
	n, err := strconv.ParseUint(a.parent, 10, 64)
	if err != nil {
		return nil, usagef("--parent is a revision number or current, not %q", a.parent)
	}
	return &n, nil
}

func (a *app) diff() error {
	doc, err := a.readDocument()
	if err != nil {
		return err
	}
	c, err := a.fleetClient()
	if err != nil {
		return err
	}
	out := new(admin.ChangeResult)
	req := admin.PublishRequest{Document: doc, KeepLive: a.keepLive, DryRun: true}
	if err := c.call(context.Background(), http.MethodPost, "/v1/publish", req, out); err != nil {
		return err
	}
	return a.print(out, func(w io.Writer) {
		printItems(w, out.Changes)
		fmt.Fprintf(w, "parent revision %d; publish with --parent %d\n", out.Parent, out.Parent)
	})
}

func printItems(w io.Writer, items []document.Item) {
	for _, item := range items {
		fmt.Fprintf(w, "%s\t%s\t%s\n", item.Op, item.Kind, item.ID)
	}
}

func (a *app) publish() error {
	doc, err := a.readDocument()
	if err != nil {
		return err
	}
	if a.logURL != "" || a.admin == "" && a.getenv(EnvLog) != "" {
		return a.publishToLog(doc)
	}
	if a.parent == "" {
		return usagef("set --parent to the revision that the document was made from (trefoilctl diff prints it), or to current")
	}
	parent, err := a.parentNumber()
	if err != nil {
		return err
	}
	return a.sendChange(http.MethodPost, "/v1/publish", admin.PublishRequest{
		Parent: parent, Document: doc, KeepLive: a.keepLive, Note: a.note,
	})
}

func (a *app) promote() error {
	parent, err := a.parentNumber()
	if err != nil {
		return err
	}
	if a.from == "" {
		return usagef("set --from to the base URLs of the other environment's administration API")
	}
	key := a.getenv(EnvSourceKey)
	if key == "" {
		key = a.getenv(EnvKey)
	}
	source, err := a.client(a.from, key)
	if err != nil {
		return err
	}
	held := new(admin.AcceptedDocument)
	if err := source.call(context.Background(), http.MethodGet, "/v1/document", nil, held); err != nil {
		return fmt.Errorf("read the other environment: %w", err)
	}
	return a.sendChange(http.MethodPost, "/v1/promote", admin.PromoteRequest{
		Parent: parent, Document: held.Document, Source: held.Revision, Note: a.note, DryRun: a.dryRun,
	})
}

func (a *app) rollback() error {
	parent, err := a.parentNumber()
	if err != nil {
		return err
	}
	to, err := strconv.ParseUint(a.revision, 10, 64)
	if err != nil {
		return usagef("%q is not a revision number", a.revision)
	}
	return a.sendChange(http.MethodPost, "/v1/rollback", admin.RollbackRequest{To: to, Parent: parent, Note: a.note, DryRun: a.dryRun})
}

// sendChange sends a change, waits if asked to, and prints the result.
func (a *app) sendChange(method, path string, req any) error {
	c, err := a.fleetClient()
	if err != nil {
		return err
	}
	out := new(admin.ChangeResult)
	if err := c.call(context.Background(), method, path, req, out); err != nil {
		return err
	}
	if err := a.awaitRevision(c, out.Revision); err != nil {
		return err
	}
	return a.print(out, func(w io.Writer) { a.printPublished(w, out) })
}

func (a *app) printPublished(w io.Writer, out *admin.ChangeResult) {
	printItems(w, out.Changes)
	switch {
	case a.dryRun:
		fmt.Fprintf(w, "would follow revision %d\n", out.Parent)
	case out.ID == "":
		fmt.Fprintf(w, "nothing to change at revision %d\n", out.Revision)
	case a.wait:
		fmt.Fprintf(w, "revision %d is in force everywhere\n", out.Revision)
	default:
		fmt.Fprintf(w, "revision %d is accepted\n", out.Revision)
	}
}

// awaitRevision waits, if asked to, until the revision is in force at every
// instance.
func (a *app) awaitRevision(c *client, revision uint64) error {
	if !a.wait || a.dryRun {
		return nil
	}
	var lastErr error
	status := new(admin.Status)
	for end := time.Now().Add(a.timeout); time.Now().Before(end); time.Sleep(statusPollInterval) {
		status = new(admin.Status)
		if lastErr = c.call(context.Background(), http.MethodGet, "/v1/status", nil, status); lastErr != nil {
			continue
		}
		if status.InForce && status.Revision >= revision {
			return nil
		}
	}
	for _, inst := range status.Instances {
		if !inst.InForce {
			fmt.Fprintf(a.stderr, "instance %s is %s at revision %d\n", inst.Instance, inst.State, inst.Revision)
		}
	}
	if lastErr != nil {
		return fmt.Errorf("%w: revision %d: %v", errNotInForce, revision, lastErr)
	}
	return fmt.Errorf("%w: revision %d", errNotInForce, revision)
}

func (a *app) history() error {
	out := new(admin.History)
	return a.getAndPrint("/v1/history?limit="+strconv.Itoa(a.limit), out, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tTIME\tAUTHOR\tENTITIES\tNOTE")
		for _, e := range out.Entries {
			fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", e.Number, formatTime(e.TimeMS), e.Author, e.Entities, e.Note)
		}
		for _, r := range out.Refusals {
			fmt.Fprintf(w, "refused\t%s\t%s\t-\t%s (parent %d, but %d was accepted)\n", formatTime(r.TimeMS), r.Author, r.Note, r.Parent, r.Accepted)
		}
	})
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// getAndPrint gets and prints a response. It sets out before it calls table.
func (a *app) getAndPrint(path string, out any, table func(w io.Writer)) error {
	c, err := a.fleetClient()
	if err != nil {
		return err
	}
	if err := c.call(context.Background(), http.MethodGet, path, nil, out); err != nil {
		return err
	}
	return a.print(out, table)
}

func (a *app) status() error {
	out := new(admin.Status)
	return a.getAndPrint("/v1/status", out, func(w io.Writer) {
		fmt.Fprintf(w, "environment %s, revision %d, in force everywhere: %t\n", out.Environment, out.Revision, out.InForce)
		fmt.Fprintln(w, "INSTANCE\tFAILURE DOMAIN\tSTATE\tREVISION\tOFFSET\tIN FORCE")
		for _, i := range out.Instances {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%t\n", i.Instance, i.FailureDomain, i.State, i.Revision, i.Offset, i.InForce)
		}
	})
}

func (a *app) document() error {
	c, err := a.fleetClient()
	if err != nil {
		return err
	}
	held := new(admin.AcceptedDocument)
	if err := c.call(context.Background(), http.MethodGet, "/v1/document", nil, held); err != nil {
		return err
	}
	if a.output == "json" {
		return a.print(held, nil)
	}
	text, err := yaml.Marshal(held.Document)
	if err != nil {
		return fmt.Errorf("encode document: %w", err)
	}
	_, err = fmt.Fprintf(a.stdout, "# revision %d\n%s", held.Revision, text)
	return err
}

func newSecret(prefix string) (secret, digest string) {
	raw := make([]byte, secretBytes)
	// Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(raw)
	secret = prefix + base64.RawURLEncoding.EncodeToString(raw)
	sum := sha256.Sum256([]byte(secret))
	return secret, hex.EncodeToString(sum[:])
}

// issuedKey is the result of keys issue, the only command that prints a caller's
// key.
type issuedKey struct {
	ID       string `json:"id"`
	Team     string `json:"team"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

func (a *app) issueKey() error {
	c, err := a.fleetClient()
	if err != nil {
		return err
	}
	secret, digest := newSecret(keyPrefix)
	id := a.keyID
	if id == "" {
		id = a.team + "-" + uuid.NewString()[:8]
	}
	out := new(admin.ChangeResult)
	req := admin.IssueKeyRequest{ID: id, Team: a.team, SHA256: digest, Note: a.note}
	if err := c.call(context.Background(), http.MethodPost, "/v1/keys", req, out); err != nil {
		if exitCode(err) == ExitUnconfirmed {
			return fmt.Errorf("key %s may exist, withdraw it before issuing another: %w", id, err)
		}
		return err
	}
	// The secret is printed before the wait, since it cannot be printed later.
	err = a.print(issuedKey{id, a.team, secret, out.Revision}, func(w io.Writer) {
		fmt.Fprintf(w, "ID\t%s\nTEAM\t%s\nKEY\t%s\nREVISION\t%d\nThe key is not shown again.\n", id, a.team, secret, out.Revision)
	})
	if err != nil {
		return err
	}
	return a.awaitRevision(c, out.Revision)
}

// noteBody is the body of a deletion.
type noteBody struct {
	Note string `json:"note,omitempty"`
}

func (a *app) withdrawKey() error {
	return a.sendChange(http.MethodDelete, "/v1/keys/"+url.PathEscape(a.id), noteBody{a.note})
}

func (a *app) listKeys() error {
	var out struct {
		Keys []document.Key `json:"keys"`
	}
	return a.getAndPrint("/v1/keys?team="+url.QueryEscape(a.team), &out, func(w io.Writer) {
		fmt.Fprintln(w, "ID\tTEAM\tSHA256")
		for _, k := range out.Keys {
			fmt.Fprintf(w, "%s\t%s\t%s\n", k.ID, k.Team, k.SHA256)
		}
	})
}

func (a *app) setOut(section string, out bool) error {
	return a.sendChange(http.MethodPut, "/v1/"+section+"/"+url.PathEscape(a.id), admin.OutOfServiceRequest{Out: out, Note: a.note})
}

func (a *app) why() error {
	out := new(admin.Explanation)
	return a.getAndPrint("/v1/why/"+url.PathEscape(a.kind)+"/"+url.PathEscape(a.id), out, func(w io.Writer) {
		for _, finding := range out.Findings {
			fmt.Fprintln(w, finding)
		}
	})
}

func (a *app) operatorKey() error {
	secret, digest := newSecret(operatorPrefix)
	setting := a.id + "=" + digest
	return a.print(map[string]string{"name": a.id, "key": secret, "setting": setting}, func(w io.Writer) {
		fmt.Fprintf(w, "KEY\t%s\nSETTING\t%s\nAdd the setting to --operator-keys of every instance. The key is not shown again.\n", secret, setting)
	})
}

// errorHelp describes an error kind.
type errorHelp struct {
	Kind    string `json:"kind"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
	Meaning string `json:"meaning"`
	Remedy  string `json:"remedy"`
}

func (a *app) explain() error {
	if k := errkind.Kind(a.kind); errkind.Valid(k) {
		row := errkind.Lookup(k)
		help := errorHelp{a.kind, row.Status, string(row.Outcome), row.Meaning, row.Remedy}
		return a.print(help, func(w io.Writer) {
			fmt.Fprintf(w, "%s: status %d, outcome %s\n%s\n%s\n", a.kind, row.Status, row.Outcome, row.Meaning, row.Remedy)
		})
	}
	if !slices.Contains(document.Kinds(), a.kind) {
		var kinds []string
		for _, k := range errkind.All() {
			kinds = append(kinds, string(k))
		}
		return usagef("%q is neither a kind of entity (%s) nor an error kind (%s)", a.kind, strings.Join(document.Kinds(), ", "), strings.Join(kinds, ", "))
	}
	help, err := document.Explain(a.kind)
	if err != nil {
		return err
	}
	return a.print(help, func(w io.Writer) {
		fmt.Fprintln(w, help.Description)
		for _, f := range help.Fields {
			required := ""
			if f.Required {
				required = "required"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", f.Name, required, f.Limits, f.Description)
		}
	})
}
