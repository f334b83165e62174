package node

import (
	"context"
	"maps"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/logservice"
)

// listPollInterval is the time between two reads of the instance list. A
// leaving backend server must get no new requests after a few seconds.
const listPollInterval = time.Second

// followInstances polls the platform's instance list for leaving backend
// servers. While the list can't be read, the last known set stays in force.
func (n *Node) followInstances(ctx context.Context) error {
	if n.instanceList == nil {
		return nil
	}
	known := map[string]bool{}
	for ctx.Err() == nil {
		if leaving, err := n.leavingServers(ctx); err == nil && !maps.Equal(known, leaving) {
			known = leaving
			n.state.SetLeaving(leaving)
			log.WithFields(log.Fields{"event": "leaving_servers_changed", "servers": leaving}).Info("set of leaving backend servers changed")
		}
		sleep(ctx, listPollInterval)
	}
	return ctx.Err()
}

func (n *Node) leavingServers(ctx context.Context) (map[string]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*listPollInterval)
	defer cancel()
	list, err := n.instanceList.Instances(ctx)
	if err != nil {
		return nil, err
	}
	n.members.absences.observe(time.Now(), list)
	leaving := map[string]bool{}
	for _, inst := range list {
		if inst.Kind == logservice.KindBackend && inst.State == logservice.StateLeaving {
			leaving[inst.ID] = true
		}
	}
	return leaving, nil
}
