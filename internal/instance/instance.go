// Package instance runs one instance on the users' platform: it wires callers,
// fleet and backend servers, and starts and stops them.
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

// Adapter is what the platform's adapter provides.
type Adapter struct {
	Dialect       dialect.Dialect
	Source        fleet.Source
	Store         fleet.StoreCaller
	Bounds        dispatch.Bounds
	ReadinessPath string
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace time.Duration
}

const (
	// loadBalancerDelay is how long the load balancer may send new connections to
	// an instance that is no longer ready: two checks that are a second apart,
	// and a margin.
	loadBalancerDelay = 2600 * time.Millisecond
	// exitMargin is kept before the platform kills the process.
	exitMargin = 300 * time.Millisecond
	// drainPollInterval is how often a stopping instance looks at what still runs.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves until SIGTERM and then stops without cutting off a request.
func Run(s *settings.Instance, a Adapter) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	// Settings come from flags and environment and stay for the process.
	signal.Ignore(syscall.SIGHUP)

	f := fleet.New(fleet.Options{
		Self:  fleet.Peer{Name: s.InstanceID, Address: s.PeerAddress, Domain: s.FailureDomain, Capacity: s.Cores()},
		Seeds: s.SeedList(), FirstStart: s.FirstStart,
		Bounds: a.Bounds, Source: a.Source, Store: a.Store, Sender: sender.New(a.Dialect),
	})
	peers, err := fleet.Listen(ctx, s.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen for instances: %w", err)
	}
	callers, err := sockopt.ListenConfig().Listen(ctx, "tcp", s.ListenAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	checks, err := net.Listen("tcp", s.ReadinessAddress)
	if err != nil {
		return fmt.Errorf("listen for readiness checks: %w", err)
	}
	requests := newRequestLog()
	measures := metrics.New()
	server := ingress.NewServer(forward.New(f, a.Dialect, observers{requests, metricsObserver{measures}}))
	go func() { _ = f.Serve(ctx, peers) }()
	go f.Run(ctx)
	go server.Serve(callers)
	go serveChecks(checks, a.ReadinessPath, f.Ready, measures.Handler())
	go requests.run(ctx)
	log.WithFields(log.Fields{"event": "instance_started", "instance": s.InstanceID, "domain": s.FailureDomain, "listen": s.ListenAddress}).Info("instance started")
	<-term
	stop(f, server, callers, a.Grace)
	log.WithFields(log.Fields{"event": "instance_stopped", "unanswered": server.Active()}).Info("instance stopped")
	return nil
}

// stop makes the instance not ready, waits until the load balancer has noticed,
// and returns when all that was accepted is answered, or before the grace
// period ends.
func stop(f *fleet.Fleet, server *ingress.Server, callers net.Listener, grace time.Duration) {
	start := time.Now()
	log.WithField("event", "instance_stopping").Info("instance is stopping")
	f.Leave()
	server.Drain()
	time.Sleep(loadBalancerDelay)
	_ = callers.Close()
	server.CloseIdle()
	for time.Since(start) < grace-exitMargin {
		if server.Active() == 0 && f.Sending() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
		server.CloseIdle()
	}
}

// metricsPath is where the metrics are served, beside the readiness.
const metricsPath = "/metrics"

// serveChecks answers readiness checks and serves the metrics.
func serveChecks(l net.Listener, path string, ready func() bool, measures http.Handler) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET "+metricsPath, measures)
	if err := http.Serve(l, mux); err != nil && !errors.Is(err, net.ErrClosed) {
		log.WithField("event", "readiness_failed").WithError(err).Error("readiness checks are not answered")
	}
}
