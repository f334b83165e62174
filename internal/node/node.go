// Package node runs one instance of the fleet, as trefoilstreamd starts it
// without a subcommand. It assembles the components of the instance, such as
// packages entry and owner, and connects them to the other instances, the log
// service and the platform's instance list. The instance of "trefoilstreamd
// platform" consists of other components; see package instance.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/entry"
	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/metrics"
	"trefoilstream.example/trefoilstream/internal/owner"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
	"trefoilstream.example/trefoilstream/internal/settings"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// Node is one instance of the fleet.
type Node struct {
	settings     *settings.Settings
	self         roster.Member
	state        *board.InstanceState
	log          logservice.Log
	instanceList logservice.InstanceList
	peers        *peer.Pool
	server       *peer.Server
	members      *members
	rights       *rights.Ledger
	stateMachine *journal.StateMachine
	// applyMu serializes updates of the configuration and roster in state.
	applyMu    sync.Mutex
	inFlight   inFlightCalls
	metrics    *metrics.Metrics
	explainers []explainer
	owner      *owner.Owner
	arbiters   *arbiters
	budgets    *budgets
	claims     *claims
}

// New returns an instance that has not started. It fails if the peer
// certificates are invalid.
func New(s *settings.Settings, l logservice.Log, list logservice.InstanceList) (*Node, error) {
	self := roster.Member{
		ID: s.InstanceID, Incarnation: uint64(time.Now().UnixMilli()), FailureDomain: s.FailureDomain,
		Region: s.Region, PeerAddress: s.PeerAdvertise, AdminAddress: s.AdminAddress,
	}
	state := board.New()
	peerTLS, err := s.PeerTLS()
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, self: self, state: state, log: l, instanceList: list, peers: peer.NewPool(peerTLS), server: peer.NewServer(peerTLS),
		stateMachine: journal.NewStateMachine(), metrics: metrics.New(),
	}
	n.members = newMembers(n, self)
	n.rights = n.members.ledger()
	return n, nil
}

// Run serves until the context is done and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	callerListener, err := net.Listen("tcp", n.settings.ListenAddress)
	if err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if err := n.register(); err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return n.server.Serve(work, peerListener) })
	group.Go(func() error { return n.followLog(work) })
	group.Go(func() error { return n.members.run(work) })
	group.Go(func() error { return n.members.startFromPeers(work) })
	group.Go(func() error { return n.followInstances(work) })
	group.Go(func() error { return n.serveAdmin(work) })
	group.Go(func() error { return n.publishSnapshots(work) })
	group.Go(func() error { return n.owner.Run(work) })
	group.Go(func() error { return n.budgets.run(work) })
	group.Go(func() error { return n.claims.run(work) })
	maxConnections := sockopt.CallerConnections(sockopt.Descriptors(0))
	srv := entry.NewServer(n.callerHandler(), n.settings.MemoryBytes(), maxConnections)
	group.Go(func() error {
		if err := srv.Serve(callerListener); err != nil {
			return fmt.Errorf("caller listener: %w", err)
		}
		return nil
	})
	if n.settings.PeerCertificate == "" {
		log.WithField("event", "peers_without_tls").Warn("peers use plain TCP, which is allowed on loopback only")
	}
	log.WithFields(log.Fields{"event": "instance_started", "listen": n.settings.ListenAddress}).Info("instance started")
	select {
	case <-ctx.Done():
	case <-work.Done():
	}
	n.stop(srv)
	stopWork()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (n *Node) append(ctx context.Context, r *journal.Record) error {
	if r.TimeMS == 0 {
		r.TimeMS = time.Now().UnixMilli()
	}
	data, err := journal.Encode(r)
	if err != nil {
		return err
	}
	_, err = n.log.Append(ctx, data)
	return err
}
