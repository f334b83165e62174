package instance

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"trefoilstream.example/trefoilstream/internal/fleet"
)

// gaugeInterval is the time between updates of the gauges.
const gaugeInterval = time.Second

// reportCoordination keeps the gauges of what this instance coordinates until the context is
// done: its share of the fleet, 0 to 1, and how many instances are missing. Both are 0 on
// instances that do not coordinate.
func reportCoordination(ctx context.Context, scope tally.Scope, status func() fleet.Coordination) {
	share, missing := scope.Gauge("coordinated_share"), scope.Gauge("missing_instances")
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		c := status()
		share.Update(c.Share)
		missing.Update(float64(c.Missing))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
