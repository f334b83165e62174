package node

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/lease"
	"trefoilstream.example/trefoilstream/internal/membership"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// targetMembers is the number of instances in a fleet of the target size.
const targetMembers = 2500

func targetRoster() *roster.Roster {
	stateMachine := roster.NewStateMachine(true)
	for i := range targetMembers {
		stateMachine.Apply(uint64(i+1), roster.Record{Kind: roster.Join, Member: roster.Member{
			ID: fmt.Sprintf("instance-%04d", i), Incarnation: 1_800_000_000_000, FailureDomain: fmt.Sprintf("domain-%02d", i%13),
			Region: fmt.Sprintf("region-%d", i%13/4), PeerAddress: "10.100.100.100:8081", AdminAddress: "10.100.100.100:8082",
		}})
	}
	return stateMachine.Roster()
}

// BenchmarkRenewal measures one lease renewal without the network: both messages
// are encoded and decoded and both state machines run. It reports the encoded
// size of request and reply without framing.
func BenchmarkRenewal(b *testing.B) {
	r := targetRoster()
	now := time.Now()
	agents := make(map[string]*membership.Agent)
	agent := func(m roster.Member) *membership.Agent {
		if agents[m.ID] == nil {
			agents[m.ID] = membership.New(now.Add(-time.Minute), membership.Config{Self: m, Witnesses: 5})
			agents[m.ID].Apply(now, r)
		}
		return agents[m.ID]
	}
	m, _ := r.Get("instance-0000")
	self := agent(m)
	var w roster.Member
	for _, req := range self.Tick(now) {
		if req.Renew != nil {
			w = req.To
		}
	}
	witness := agent(w)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		req := membership.Request{From: m.Ref(), To: w, SentAt: now, Epoch: r.Epoch, Renew: &lease.RenewRequest{Member: m.Ref(), Epoch: r.Epoch, Witness: w.Ref()}}
		contact := &peerpb.Contact{Instance: m.ID, Incarnation: m.Incarnation, Epoch: r.Epoch, Offset: 1 << 24, LogAgeMs: 200, Revision: 1 << 20}
		out, _ := proto.Marshal(&peerpb.RenewRequest{From: contact, Witness: w.ID, WitnessIncarnation: w.Incarnation})
		_ = proto.Unmarshal(out, &peerpb.RenewRequest{})
		reply, ok := witness.Handle(now, req)
		if !ok {
			b.Fatal("not answered")
		}
		back, _ := proto.Marshal(&peerpb.RenewReply{From: contact, Granted: reply.Renew.Granted})
		_ = proto.Unmarshal(back, &peerpb.RenewReply{})
		self.HandleReply(now, req, reply)
		size = len(out) + len(back)
	}
	b.ReportMetric(float64(size), "bytes/renewal")
}

// BenchmarkTick measures one tick of the state machine; an instance runs 20 per
// second.
func BenchmarkTick(b *testing.B) {
	r := targetRoster()
	now := time.Now()
	m, _ := r.Get("instance-0000")
	self := membership.New(now, membership.Config{Self: m, Witnesses: 5})
	self.Apply(now, r)
	for b.Loop() {
		now = now.Add(memberTick)
		self.Tick(now)
	}
}

// BenchmarkApply measures one roster change at one instance, and the heap per
// member. At the target size there is about one change per second.
func BenchmarkApply(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := targetRoster()
	now := time.Now()
	m, _ := r.Get("instance-0000")
	self := membership.New(now, membership.Config{Self: m, Witnesses: 5})
	stateMachine := roster.Resume(r)
	self.Apply(now, r)
	runtime.GC()
	runtime.ReadMemStats(&after)
	epoch := r.Epoch
	for b.Loop() {
		epoch++
		stateMachine.Apply(epoch, roster.Record{Kind: roster.Drain, Member: roster.Member{ID: fmt.Sprintf("instance-%04d", epoch%targetMembers), Incarnation: 1_800_000_000_000}})
		self.Apply(now, stateMachine.Roster())
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targetMembers, "heap-bytes/member")
	runtime.KeepAlive(self)
	runtime.KeepAlive(stateMachine)
}
