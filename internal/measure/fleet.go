// Package measure runs a fleet of trefoilstreamd processes with stand-ins on
// loopback under open-loop load, injects faults, and checks what callers and
// backend servers saw.
package measure

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/document"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/standin"
)

// FleetOptions configure a fleet.
type FleetOptions struct {
	// Binaries is the directory that holds trefoilstreamd.
	Binaries string
	// Logs is the directory for the processes' output.
	Logs string
	// Document is the configuration. Its server addresses and key digests
	// are replaced.
	Document *document.Document
	// Instances is the number of instances, spread over the domains.
	Instances int
	// Behaviours configure the backend servers, by service.
	Behaviours map[string]standin.Behaviour
	// Flags are added to the command line of every instance.
	Flags []string
	// DrainWait is the value of --drain-wait.
	DrainWait time.Duration
}

// Instance is one trefoilstreamd process.
type Instance struct {
	ID, Domain string
	// CallerAddress is the address that callers send to.
	CallerAddress string
	// PeerProxy is the fault proxy in front of the address for other instances.
	PeerProxy *standin.FaultProxy

	peerListen, adminListen string
	cmd                     *exec.Cmd
	done                    chan struct{}
	exit                    error
}

// Fleet is a running fleet. Each instance is a process; the stand-ins run in
// this one.
type Fleet struct {
	options   FleetOptions
	Instances []*Instance
	Servers   map[string]*standin.BackendServer
	Log       *standin.Log
	List      *standin.InstanceList

	logURL, listURL string
	standinServers  []*http.Server
	mu              sync.Mutex
	document        *document.Document
	client          *logservice.LogClient
}

// KeyOf returns the caller's key for a key ID.
func KeyOf(id string) string { return "key-of-" + id }

// digestOf returns the digest of a key as it appears in documents.
func digestOf(id string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(KeyOf(id)))) }

// StartFleet starts the stand-ins and the instances and publishes the
// configuration. The fleet must be closed also after an error.
func StartFleet(ctx context.Context, o FleetOptions) (*Fleet, error) {
	f := &Fleet{
		options: o, Servers: make(map[string]*standin.BackendServer), Log: standin.NewLog(), List: &standin.InstanceList{},
	}
	var err error
	if f.logURL, err = f.serve(f.Log.Handler()); err != nil {
		return f, err
	}
	if f.listURL, err = f.serve(f.List.Handler()); err != nil {
		return f, err
	}
	f.client = logservice.NewLogClient(f.logURL)
	doc := *o.Document
	doc.Servers, doc.Keys = slices.Clone(doc.Servers), slices.Clone(doc.Keys)
	for i := range doc.Servers {
		s := &doc.Servers[i]
		b, err := standin.ListenBackend("127.0.0.1:0", standin.NewBackend(s.ID, o.Behaviours[s.Service], uint64(i)))
		if err != nil {
			return f, err
		}
		f.Servers[s.ID] = b
		s.Address = b.Addr()
	}
	for i := range doc.Keys {
		doc.Keys[i].SHA256 = digestOf(doc.Keys[i].ID)
	}
	f.document = &doc
	for i := range o.Instances {
		if err := f.addInstance(i, doc.Domains[i%len(doc.Domains)].ID); err != nil {
			return f, err
		}
	}
	f.updateInstanceList()
	if _, err := f.Publish(ctx, func(*document.Document) {}); err != nil {
		return f, err
	}
	for _, i := range f.Instances {
		if err := i.WaitReady(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// serve runs a stand-in on a free port and returns its URL.
func (f *Fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	f.standinServers = append(f.standinServers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

func (f *Fleet) addInstance(n int, domain string) error {
	i := &Instance{ID: fmt.Sprintf("i-%02d", n), Domain: domain}
	for _, a := range []*string{&i.CallerAddress, &i.peerListen, &i.adminListen} {
		address, err := standin.FreeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	var err error
	if i.PeerProxy, err = standin.NewFaultProxy("127.0.0.1:0", i.peerListen); err != nil {
		return err
	}
	f.Instances = append(f.Instances, i)
	return f.Start(i)
}

// Start starts the process of an instance that is not running.
func (f *Fleet) Start(i *Instance) error {
	fault := i.PeerProxy.Fault()
	fault.Refuse = false
	if err := i.PeerProxy.Set(fault); err != nil {
		return err
	}
	region := ""
	for _, d := range f.options.Document.Domains {
		if d.ID == i.Domain {
			region = d.Region
		}
	}
	args := append([]string{
		"--instance-id", i.ID, "--failure-domain", i.Domain, "--region", region, "--listen", i.CallerAddress,
		"--peer-listen", i.peerListen, "--peer-advertise", i.PeerProxy.Addr(), "--admin-listen", i.adminListen,
		"--log-url", f.logURL, "--instances-url", f.listURL, "--drain-wait", f.options.DrainWait.String(),
	}, f.options.Flags...)
	out, err := os.OpenFile(filepath.Join(f.options.Logs, i.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.options.Binaries, "trefoilstreamd"), args...)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the instance when this process ends, even by SIGKILL.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return fmt.Errorf("instance %s: %w", i.ID, err)
	}
	i.cmd, i.done = cmd, make(chan struct{})
	go func() {
		i.exit = cmd.Wait()
		_ = out.Close()
		close(i.done)
	}()
	return nil
}

// Signal sends a signal to the instance's process.
func (i *Instance) Signal(s syscall.Signal) error { return i.cmd.Process.Signal(s) }

// Stop sends SIGTERM and returns the exit error, or an error if the process has
// not exited in time.
func (i *Instance) Stop(timeout time.Duration) error {
	if err := i.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-i.done:
		return i.exit
	case <-time.After(timeout):
		return fmt.Errorf("instance %s has not exited within %v of SIGTERM", i.ID, timeout)
	}
}

// Kill sends SIGKILL. The fault proxy in front of the instance then refuses
// connections, as the address of a dead process does.
func (i *Instance) Kill() error {
	if i.cmd == nil {
		return nil
	}
	_ = i.Signal(syscall.SIGKILL)
	<-i.done
	f := i.PeerProxy.Fault()
	f.Refuse = true
	return i.PeerProxy.Set(f)
}

// Ready reports whether the readiness check of the instance succeeds.
func (i *Instance) Ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + i.CallerAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the instance is ready.
func (i *Instance) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if i.Ready() {
			return nil
		}
		select {
		case <-i.done:
			return fmt.Errorf("instance %s exited: %w", i.ID, i.exit)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("instance %s is not ready: %w", i.ID, ctx.Err())
}

func (f *Fleet) updateInstanceList() {
	var all []logservice.Instance
	for _, i := range f.Instances {
		all = append(all, logservice.Instance{
			ID: i.ID, Kind: logservice.KindProxy, Address: i.PeerProxy.Addr(), FailureDomain: i.Domain, State: logservice.StateLive,
		})
	}
	f.List.Set(all)
}

// Document returns the configuration last published.
func (f *Fleet) Document() *document.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Publish changes a copy of the configuration, appends it to the log and returns
// the time at which the log accepted it.
func (f *Fleet) Publish(ctx context.Context, change func(*document.Document)) (time.Time, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.document
	next.Domains, next.Keys, next.Servers = slices.Clone(next.Domains), slices.Clone(next.Keys), slices.Clone(next.Servers)
	change(&next)
	state := journal.NewStateMachine()
	page, err := f.client.Read(ctx, 0, 0, 0)
	if err != nil {
		return time.Time{}, err
	}
	for _, r := range page.Records {
		if err := state.Apply(r.Offset, r.Data); err != nil {
			return time.Time{}, fmt.Errorf("record %d: %w", r.Offset, err)
		}
	}
	parent := state.Revision()
	data, err := journal.Encode(&journal.Record{
		ID: uuid.NewString(), Kind: journal.KindRevision, TimeMS: time.Now().UnixMilli(),
		Revision: &journal.Revision{Number: parent + 1, Parent: parent, Author: "measure", Change: document.Diff(state.Document(), &next)},
	})
	if err != nil {
		return time.Time{}, err
	}
	if _, err := f.client.Append(ctx, data); err != nil {
		return time.Time{}, err
	}
	f.document = &next
	return time.Now(), nil
}

// Close kills the instances that are still running and stops the stand-ins.
func (f *Fleet) Close() error {
	var errs []error
	for _, i := range f.Instances {
		errs = append(errs, i.Kill())
		if i.PeerProxy != nil {
			errs = append(errs, i.PeerProxy.Close())
		}
	}
	for _, s := range f.Servers {
		_ = s.Close()
	}
	for _, s := range f.standinServers {
		_ = s.Close()
	}
	return errors.Join(errs...)
}
