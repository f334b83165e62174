// Package fleet connects the instances of the proxy fleet. One of them, the
// coordinator, reads the configuration and the directory of backend servers from
// the platform's store and grants permits to send requests. The others attach to
// it as members, request permits from it and replicate its state.
package fleet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"trefoilstream.example/trefoilstream/internal/catalog"
	"trefoilstream.example/trefoilstream/internal/delivery"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/election"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/presence"
	"trefoilstream.example/trefoilstream/internal/sender"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

// Peer is an instance of the fleet, identified by its address.
type Peer = election.Peer

// StoreCall is one call to the platform's store.
type StoreCall struct {
	Method string
	// Path holds path and query.
	Path string
	Body []byte
	// Wait is how long the store may hold the response open (long poll).
	Wait time.Duration
}

// StoreAnswer is the store's response to a call.
type StoreAnswer struct {
	Status int
	Body   []byte
	// Era rises by one each time the store comes back from an older copy of itself, in
	// which its last records are missing; 0 if the store does not name it.
	Era uint64
}

// StoreCaller makes calls to the store, directly or relayed by another instance.
type StoreCaller interface {
	Call(ctx context.Context, call StoreCall) (StoreAnswer, error)
}

// CoordinatorRecords are what coordinators have written about themselves to the store.
type CoordinatorRecords struct {
	// Claimed is the record of the instance that last claimed the role, or nil.
	Claimed *CoordinatorRecord
	// Partial are the newest records of coordinators that instances were missing from, one
	// for each address.
	Partial []CoordinatorRecord
}

// CoordinatorRecord names an instance that has claimed the role of coordinator in the store,
// so that starting instances find it, or one that coordinates a part of the fleet.
type CoordinatorRecord struct {
	Peer
	// ClaimedMS is when the record was written, in Unix milliseconds of the
	// coordinator's clock. Clocks differ between instances, so it only decides
	// how long a reader waits for the coordinator to reply.
	ClaimedMS int64 `json:"claimed_ms"`
	// Members is how many members the coordinator had.
	Members int `json:"members,omitempty"`
	// Successors are the addresses of the members that would take over first, so that
	// starting instances find the successor of a coordinator that was lost.
	Successors []string `json:"successors,omitempty"`
}

// RetryRecord is what a coordinator counted of the retries, so that its successors stay
// within the retry budgets and do not repeat what brings servers down.
type RetryRecord struct {
	// Address is that of the coordinator.
	Address string `json:"address"`
	// WrittenMS is when the record was made, in Unix milliseconds of the coordinator's
	// clock.
	WrittenMS int64               `json:"written_ms"`
	Services  []dispatch.RetryUse `json:"services"`
	// Crashes counts the requests that bring servers down.
	Crashes []dispatch.CrashCount `json:"crashes,omitempty"`
}

// Position is where the next read of a topic of the store starts. Offsets of another era
// say nothing: they are given out again.
type Position struct {
	Era uint64
	// Offset is negative if everything is to be read.
	Offset int64
}

// Everything is the position of a reader that has read nothing.
var Everything = Position{Offset: -1}

// Source reads operator changes and the directory of backend servers from the
// store, and keeps the records of coordinators there. Operator and Servers also return
// the position for the next read. A response of an earlier era than that of the position
// is an error.
type Source interface {
	// Operator returns changes made by operators, waiting up to wait for one.
	Operator(ctx context.Context, call StoreCaller, from Position, wait time.Duration) ([]catalog.Change, Position, error)
	// Servers returns changes of the directory of backend servers.
	Servers(ctx context.Context, call StoreCaller, from Position) ([]catalog.Change, Position, error)
	// Coordinators returns the records of coordinators and the end of their topic.
	Coordinators(ctx context.Context, call StoreCaller) (CoordinatorRecords, Position, error)
	// AwaitCoordinators waits up to wait until the records' topic no longer ends at a
	// position.
	AwaitCoordinators(ctx context.Context, call StoreCaller, end Position, wait time.Duration) error
	// Claim writes a coordinator record if the topic still ends at offset at,
	// or unconditionally if at is negative. It reports whether it was written.
	Claim(ctx context.Context, call StoreCaller, r CoordinatorRecord, at int64) (bool, error)
	// RecordPartial writes the record of a coordinator that instances are missing from.
	RecordPartial(ctx context.Context, call StoreCaller, r CoordinatorRecord) error
	// Retries returns the retry records of all coordinators.
	Retries(ctx context.Context, call StoreCaller) ([]RetryRecord, error)
	// RecordRetries replaces the retry record of a coordinator.
	RecordRetries(ctx context.Context, call StoreCaller, r RetryRecord) error
}

// Options configure an instance.
type Options struct {
	Self Peer
	// Seeds are the addresses of instances to ask for the coordinator at start.
	Seeds []string
	// FirstStart is true only for the first start of the whole fleet.
	FirstStart bool
	Bounds     dispatch.Bounds
	Policy     dispatch.Policy
	Source     Source
	Store      StoreCaller
	Sender     *sender.Sender
	// Memory bounds what is held for callers, also for those of other instances; nil does not.
	Memory *memory.Account
	// Dial connects to other instances; nil uses TCP.
	Dial DialFunc
}

// Fleet is this instance's side of the coordination protocol, both as a member
// and, when elected, as the coordinator.
type Fleet struct {
	opts      Options
	replica   *replica
	member    *Member
	peerConns *connPool
	// relayedRequests counts the in-flight requests sent for other instances.
	relayedRequests atomic.Int64

	mu sync.Mutex
	// coordinator is set while this instance is the coordinator.
	coordinator *coordinator
	// followedCoordinator is the coordinator's address, or "" if there is none.
	followedCoordinator string
	// hasFollowed is set once a coordinator was followed.
	hasFollowed bool
	// memberCount is how many members the followed coordinator last had. Its roster is
	// longer: it also holds instances that it cannot reach.
	memberCount int
	// configReadAt is when the followed coordinator last read the operators' topic, as
	// far as this instance knows; zero if it does not.
	configReadAt time.Time
	// storeContactAt is when any coordinator is known to have last read the store; zero if
	// none is.
	storeContactAt time.Time
	leaving        bool
}

// New returns a Fleet that is not running yet.
func New(o Options) *Fleet {
	f := &Fleet{opts: o, replica: newReplica(), peerConns: newConnPool(o.Dial)}
	f.member = newMember(f)
	if o.Sender != nil {
		o.Sender.Observe(f.member.noteResponse)
	}
	return f
}

// Serve accepts RPCs from other instances until the context is done.
func (f *Fleet) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterCoordination(mux, &coordinationServer{fleet: f}); err != nil {
		return fmt.Errorf("register coordination: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Listen opens the listener for RPCs from other instances.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := sockopt.WatchedListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return delivery.Listener{Listener: l}, nil
}

// Index returns the configuration in force, or nil if none is known.
func (f *Fleet) Index() *catalog.Index { return f.replica.index.Load() }

// Ready reports whether requests can be served: a configuration is known, a
// coordinator is followed that is not isolated, and the instance is not stopping.
func (f *Fleet) Ready() bool {
	f.mu.Lock()
	c, ready := f.coordinator, f.followedCoordinator != "" && !f.leaving && f.Index() != nil
	members := f.memberCount
	f.mu.Unlock()
	switch {
	case !ready:
		return false
	case c != nil:
		return !c.isIsolated()
	}
	now := time.Now()
	return !presence.Unseen(now, members, len(f.replica.rosterWithout("")), f.lastStoreContact(now))
}

// Leave announces that this instance is stopping. A coordinator steps down.
func (f *Fleet) Leave() {
	f.mu.Lock()
	f.leaving = true
	coord := f.coordinator
	f.mu.Unlock()
	if coord != nil {
		coord.resign("stopping")
	}
	f.member.leave()
}

// Run keeps the instance attached to a coordinator, or coordinating, until the
// context is done.
func (f *Fleet) Run(ctx context.Context) {
	finder := &coordinatorFinder{fleet: f}
	for ctx.Err() == nil {
		address, takeOver := finder.find(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case takeOver:
			f.runCoordinator(ctx)
			finder.markLost(f.opts.Self.Address)
		default:
			if err := f.attach(ctx, address); err != nil {
				log.WithFields(log.Fields{"event": "coordinator_lost", "coordinator": address}).WithError(err).Info("coordinator lost")
				finder.markLost(address)
			}
		}
	}
}

func (f *Fleet) setFollowedCoordinator(address string) {
	f.mu.Lock()
	f.followedCoordinator = address
	f.hasFollowed = f.hasFollowed || address != ""
	f.mu.Unlock()
}

func (f *Fleet) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

// electing reports whether this instance has lost its coordinator and may succeed it. The
// caller holds mu.
func (f *Fleet) electing() bool { return f.hasFollowed && f.followedCoordinator == "" && !f.leaving }

// hasFollowedOne reports whether this instance has ever followed a coordinator, or been one.
func (f *Fleet) hasFollowedOne() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hasFollowed
}

func (f *Fleet) isElecting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.electing()
}

// currentCoordinator returns the coordinator that this instance follows.
func (f *Fleet) currentCoordinator() *peerpb.WhoReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.coordinator != nil {
		return &peerpb.WhoReply{Coordinator: peerToProto(f.opts.Self), Members: uint32(f.coordinator.memberCount())}
	}
	if f.followedCoordinator == "" {
		return &peerpb.WhoReply{Electing: f.electing()}
	}
	return &peerpb.WhoReply{Coordinator: &peerpb.Peer{Address: f.followedCoordinator}, Members: uint32(f.memberCount)}
}

func peerToProto(p Peer) *peerpb.Peer {
	return &peerpb.Peer{Name: p.Name, Address: p.Address, Domain: p.Domain, Capacity: p.Capacity}
}

func peerFromProto(m *peerpb.Peer) Peer {
	return Peer{Name: m.GetName(), Address: m.GetAddress(), Domain: m.GetDomain(), Capacity: m.GetCapacity()}
}
