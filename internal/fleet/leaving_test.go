package fleet

import (
	"context"
	"testing"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// Guards against a server that a change of coordinator makes usable again after it has said
// that it leaves. The instance that it told tells the successor; if that was the coordinator
// itself, which is lost, the successor has to know from before.
func TestSuccessorKnowsTheLeavingServers(t *testing.T) {
	for name, told := range map[string]func(coordinator int) int{
		"a member was told":        func(coordinator int) int { return (coordinator + 1) % 4 },
		"the coordinator was told": func(coordinator int) int { return coordinator },
	} {
		t.Run(name, func(t *testing.T) { testSuccessorKnowsTheLeavingServers(t, told) })
	}
}

func testSuccessorKnowsTheLeavingServers(t *testing.T, told func(coordinator int) int) {
	fleet := newTestFleet(t, 4)
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	coordinator := fleet.coordinators(-1)[0]
	sending := fleet.instances[told(coordinator)]
	eventually(t, "the members hold the servers", func() bool { return len(fleet.instancesWithServers(coordinator)) == 3 })
	j := &sender.Job{Server: "s0"}
	r := dialect.ServerResponse{Leaving: true}
	sending.opts.Sender.NoteLeaving(j, r)
	sending.member.noteResponse(j, r)
	if o, _ := sending.Send(context.Background(), &Permit{Server: "s0"}, &sender.Job{}, nil); o != dispatch.Leaving {
		t.Errorf("a permit granted before: %s, want leaving", o)
	}
	leaves := func(f *Fleet) bool {
		f.mu.Lock()
		c := f.coordinator
		f.mu.Unlock()
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.dispatcher.LeavingServers()) == 1
	}
	eventually(t, "the coordinator knows", func() bool { return leaves(fleet.instances[coordinator]) })
	for i, f := range fleet.instances {
		eventually(t, "each instance knows", func() bool { return i == coordinator || f.opts.Sender.IsLeaving(j) })
	}
	fleet.stops[coordinator]()
	eventually(t, "a successor", func() bool { return fleet.ready(coordinator) })
	if !leaves(fleet.instances[fleet.coordinators(coordinator)[0]]) {
		t.Error("the successor does not know")
	}
}
