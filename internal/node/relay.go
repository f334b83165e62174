package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"trefoilstream.example/trefoilstream/internal/journal"
	"trefoilstream.example/trefoilstream/internal/logservice"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

const (
	// relayMaxBytes bounds the records kept for peers. At the target fleet size,
	// changes amount to about 1 MiB in ten minutes.
	relayMaxBytes = 4 << 20
	// relayMaxReplyBytes bounds the records in one reply, below drpc's message
	// limit of 4 MiB.
	relayMaxReplyBytes = 1 << 20
	// relaySnapshotTTL is how long a snapshot made for a peer is reused.
	relaySnapshotTTL = 30 * time.Second
)

// relay keeps the newest log records for peers that lag behind.
type relay struct {
	mu      sync.Mutex
	records []logservice.Record
	bytes   int

	fetching sync.Mutex
	// fetchRequested is set while a fetch triggered by a request of a peer runs.
	fetchRequested atomic.Bool
	snapshotSet    string
	snapshotBase   uint64
	snapshotParts  [][]byte
	snapshotAt     time.Time
}

// store keeps records that were read from the log or from a peer.
func (r *relay) store(records []logservice.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		if n := len(r.records); n > 0 {
			switch last := r.records[n-1].Offset; {
			case rec.Offset <= last:
				continue
			case rec.Offset > last+1:
				r.records, r.bytes = nil, 0
			}
		}
		r.records = append(r.records, rec)
		r.bytes += len(rec.Data)
	}
	for r.bytes > relayMaxBytes && len(r.records) > 1 {
		r.bytes -= len(r.records[0].Data)
		r.records = r.records[1:]
	}
}

// after returns the records after an offset, or false if some are no longer
// kept.
func (r *relay) after(offset uint64) ([]*peerpb.LogRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 || r.records[0].Offset > offset+1 {
		return nil, false
	}
	var list []*peerpb.LogRecord
	size := 0
	for _, rec := range r.records {
		if rec.Offset <= offset {
			continue
		}
		if size += len(rec.Data); size > relayMaxReplyBytes && len(list) > 0 {
			break
		}
		list = append(list, &peerpb.LogRecord{Offset: rec.Offset, Data: rec.Data})
	}
	return list, true
}

// Records implements peerpb.DRPCMembershipServer.
func (s memberServer) Records(_ context.Context, in *peerpb.RecordsRequest) (*peerpb.RecordsReply, error) {
	if in.Set == "" {
		if list, ok := s.relay.after(in.After); ok || s.node.stateMachine.Offset() <= in.After {
			return &peerpb.RecordsReply{Records: list}, nil
		}
	}
	return s.relay.snapshot(s.node.stateMachine, in)
}

// snapshot returns parts of a snapshot of the state.
func (r *relay) snapshot(stateMachine *journal.StateMachine, in *peerpb.RecordsRequest) (*peerpb.RecordsReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if in.Set != "" && in.Set != r.snapshotSet {
		return nil, fmt.Errorf("snapshot %s is no longer kept", in.Set)
	}
	if in.Set == "" && now.Sub(r.snapshotAt) > relaySnapshotTTL {
		if err := r.makeSnapshot(stateMachine, now); err != nil {
			return nil, err
		}
	}
	reply := &peerpb.RecordsReply{Set: r.snapshotSet, Parts: uint32(len(r.snapshotParts))}
	size := 0
	for i := int(in.Part); i < len(r.snapshotParts) && size < relayMaxReplyBytes; i++ {
		reply.Records = append(reply.Records, &peerpb.LogRecord{Offset: r.snapshotBase, Data: r.snapshotParts[i]})
		size += len(r.snapshotParts[i])
	}
	return reply, nil
}

func (r *relay) makeSnapshot(stateMachine *journal.StateMachine, now time.Time) error {
	records, err := stateMachine.Snapshot(now, uuid.NewString)
	if err != nil {
		return fmt.Errorf("snapshot for a peer: %w", err)
	}
	r.snapshotParts, r.snapshotAt = nil, now
	for _, rec := range records {
		data, err := journal.Encode(rec)
		if err != nil {
			return fmt.Errorf("snapshot for a peer: %w", err)
		}
		r.snapshotParts = append(r.snapshotParts, data)
		r.snapshotSet, r.snapshotBase = rec.Snapshot.Set, rec.Snapshot.Base
	}
	return nil
}

// fetch reads and applies the records that a peer has and this instance lacks.
// One fetch runs at a time; a caller that had to wait finds less to fetch.
func (m *members) fetch(ctx context.Context, address string) error {
	m.relay.fetching.Lock()
	defer m.relay.fetching.Unlock()
	client := peerpb.NewDRPCMembershipClient(m.node.peers.Conn(ctx, address))
	req := &peerpb.RecordsRequest{After: m.node.stateMachine.Offset()}
	for {
		reply, err := client.Records(ctx, req)
		if err != nil {
			return fmt.Errorf("records from a peer: %w", err)
		}
		var page logservice.Page
		for _, rec := range reply.Records {
			page.Records = append(page.Records, logservice.Record{Offset: rec.Offset, Data: rec.Data})
		}
		if len(page.Records) == 0 {
			return nil
		}
		m.node.applyPage(page)
		if reply.Set == "" {
			m.relay.store(page.Records)
		}
		if reply.Set != "" && req.Part+uint32(len(reply.Records)) < reply.Parts {
			req.Set, req.Part = reply.Set, req.Part+uint32(len(reply.Records))
			continue
		}
		req.Set, req.Part, req.After = "", 0, m.node.stateMachine.Offset()
	}
}

// startFromPeers fetches records from the instances on the platform's list until
// some were applied, whether from the log or from a peer.
func (m *members) startFromPeers(ctx context.Context) error {
	for ctx.Err() == nil && m.node.instanceList != nil && m.node.stateMachine.Offset() == 0 {
		sleep(ctx, listPollInterval)
		list, err := m.node.instanceList.Instances(ctx)
		if err != nil {
			continue
		}
		for _, inst := range list {
			if inst.Kind != logservice.KindProxy || inst.ID == m.node.self.ID || m.node.stateMachine.Offset() > 0 {
				continue
			}
			call, cancel := context.WithTimeout(ctx, memberTimeout)
			if err := m.fetch(call, inst.Address); err == nil && m.node.stateMachine.Offset() > 0 {
				log.WithFields(log.Fields{"event": "started_from_peer", "peer": inst.ID, "offset": m.node.stateMachine.Offset()}).Info("records read from a peer")
			}
			cancel()
		}
	}
	return ctx.Err()
}
