package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/claim"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// claimService implements the drpc service Claims, whose Settle has a different
// signature from that of entry.Claims.
type claimService struct{ *claims }

// Settle implements peerpb.DRPCClaimsServer.
func (s claimService) Settle(ctx context.Context, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return s.settle(ctx, in)
}

// tenure reports whether this instance is the owner of a bucket and since
// when.
func (s *claims) tenure(bucket string) (rights.Tenure, bool) {
	return s.rights.Tenure(time.Now(), rights.ClaimKey(bucket), roster.Scope{})
}

// Claim implements peerpb.DRPCClaimsServer at the owner.
func (s *claims) Claim(ctx context.Context, in *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	q := claim.Request{Hash: toHash(in.Hash), Digest: toHash(in.Digest), Execution: claim.Execution(toHash(in.Execution)),
		Deadline: time.Duration(in.DeadlineMs) * time.Millisecond}
	if in.IssuedMs != 0 {
		q.Key = claim.Key{Timed: true, Issued: time.UnixMilli(in.IssuedMs)}
	}
	bucket := q.Hash.Bucket()
	tenure, ok := s.tenure(bucket)
	if !ok || !s.prepare(ctx, bucket, tenure) {
		return &peerpb.ClaimReply{}, nil
	}
	s.mu.Lock()
	result, record, response := s.table.Begin(time.Now(), q)
	s.mu.Unlock()
	if result == claim.ResultGranted && !s.grant(ctx, bucket, tenure, record) {
		result = claim.ResultUnavailable
	}
	return &peerpb.ClaimReply{Result: peerpb.ClaimReply_Result(result), Answer: encodeResponse(response)}, nil
}

// grant copies a claim to its replicas and confirms it if this instance is
// still the owner, in the same tenure, after the last copy.
func (s *claims) grant(ctx context.Context, bucket string, tenure rights.Tenure, r claim.Record) bool {
	acked, alone := s.replicate(ctx, bucket, []claim.Record{r})
	current, ok := s.tenure(bucket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok && current.Since.Equal(tenure.Since) && (alone || len(acked) > 0) &&
		s.table.Confirm(time.Now(), r.Hash, r.Execution, tenure.Since, acked) {
		return true
	}
	s.table.Withdraw(r.Hash, r.Execution)
	return false
}

// replicate sends records to the replicas of a bucket and returns the replicas
// that stored them. A replica that is not required and does not respond is
// replaced by the next candidate. alone is set if no other member is active.
func (s *claims) replicate(ctx context.Context, bucket string, records []claim.Record) (acked []string, alone bool) {
	const candidates = 3
	for range candidates {
		s.mu.Lock()
		list, single := s.candidates(bucket)
		plans := s.table.PlanCopies(time.Now(), bucket, list, records)
		s.mu.Unlock()
		plans = slices.DeleteFunc(plans, func(p claim.CopyPlan) bool { return slices.Contains(acked, p.Replica) })
		replaced := false
		for i, ok := range s.sendPlans(ctx, plans) {
			if ok {
				acked = append(acked, plans[i].Replica)
			} else {
				replaced = replaced || !plans[i].Required
			}
		}
		alone = single
		if !replaced {
			break
		}
	}
	return acked, alone
}

// candidates returns the members that may be replicas of a bucket, without those
// that are skipped after a failure, and whether no other member is active. The
// caller holds mu.
func (s *claims) candidates(bucket string) ([]string, bool) {
	now := time.Now()
	return claim.Candidates(s.rights.Self(), s.rights.Rank(rights.ClaimKey(bucket), roster.Scope{}), func(id string) bool {
		return now.Before(s.skipUntil[id])
	})
}

// sendPlans carries out the plans, concurrently for each replica, and reports
// which of them were stored.
func (s *claims) sendPlans(ctx context.Context, plans []claim.CopyPlan) []bool {
	stored := make([]bool, len(plans))
	byReplica := make(map[string][]int)
	for i, p := range plans {
		byReplica[p.Replica] = append(byReplica[p.Replica], i)
	}
	var wg sync.WaitGroup
	for replica, indexes := range byReplica {
		wg.Go(func() {
			for _, i := range s.sendToReplica(ctx, replica, plans, indexes) {
				stored[i] = true
			}
		})
	}
	wg.Wait()
	return stored
}

// sendToReplica returns the indexes of the plans that the replica stored.
func (s *claims) sendToReplica(ctx context.Context, replica string, plans []claim.CopyPlan, indexes []int) []int {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	failed, stamps := make(map[int]bool), make(map[int]claim.Stamp)
	leaving := false
	for _, message := range packCopies(plans, indexes) {
		out, err := s.copyTo(ctx, replica, message.copies)
		leaving = leaving || out.GetLeaving()
		for j, i := range message.plans {
			failed[i] = failed[i] || err != nil || len(out.Stored) <= j || !out.Stored[j]
			stamps[i] = claim.Stamp{Boot: out.GetStamp().GetBoot(), Since: time.Duration(out.GetStamp().GetSinceNs())}
		}
	}
	var stored []int
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range indexes {
		s.table.HandleCopyReply(plans[i], stamps[i], !failed[i])
		if failed[i] {
			s.skipUntil[replica] = time.Now().Add(replicaFailedFor)
		} else {
			stored = append(stored, i)
		}
	}
	if leaving {
		s.skipUntil[replica] = time.Now().Add(replicaLeavingFor)
	}
	return stored
}

func (s *claims) copyTo(ctx context.Context, replica string, copies []*peerpb.BucketCopy) (*peerpb.CopyReply, error) {
	m, ok := s.state.Roster().Get(replica)
	if !ok {
		return nil, errUnknownReplica
	}
	return peerpb.NewDRPCClaimsClient(s.peers.Conn(ctx, m.PeerAddress)).Copy(ctx, &peerpb.CopyRequest{Copies: copies})
}

// prepare makes the bucket ready to serve for the tenure and reports whether it
// is. A new owner first recovers its predecessors' claims from the members
// ranked next.
func (s *claims) prepare(ctx context.Context, bucket string, tenure rights.Tenure) bool {
	s.mu.Lock()
	ready := s.table.BeginTenure(bucket, tenure.Since, tenure.Founding)
	began, known := s.owned[bucket]
	if !known || began.Before(tenure.Since) {
		began = time.Now()
		s.owned[bucket] = began
	}
	if !ready {
		s.applyHandover(bucket, tenure)
		ready = s.table.BeginTenure(bucket, tenure.Since, tenure.Founding)
	}
	s.mu.Unlock()
	if ready {
		return true
	}
	complete := s.recoverClaims(ctx, bucket)
	s.mu.Lock()
	defer s.mu.Unlock()
	ready = s.table.BeginTenure(bucket, tenure.Since, tenure.Founding)
	if !ready && (complete || time.Since(began) > recoveryTimeout) {
		s.table.StopRecovery(bucket)
		ready = true
	}
	return ready
}

// recoverClaims asks the next ranked members for the state of a bucket and
// reports whether all responded.
func (s *claims) recoverClaims(ctx context.Context, bucket string) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	self := s.rights.Self()
	ranked := s.rights.Rank(rights.ClaimKey(bucket), roster.Scope{})
	ranked = slices.DeleteFunc(ranked, func(m roster.Member) bool { return m.ID == self.ID })
	responded := make([]bool, min(recoveryPeers, len(ranked)))
	var wg sync.WaitGroup
	for i := range responded {
		wg.Go(func() {
			askedAt := time.Now()
			out, err := peerpb.NewDRPCClaimsClient(s.peers.Conn(ctx, ranked[i].PeerAddress)).Share(ctx, &peerpb.ShareRequest{Bucket: bucket})
			if responded[i] = err == nil; err != nil || !out.Marked {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.table.AcceptState(time.Now(), askedAt, bucket, ranked[i].ID, decodeShare(out))
		})
	}
	wg.Wait()
	return !slices.Contains(responded, false)
}

// settle records the outcome of a claim at its owner and copies it to the
// replicas.
func (s *claims) settle(ctx context.Context, in *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	h := toHash(in.Hash)
	bucket := h.Bucket()
	tenure, ok := s.tenure(bucket)
	if !ok || !s.prepare(ctx, bucket, tenure) {
		return &peerpb.SettleReply{}, nil
	}
	s.mu.Lock()
	record, ok := s.table.Settle(time.Now(), h, claim.Execution(toHash(in.Execution)), claim.Outcome(in.Outcome), decodeResponse(in.Answer))
	s.mu.Unlock()
	if ok {
		s.replicate(ctx, bucket, []claim.Record{record})
	}
	return &peerpb.SettleReply{Held: ok}, nil
}

// Copy implements peerpb.DRPCClaimsServer at a replica.
func (s *claims) Copy(_ context.Context, in *peerpb.CopyRequest) (*peerpb.CopyReply, error) {
	out := &peerpb.CopyReply{Leaving: s.state.Stopping()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range in.Copies {
		if _, ok := s.tenure(c.Bucket); !ok {
			// This instance is not, or is no longer, the owner.
			s.table.Release(time.Now(), c.Bucket, false)
			delete(s.owned, c.Bucket)
		}
		stamp, ok := s.table.Store(time.Now(), decodeCopy(c))
		out.Stored = append(out.Stored, ok)
		out.Stamp = &peerpb.HolderStamp{Boot: stamp.Boot, SinceNs: int64(stamp.Since)}
	}
	return out, nil
}

// Share implements peerpb.DRPCClaimsServer at a replica.
func (s *claims) Share(_ context.Context, in *peerpb.ShareRequest) (*peerpb.ShareReply, error) {
	s.mu.Lock()
	shared, ok := s.table.ExportState(time.Now(), in.Bucket)
	s.mu.Unlock()
	if !ok {
		return &peerpb.ShareReply{}, nil
	}
	return encodeShare(shared), nil
}

// run takes over buckets that this instance has become owner of, renews the
// sync leases of replicas, releases buckets whose tenure has ended and evicts
// claims whose retention has ended.
func (s *claims) run(ctx context.Context) error {
	ticker := time.NewTicker(claimRenewalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s.takeOverBuckets(ctx)
		s.renew(ctx)
		s.mu.Lock()
		s.table.Evict(time.Now())
		s.mu.Unlock()
	}
}

// takeOverBuckets scans the next buckets and prepares those that this instance
// has become owner of. A bucket without claims needs sync leases as well:
// otherwise the successor of its owner couldn't tell that no key was claimed.
func (s *claims) takeOverBuckets(ctx context.Context) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelRecoveries)
	for range s.bucketsPerScan() {
		bucket := claim.BucketName(s.nextScanned)
		s.nextScanned = (s.nextScanned + 1) % claim.Buckets
		tenure, ok := s.tenure(bucket)
		s.mu.Lock()
		began, known := s.owned[bucket]
		s.mu.Unlock()
		if !ok || known && !began.Before(tenure.Since) {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			s.prepare(ctx, bucket, tenure)
			<-slots
		})
	}
	wg.Wait()
}

func (s *claims) renew(ctx context.Context) {
	s.mu.Lock()
	var plans []claim.CopyPlan
	for bucket := range s.owned {
		tenure, ok := s.tenure(bucket)
		if !ok {
			s.table.Release(time.Now(), bucket, false)
			delete(s.owned, bucket)
			continue
		}
		if s.table.BeginTenure(bucket, tenure.Since, tenure.Founding) {
			list, _ := s.candidates(bucket)
			plans = append(plans, s.table.PlanCopies(time.Now(), bucket, list, nil)...)
		}
	}
	s.mu.Unlock()
	s.sendPlans(ctx, plans)
}

// renewBeforeStop renews all sync leases once more before this instance leaves,
// so that the next owners find complete copies.
func (s *claims) renewBeforeStop() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWait)
	defer cancel()
	s.renew(ctx)
}
