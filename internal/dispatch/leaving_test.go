package dispatch

import (
	"testing"

	"trefoilstream.example/trefoilstream/internal/catalog"
)

// Guards against a server that gets requests after it has said that it leaves, though the
// directory still says that it is ready, and against holding its next incarnation to that.
func TestServerThatSaysItLeavesGetsNothing(t *testing.T) {
	for name, tell := range map[string]func(f *fixture){
		"told by a member": func(f *fixture) { f.d.SetServerLeaving(LeavingServer{Server: "s00"}) },
		"told by an outcome": func(f *fixture) {
			for f.d.servers["s00"].running == 0 {
				f.permit("look")
			}
			for n, p := range f.d.permits {
				if p.server == "s00" {
					f.d.Done(f.now, Report{Permit: n, Outcome: Leaving})
				}
			}
		},
	} {
		f := newFixture(t, 2)
		before := f.d.servers["s00"].failureProbability(f.now)
		tell(f)
		if l := f.d.NewlyLeaving(); len(l) != 1 || l[0].Server != "s00" {
			t.Errorf("%s: newly leaving %v, want s00", name, l)
		}
		f.server(0, func(s *catalog.Server) { s.Sequence++ })
		if f.d.usable(f.now, f.d.servers["s00"]) {
			t.Errorf("%s: it is used", name)
		}
		if p := f.d.servers["s00"].failureProbability(f.now); p > before {
			t.Errorf("%s: it counts as failing, probability %g", name, p)
		}
		f.server(0, func(s *catalog.Server) { s.Incarnation = 2 })
		if !f.d.usable(f.now, f.d.servers["s00"]) {
			t.Errorf("%s: its next incarnation is not used", name)
		}
	}
}

// Guards against a coordinator that forgets what members tell it of a server before it has
// read the directory.
func TestServerIsKnownToLeaveBeforeTheDirectoryNamesIt(t *testing.T) {
	f := newFixture(t, 2)
	f.d.RemoveServer("s00")
	f.d.SetServerLeaving(LeavingServer{Server: "s00"})
	if l := f.d.LeavingServers(); len(l) != 0 {
		t.Errorf("%v, want no server that is not known", l)
	}
	f.server(0, func(*catalog.Server) {})
	if f.d.usable(f.now, f.d.servers["s00"]) {
		t.Error("the server is used")
	}
	if l := f.d.LeavingServers(); len(l) != 1 || l[0].Server != "s00" {
		t.Errorf("leaving servers %v, want s00", l)
	}
}

// Guards against a server that has started again and gets nothing, since an outcome of its
// earlier incarnation arrives late.
func TestLateOutcomeOfALeavingServerIsNotItsSuccessors(t *testing.T) {
	f := newFixture(t, 2)
	for f.d.servers["s00"].running == 0 {
		f.permit("look")
	}
	f.server(0, func(s *catalog.Server) { s.Incarnation = 2 })
	for n, p := range f.d.permits {
		if p.server == "s00" {
			f.d.Done(f.now, Report{Permit: n, Outcome: Leaving})
		}
	}
	if !f.d.usable(f.now, f.d.servers["s00"]) {
		t.Error("the next incarnation is not used")
	}
}
