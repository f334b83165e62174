// Package instance runs one instance of the proxy fleet: it connects the
// listeners, the fleet and the sender to backend servers, and starts and stops
// them.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/fleet"
	"trefoilstream.example/trefoilstream/internal/forward"
	"trefoilstream.example/trefoilstream/internal/ingress"
	"trefoilstream.example/trefoilstream/internal/metrics"
	"trefoilstream.example/trefoilstream/internal/sender"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// Adapter holds what depends on the platform that the instance runs on.
type Adapter struct {
	Dialect       dialect.Dialect
	Source        fleet.Source
	Store         fleet.StoreCaller
	Bounds        dispatch.Bounds
	Policy        dispatch.Policy
	ReadinessPath string
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace time.Duration
}

const (
	// loadBalancerDelay is how long the load balancer may still send new
	// connections to an instance that is no longer ready: two health checks,
	// one second apart, and a margin.
	loadBalancerDelay = 2600 * time.Millisecond
	// exitMargin is left between the exit and the end of the grace period.
	exitMargin = 300 * time.Millisecond
	// lastSendMargin is left between the last request that is sent to a backend
	// server and the exit.
	lastSendMargin = time.Second
	// drainPollInterval is how often a draining instance checks for requests
	// in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves until SIGTERM or SIGINT, then completes the requests in flight and
// returns.
func Run(s *settings.Instance, a Adapter) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	// Settings come from flags and the environment and cannot be reloaded.
	signal.Ignore(syscall.SIGHUP)

	account := newAccount(memoryBytes(s))
	f := fleet.New(fleet.Options{
		Self:  fleet.Peer{Name: s.InstanceID, Address: s.PeerAddress, Domain: s.FailureDomain, Capacity: s.Cores()},
		Seeds: s.SeedList(), FirstStart: s.FirstStart,
		Bounds: a.Bounds, Policy: a.Policy, Source: a.Source, Store: a.Store, Sender: sender.New(a.Dialect), Memory: account,
	})
	peers, err := fleet.Listen(ctx, s.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	callers, err := sockopt.CallerListenConfig().Listen(ctx, "tcp", s.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	checks, err := net.Listen("tcp", s.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	requests := newRequestLog()
	recorder := metrics.New()
	handler := forward.New(f, a.Dialect, observers{requests, metricsObserver{recorder}})
	server := ingress.NewServer(handler)
	server.Memory, server.OnRefused = account, handler.NoteRefusal
	server.MaxConnections = sockopt.CallerConnections(sockopt.Descriptors(s.DescriptorCount()))
	go func() { _ = f.Serve(ctx, peers) }()
	go f.Run(ctx)
	go server.Serve(callers)
	go serveChecks(checks, a.ReadinessPath, f.Ready, recorder.Handler())
	go requests.run(ctx)
	go reportCoordination(ctx, recorder.Scope(), f.Coordination)
	log.WithFields(log.Fields{"event": "instance_started", "instance": s.InstanceID, "domain": s.FailureDomain, "listen": s.ListenAddress}).Info("instance started")
	<-term
	stop(f, server, handler, callers, a.Grace)
	log.WithFields(log.Fields{"event": "instance_stopped", "unanswered": server.Active()}).Info("instance stopped")
	return nil
}

// stop marks the instance as not ready and waits until the load balancer has noticed.
// From then on it refuses requests that connections still bring: they could last longer
// than the grace period. It returns when the callers of all accepted requests have received
// their responses and no connection is left, or exitMargin before the grace period ends; what
// has not been sent to a backend server lastSendMargin before that is refused, so that it is
// sent to another instance.
func stop(f *fleet.Fleet, server *ingress.Server, handler *forward.Handler, callers net.Listener, grace time.Duration) {
	start := time.Now()
	log.WithField("event", "instance_stopping").Info("instance is stopping")
	f.Leave()
	server.Drain()
	time.Sleep(loadBalancerDelay)
	_ = callers.Close()
	handler.RefuseNew()
	server.CloseIdle()
	end := grace - exitMargin
	for time.Since(start) < end {
		if server.Open() == 0 && f.RelayedRequests() == 0 {
			break
		}
		if time.Since(start) >= end-lastSendMargin {
			handler.StopSending()
		}
		time.Sleep(drainPollInterval)
		server.CloseIdle()
	}
}

// metricsPath is the path of the metrics, on the readiness listener.
const metricsPath = "/metrics"

// serveChecks serves the readiness checks and the metrics.
func serveChecks(l net.Listener, path string, ready func() bool, metricsHandler http.Handler) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET "+metricsPath, metricsHandler)
	if err := http.Serve(l, mux); err != nil && !errors.Is(err, net.ErrClosed) {
		log.WithField("event", "readiness_failed").WithError(err).Error("readiness listener failed")
	}
}
