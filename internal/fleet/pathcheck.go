package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// dialProbeTimeout bounds the dial from an instance to a backend server in
	// a path check. It is too short for a retransmission after a lost packet.
	dialProbeTimeout = 200 * time.Millisecond
	// pathCheckTimeout bounds the RPC that asks an instance to dial.
	pathCheckTimeout = dialProbeTimeout + 200*time.Millisecond
)

// Reach implements peerpb.DRPCCoordinationServer.
func (s *coordinationServer) Reach(ctx context.Context, r *peerpb.ReachRequest) (*peerpb.ReachReply, error) {
	return &peerpb.ReachReply{Reached: s.fleet.canConnect(ctx, r.Address)}, nil
}

// canConnect reports whether this instance can connect to an address.
func (f *Fleet) canConnect(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialProbeTimeout)
	defer cancel()
	return f.opts.Sender.Reach(ctx, address)
}

// checkPaths asks instances to connect to a backend server and reports the
// results to the dispatcher.
func (c *coordinator) checkPaths(ctx context.Context, check dispatch.PathCheck) {
	ctx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()
	var mu sync.Mutex
	var reached, unreachable []string
	var wg sync.WaitGroup
	for _, via := range check.Via {
		wg.Go(func() {
			ok, err := c.fleet.queryReachability(ctx, via, check.Address)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
			case ok:
				reached = append(reached, via)
			default:
				unreachable = append(unreachable, via)
			}
		})
	}
	wg.Wait()
	log.WithFields(log.Fields{"event": "paths_checked", "server": check.Server, "reached": reached, "lost": unreachable}).Info("paths to a backend server checked")
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.deliver(c.dispatcher.PathsChecked(time.Now(), check, reached, unreachable))
	}
}

// queryReachability asks an instance whether it can connect to a backend server.
// An error means that the instance itself did not reply.
func (f *Fleet) queryReachability(ctx context.Context, via, address string) (bool, error) {
	if via == f.opts.Self.Address {
		return f.canConnect(ctx, address), nil
	}
	reply, err := peerpb.NewDRPCCoordinationClient(f.peerConns.get(ctx, via)).Reach(ctx, &peerpb.ReachRequest{Address: address})
	if err != nil {
		return false, err
	}
	return reply.Reached, nil
}
