package fleet

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// FuzzApply guards against state messages from other instances that crash a member
// or put an older configuration in force.
func FuzzApply(f *testing.F) {
	encoded, err := encodeConfig(testConfig(9))
	if err != nil {
		f.Fatal(err)
	}
	for _, s := range []*peerpb.FleetState{
		{},
		{Complete: true, Config: encoded, HasRoster: true, Roster: []*peerpb.Peer{{Address: "x:1"}}},
		{Config: encoded[:len(encoded)/2]},
		{Servers: []*peerpb.ServerEntry{{Id: "s", Slots: 1 << 31, ColdMs: 1 << 31}}, Gone: []string{"s"}},
		{ReplaceServers: true, RosterGone: []string{"x:1"}, Suspicions: []*peerpb.Suspicion{{Server: "s", Probability: 2}}},
	} {
		raw, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s peerpb.FleetState
		if proto.Unmarshal(raw, &s) != nil {
			return
		}
		r := newReplica()
		r.setConfig(testConfig(5))
		if err := r.apply(&s, time.Now()); err != nil {
			return
		}
		if v := r.index.Load().Config.Version; v < 5 {
			t.Errorf("version %d replaced version 5", v)
		}
	})
}
