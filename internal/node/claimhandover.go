package node

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/claim"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/rights"
	"trefoilstream.example/trefoilstream/internal/roster"
)

// bucketHandover is the state of a bucket received from its previous owner.
type bucketHandover struct {
	from       string
	receivedAt time.Time
	data       *peerpb.ShareReply
}

// rightKind hands claims over together with the rights to their buckets, after a
// roster change or at a planned shutdown. Without it a new owner has only the
// replicas' copies, and none if its predecessor served for less than two
// exchanges with its replicas.
func (s *claims) rightKind() RightKind {
	prefix := rights.ClaimKey("")
	return RightKind{
		Prefix:  prefix,
		Wanted:  s.wantedRights,
		Release: func(key string) ([]byte, bool) { return s.release(strings.TrimPrefix(key, prefix)) },
		Restore: func(key string, state []byte) { s.receiveHandover(strings.TrimPrefix(key, prefix), state) },
	}
}

// bucketsPerScan returns how many buckets are scanned at a time.
func (s *claims) bucketsPerScan() int {
	return max(minScannedBuckets, min(maxScannedBuckets, scanMembers/max(1, len(s.state.Roster().Active(roster.Scope{})))))
}

func (s *claims) wantedRights() []Right {
	n := s.bucketsPerScan()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Right, 0, n)
	for range n {
		bucket := claim.BucketName(s.nextWanted)
		s.nextWanted = (s.nextWanted + 1) % claim.Buckets
		if _, isOwner := s.owned[bucket]; !isOwner {
			list = append(list, Right{Key: rights.ClaimKey(bucket)})
		}
	}
	return list
}

// release ends this instance's tenure as owner of a bucket and returns the
// bucket's state. It reports false if this instance was not the owner.
func (s *claims) release(bucket string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isOwner := s.owned[bucket]; !isOwner {
		return nil, false
	}
	now := time.Now()
	s.table.Release(now, bucket, true)
	delete(s.owned, bucket)
	shared, ok := s.table.ExportState(now, bucket)
	if !ok {
		return nil, true
	}
	reply := encodeShare(shared)
	reply.Sender = s.rights.Self().ID
	data, err := proto.Marshal(reply)
	return data, err == nil
}

// receiveHandover keeps the received state until the tenure begins.
func (s *claims) receiveHandover(bucket string, state []byte) {
	in := &peerpb.ShareReply{}
	if proto.Unmarshal(state, in) != nil || !in.Marked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handovers[bucket] = bucketHandover{from: in.Sender, receivedAt: time.Now(), data: in}
}

// applyHandover merges the received state into the bucket at the start of the
// tenure. The sync lease is counted from the earliest time at which the
// predecessor can have sent the state.
func (s *claims) applyHandover(bucket string, tenure rights.Tenure) {
	h, ok := s.handovers[bucket]
	if !ok {
		return
	}
	delete(s.handovers, bucket)
	now := time.Now()
	shared := decodeShare(h.data)
	shared.Leases[h.from] = shared.LeaseRemaining
	shared.LeaseRemaining -= tenure.Since.Sub(h.receivedAt.Add(-memberTimeout))
	elapsed := now.Sub(h.receivedAt)
	for i := range shared.Records {
		shared.Records[i].Age += elapsed
		shared.Records[i].Deadline -= elapsed
	}
	shared.HistoryAge += elapsed
	s.table.AcceptState(now, tenure.Since, bucket, h.from, shared)
}
