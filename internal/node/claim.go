package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/board"
	"trefoilstream.example/trefoilstream/internal/claim"
	"trefoilstream.example/trefoilstream/internal/entry"
	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

const (
	// claimMemory bounds the memory of the claims, in bytes. It is a quarter of
	// the 256 MB of a small instance.
	claimMemory = 64 << 20
	// claimWait is how long the entry instance retries a claim that no owner
	// accepts. It covers a takeover (3.5 s) and the expiry of a dead replica's
	// sync lease (5 s).
	claimWait = 6 * time.Second
	// claimRetryDelay is the pause between these retries.
	claimRetryDelay = 50 * time.Millisecond
	// claimTimeout bounds one call for a claim, copyTimeout one call that copies
	// claims to a replica or reads them from it.
	claimTimeout = time.Second
	copyTimeout  = 300 * time.Millisecond
	// replicaFailedFor is how long a replica that did not respond is skipped,
	// replicaLeavingFor how long one that is shutting down.
	replicaFailedFor  = 2 * time.Second
	replicaLeavingFor = 30 * time.Second
	// claimRenewalInterval is the interval at which owners renew the sync leases
	// of their replicas.
	claimRenewalInterval = 500 * time.Millisecond
	// Each renewal scans some buckets for those that this instance has become
	// owner of. A scan ranks about scanMembers members in total, but covers at
	// least minScannedBuckets and at most maxScannedBuckets buckets, so that the
	// cost does not grow with the fleet.
	scanMembers       = 100_000
	minScannedBuckets = 32
	maxScannedBuckets = 2048
	// maxParallelRecoveries bounds the buckets recovered concurrently.
	maxParallelRecoveries = 16
	// recoveryPeers is how many ranked members a new owner asks for its
	// predecessor's claims, recoveryTimeout how long it retries.
	recoveryPeers   = 6
	recoveryTimeout = 1500 * time.Millisecond
)

// claims keeps the claims on idempotency keys, partitioned into buckets. An
// instance acts as entry (begins and settles claims for callers), as owner of
// some buckets (grants claims and copies them to replicas) and as replica of
// others. A replica has every claim of a bucket while it holds a sync lease,
// which the owner renews (see package claim). claims implements entry.Claims and
// the drpc service Claims.
type claims struct {
	rights rights.View
	peers  *peer.Pool
	state  *board.InstanceState

	mu        sync.Mutex
	table     *claim.Table
	skipUntil map[string]time.Time
	// owned holds the buckets that this instance serves as owner, with the time
	// at which the recovery of earlier claims began.
	owned map[string]time.Time
	// nextScanned is the next bucket to scan; used by run only.
	nextScanned int
	// nextWanted is the next bucket to request if it is not held.
	nextWanted int
	// handovers holds bucket state received from predecessors for tenures that
	// have not begun.
	handovers map[string]bucketHandover
}

func newClaims(v rights.View, p *peer.Pool, b *board.InstanceState) *claims {
	var boot [8]byte
	_, _ = rand.Read(boot[:])
	return &claims{rights: v, peers: p, state: b, skipUntil: make(map[string]time.Time), owned: make(map[string]time.Time), handovers: make(map[string]bucketHandover),
		table: claim.NewTable(v.Self().ID, claimMemory, binary.LittleEndian.Uint64(boot[:])|1, time.Now())}
}

// Begin implements entry.Claims. It retries while no owner accepts the claim,
// because an owner that died is replaced within seconds.
func (s *claims) Begin(ctx context.Context, c entry.Claim) (string, *entry.RecordedResponse, error) {
	key, ok := claim.ParseKey(c.Key)
	if !ok {
		return "", nil, errkind.Errorf(errkind.IdempotencyKeyInvalid, "malformed Idempotency-Key")
	}
	hash := claim.HashClaim(c.Team, c.Service, c.Key)
	var execution claim.Execution
	_, _ = rand.Read(execution[:])
	in := &peerpb.ClaimRequest{Hash: hash[:], Digest: c.Digest, Execution: execution[:]}
	if len(in.Digest) > len(hash) {
		in.Digest = in.Digest[:len(hash)]
	}
	if key.Timed {
		in.IssuedMs = key.Issued.UnixMilli()
	}
	wait, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	var last error
	for {
		in.DeadlineMs = uint64(max(0, time.Until(c.Deadline).Milliseconds()))
		out, err := s.claimOnce(wait, hash, in)
		if err == nil && out.Result != peerpb.ClaimReply_UNAVAILABLE {
			return s.claimResult(hex.EncodeToString(execution[:]), out)
		}
		if err != nil {
			last = err
		}
		select {
		case <-wait.Done():
			if last != nil {
				// The owner may have granted a claim whose reply was lost.
				go s.Settle(context.WithoutCancel(ctx), c, hex.EncodeToString(execution[:]), entry.SettleNotRun, nil)
			}
			return "", nil, errkind.Errorf(errkind.ClaimUnavailable, "no owner accepted the claim: %w", wait.Err())
		case <-time.After(claimRetryDelay):
		}
	}
}

func (s *claims) claimOnce(ctx context.Context, hash claim.Hash, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner, ok := s.rights.Holder(rights.ClaimKey(hash.Bucket()), roster.Scope{})
	switch {
	case !ok:
		return &peerpb.ClaimReply{}, nil
	case owner.ID == s.rights.Self().ID:
		return s.Claim(ctx, in)
	}
	return peerpb.NewDRPCClaimsClient(s.peers.Conn(ctx, owner.PeerAddress)).Claim(ctx, in)
}

// claimResult translates a final reply to a claim.
func (s *claims) claimResult(execution string, out *peerpb.ClaimReply) (string, *entry.RecordedResponse, error) {
	kind := errkind.ResultUnknown
	switch out.Result {
	case peerpb.ClaimReply_GRANTED:
		return execution, nil, nil
	case peerpb.ClaimReply_RECORDED:
		a := out.Answer
		r := &entry.RecordedResponse{Status: int(a.GetStatus()), Header: make(http.Header), Body: a.GetBody()}
		for _, h := range a.GetHeaders() {
			r.Header.Add(h.Name, h.Value)
		}
		return "", r, nil
	case peerpb.ClaimReply_IN_PROGRESS:
		kind = errkind.InProgress
	case peerpb.ClaimReply_REUSED:
		kind = errkind.IdempotencyKeyReused
	case peerpb.ClaimReply_EXPIRED:
		kind = errkind.IdempotencyKeyExpired
	case peerpb.ClaimReply_INVALID:
		kind = errkind.IdempotencyKeyInvalid
	case peerpb.ClaimReply_NOT_KEPT:
		kind = errkind.ResultNotKept
	}
	return "", nil, errkind.Errorf(kind, "claim request returned %s", out.Result)
}

// Settle implements entry.Claims. It retries until the owner confirms the
// settlement or the time limit passes. A claim that is never settled becomes
// unknown.
func (s *claims) Settle(ctx context.Context, c entry.Claim, execution string, outcome entry.Settlement, response *entry.RecordedResponse) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	hash := claim.HashClaim(c.Team, c.Service, c.Key)
	id, err := hex.DecodeString(execution)
	if err != nil {
		return
	}
	in := &peerpb.SettleRequest{Hash: hash[:], Execution: id, Outcome: peerpb.SettleRequest_Outcome(outcome)}
	if response != nil {
		in.Answer = &peerpb.RecordedAnswer{Status: int32(response.Status), Body: response.Body}
		for name, values := range response.Header {
			for _, v := range values {
				in.Answer.Headers = append(in.Answer.Headers, &peerpb.Header{Name: name, Value: v})
			}
		}
	}
	for ctx.Err() == nil {
		if s.settleOnce(ctx, hash, in) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(claimRetryDelay):
		}
	}
}

func (s *claims) settleOnce(ctx context.Context, hash claim.Hash, in *peerpb.SettleRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	owner, ok := s.rights.Holder(rights.ClaimKey(hash.Bucket()), roster.Scope{})
	if !ok {
		return false
	}
	var out *peerpb.SettleReply
	var err error
	if owner.ID == s.rights.Self().ID {
		out, err = s.settle(ctx, in)
	} else {
		out, err = peerpb.NewDRPCClaimsClient(s.peers.Conn(ctx, owner.PeerAddress)).Settle(ctx, in)
	}
	return err == nil && out.Held
}
