package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// releaseInterval is the time between two requests to release the same
	// right.
	releaseInterval = 250 * time.Millisecond
	// maxPredecessors is how many of the next ranked members are asked. One is
	// not enough, since it may itself have held the right only for a moment.
	maxPredecessors = 2
	// maxRightsPerMessage bounds the rights in one message.
	maxRightsPerMessage = 512
)

// Right is a right together with the scope that it is ranked in.
type Right struct {
	Key   string
	Scope roster.Scope
}

// RightKind hands over rights with a common key prefix together with their
// state. The functions must not call back into the node's membership.
type RightKind struct {
	// Prefix is the common prefix of the keys, for example "server/".
	Prefix string
	// Wanted returns the rights that this instance wants if it ranks first.
	Wanted func() []Right
	// Release returns the state of a right that this instance has held and no
	// longer exercises. It reports false if this instance never held the right.
	Release func(key string) ([]byte, bool)
	// Restore receives the predecessor's state before the right can be
	// exercised.
	Restore func(key string, state []byte)
}

// rightTransfers is the state of the handover of rights.
type rightTransfers struct {
	mu          sync.Mutex
	kinds       []RightKind
	requested   map[string]time.Time
	lastRequest time.Time
}

// RegisterRights adds a kind of right. It must be called before Run.
func (n *Node) RegisterRights(k RightKind) {
	n.members.transfers.mu.Lock()
	defer n.members.transfers.mu.Unlock()
	n.members.transfers.kinds = append(n.members.transfers.kinds, k)
}

// noteReleased records that a predecessor has released a right and transferred
// its state in a separate call.
func (m *members) noteReleased(key, instance string, incarnation uint64) {
	m.ledger().Release(time.Now(), key, roster.Ref{ID: instance, Incarnation: incarnation})
}

func (t *rightTransfers) kind(key string) (RightKind, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.kinds {
		if strings.HasPrefix(key, k.Prefix) {
			return k, true
		}
	}
	return RightKind{}, false
}

// due returns the kinds of rights if it is time to request rights again.
func (t *rightTransfers) due(now time.Time) []RightKind {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.lastRequest) < releaseInterval {
		return nil
	}
	t.lastRequest = now
	clear(t.requested)
	return t.kinds
}

// requestRights asks the predecessors to release the rights that this instance
// ranks first for and does not hold yet.
func (m *members) requestRights(ctx context.Context) {
	now := time.Now()
	ledger := m.ledger()
	wanted := make(map[roster.Ref][]*peerpb.WantedRight)
	members := make(map[roster.Ref]roster.Member)
	for _, k := range m.transfers.due(now) {
		for _, r := range k.Wanted() {
			if !ledger.Candidate(now, r.Key, r.Scope) {
				continue
			}
			for _, p := range ledger.Predecessors(r.Key, r.Scope, maxPredecessors) {
				if len(wanted[p.Ref()]) < maxRightsPerMessage {
					members[p.Ref()] = p
					wanted[p.Ref()] = append(wanted[p.Ref()], &peerpb.WantedRight{Key: r.Key, Region: r.Scope.Region, FailureDomain: r.Scope.FailureDomain})
				}
			}
		}
	}
	var calls sync.WaitGroup
	for ref, list := range wanted {
		calls.Go(func() { m.requestRelease(ctx, members[ref], list) })
	}
	calls.Wait()
}

func (m *members) requestRelease(ctx context.Context, p roster.Member, list []*peerpb.WantedRight) {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	m.mu.Lock()
	self := m.agent.Self().Ref()
	from := m.contact(self, m.agent.Roster().Epoch, nil)
	m.mu.Unlock()
	reply, err := peerpb.NewDRPCMembershipClient(m.node.peers.Conn(ctx, p.PeerAddress)).Release(ctx, &peerpb.ReleaseRequest{From: from, Rights: list})
	if err != nil || refOf(reply.From) != p.Ref() {
		return
	}
	for _, r := range reply.Rights {
		if k, ok := m.transfers.kind(r.Key); ok && m.ledger().Self().Ref() == self {
			k.Restore(r.Key, r.State)
			m.ledger().Release(time.Now(), r.Key, p.Ref())
		}
	}
}

// Release implements peerpb.DRPCMembershipServer. A right is released only to
// the member that is its holder in this instance's roster, and only while this
// instance's lease is valid, which rules out that another member has taken the
// right over.
func (s memberServer) Release(_ context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	reply := &peerpb.ReleaseReply{}
	ledger := s.ledger()
	for _, w := range in.Rights {
		scope := roster.Scope{Region: w.Region, FailureDomain: w.FailureDomain}
		holder, ok := ledger.Holder(w.Key, scope)
		if !ok || holder.Ref() != refOf(in.From) || !ledger.LeaseValid(time.Now()) {
			continue
		}
		if k, ok := s.transfers.kind(w.Key); ok {
			if state, held := k.Release(w.Key); held {
				reply.Rights = append(reply.Rights, &peerpb.ReleasedRight{Key: w.Key, State: state})
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.From = s.contact(s.agent.Self().Ref(), s.agent.Roster().Epoch, nil)
	return reply, nil
}
