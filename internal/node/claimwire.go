package node

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilstream.example/trefoilstream/internal/claim"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// maxMessageBytes bounds the claims in one message. drpc rejects messages above
// 4 MiB.
const maxMessageBytes = 2 << 20

var errUnknownReplica = errors.New("replica is not in the roster")

// toHash returns the first 16 bytes of b, or fewer padded with zeros.
func toHash(b []byte) (h claim.Hash) {
	copy(h[:], b)
	return h
}

func encodeResponse(r *claim.Response) *peerpb.RecordedAnswer {
	if r == nil {
		return nil
	}
	out := &peerpb.RecordedAnswer{Status: int32(r.Status), Body: r.Body}
	for _, h := range r.Headers {
		out.Headers = append(out.Headers, &peerpb.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

func decodeResponse(in *peerpb.RecordedAnswer) *claim.Response {
	if in == nil {
		return nil
	}
	r := &claim.Response{Status: int(in.Status), Body: in.Body}
	for _, h := range in.Headers {
		r.Headers = append(r.Headers, claim.Header{Name: h.Name, Value: h.Value})
	}
	return r
}

func encodeRecord(r claim.Record) *peerpb.ClaimRecord {
	return &peerpb.ClaimRecord{Hash: r.Hash[:], Digest: r.Digest[:], Execution: r.Execution[:], State: uint32(r.State),
		Version: r.Version, Answer: encodeResponse(r.Response), AgeNs: int64(r.Age), DeadlineNs: int64(r.Deadline)}
}

func decodeRecords(list []*peerpb.ClaimRecord) []claim.Record {
	records := make([]claim.Record, 0, len(list))
	for _, r := range list {
		records = append(records, claim.Record{Hash: toHash(r.Hash), Digest: toHash(r.Digest), Execution: claim.Execution(toHash(r.Execution)),
			State: claim.State(r.State), Version: r.Version, Response: decodeResponse(r.Answer),
			Age: time.Duration(r.AgeNs), Deadline: time.Duration(r.DeadlineNs)})
	}
	return records
}

func encodeSyncLeases(leases map[string]time.Duration) []*peerpb.HolderMark {
	list := make([]*peerpb.HolderMark, 0, len(leases))
	for id, remaining := range leases {
		list = append(list, &peerpb.HolderMark{Instance: id, RemainingNs: int64(remaining)})
	}
	return list
}

func decodeSyncLeases(list []*peerpb.HolderMark) map[string]time.Duration {
	leases := make(map[string]time.Duration, len(list))
	for _, m := range list {
		leases[m.Instance] = time.Duration(m.RemainingNs)
	}
	return leases
}

// encodeCopy splits a copy into parts. Only the last one renews the
// sync lease.
func encodeCopy(c claim.Copy) []*peerpb.BucketCopy {
	parts := []*peerpb.BucketCopy{{Bucket: c.Bucket}}
	size := 0
	for _, r := range c.Records {
		last := parts[len(parts)-1]
		if size > maxMessageBytes {
			last = &peerpb.BucketCopy{Bucket: c.Bucket}
			parts, size = append(parts, last), 0
		}
		last.Records = append(last.Records, encodeRecord(r))
		// 128 bytes are allowed for the fields other than the response body.
		size += 128
		if r.Response != nil {
			size += len(r.Response.Body)
		}
	}
	last := parts[len(parts)-1]
	last.Echo = &peerpb.HolderStamp{Boot: c.Echo.Boot, SinceNs: int64(c.Echo.Since)}
	last.KnownNs, last.Complete, last.Marks = int64(c.HistoryAge), c.Complete, encodeSyncLeases(c.Leases)
	return parts
}

// copyMessage is the content of one message.
type copyMessage struct {
	copies []*peerpb.BucketCopy
	// plans holds the index of the plan that each copy belongs to.
	plans []int
}

// packCopies packs the copies of several plans into messages of at most about
// maxMessageBytes.
func packCopies(plans []claim.CopyPlan, indexes []int) []copyMessage {
	messages, size := []copyMessage{{}}, 0
	for _, i := range indexes {
		for _, c := range encodeCopy(plans[i].Copy) {
			n := proto.Size(c)
			if size > 0 && size+n > maxMessageBytes {
				messages, size = append(messages, copyMessage{}), 0
			}
			m := &messages[len(messages)-1]
			m.copies, m.plans = append(m.copies, c), append(m.plans, i)
			size += n
		}
	}
	return messages
}

func decodeCopy(c *peerpb.BucketCopy) claim.Copy {
	return claim.Copy{Bucket: c.Bucket, Records: decodeRecords(c.Records),
		Echo:       claim.Stamp{Boot: c.Echo.GetBoot(), Since: time.Duration(c.Echo.GetSinceNs())},
		HistoryAge: time.Duration(c.KnownNs), Complete: c.Complete, Leases: decodeSyncLeases(c.Marks)}
}

// encodeShare leaves out recorded responses beyond maxMessageBytes; their claims
// count as run with a response that was not kept.
func encodeShare(s claim.BucketState) *peerpb.ShareReply {
	out := &peerpb.ShareReply{Marked: true, RemainingNs: int64(s.LeaseRemaining), KnownNs: int64(s.HistoryAge),
		Complete: s.Complete, Marks: encodeSyncLeases(s.Leases)}
	size := 0
	for _, r := range s.Records {
		if r.Response != nil {
			if size += len(r.Response.Body); size > maxMessageBytes {
				r.Response, r.State = nil, claim.NotKept
			}
		}
		out.Records = append(out.Records, encodeRecord(r))
	}
	return out
}

func decodeShare(in *peerpb.ShareReply) claim.BucketState {
	return claim.BucketState{Records: decodeRecords(in.Records), LeaseRemaining: time.Duration(in.RemainingNs),
		HistoryAge: time.Duration(in.KnownNs), Complete: in.Complete, Leases: decodeSyncLeases(in.Marks)}
}
