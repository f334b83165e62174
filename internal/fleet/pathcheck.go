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
	// reachTimeout bounds a connection from an instance to a backend server
	// in a path check. A dial that loses one packet is not waited for.
	reachTimeout = 200 * time.Millisecond
	// checkTimeout bounds the question to the instance.
	checkTimeout = reachTimeout + 200*time.Millisecond
)

// Reach implements peerpb.DRPCCoordinationServer.
func (s *service) Reach(ctx context.Context, r *peerpb.ReachRequest) (*peerpb.ReachReply, error) {
	return &peerpb.ReachReply{Reached: s.fleet.reach(ctx, r.Address)}, nil
}

func (f *Fleet) reach(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return f.opts.Sender.Reach(ctx, address)
}

// checkPaths asks instances to connect to a backend server and hands the result
// to the dispatcher.
func (c *coordinator) checkPaths(ctx context.Context, check dispatch.PathCheck) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var mu sync.Mutex
	var reached, lost []string
	var wg sync.WaitGroup
	for _, via := range check.Via {
		wg.Go(func() {
			ok, err := c.fleet.askReach(ctx, via, check.Address)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
			case ok:
				reached = append(reached, via)
			default:
				lost = append(lost, via)
			}
		})
	}
	wg.Wait()
	log.WithFields(log.Fields{"event": "paths_checked", "server": check.Server, "reached": reached, "lost": lost}).Info("paths to a backend server checked")
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.deliver(c.dispatch.PathsChecked(time.Now(), check, reached, lost))
	}
}

// askReach asks an instance whether it reaches a backend server. The error says
// that the instance itself did not answer.
func (f *Fleet) askReach(ctx context.Context, via, address string) (bool, error) {
	if via == f.opts.Self.Address {
		return f.reach(ctx, address), nil
	}
	reply, err := peerpb.NewDRPCCoordinationClient(f.pool.get(ctx, via)).Reach(ctx, &peerpb.ReachRequest{Address: address})
	if err != nil {
		return false, err
	}
	return reply.Reached, nil
}
