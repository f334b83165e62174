package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/httphead"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/sender"
)

const (
	// acceptTimeout bounds the wait for the sending instance to accept a request.
	// It covers a dial between failure domains.
	acceptTimeout = 700 * time.Millisecond
	// bodyFrameBytes is the maximum size of a frame of a request body.
	bodyFrameBytes = 64 << 10
	// maxRequestBytes bounds the body of a request from another instance.
	maxRequestBytes = 128 << 20
)

// Send sends a permitted request to its server, directly or through the instance
// that the permit names.
func (f *Fleet) Send(ctx context.Context, p *Permit, j *sender.Job, reply sender.Reply) (dispatch.Outcome, error) {
	j.Server, j.Incarnation, j.Address = p.Server, p.incarnation, p.Address
	if f.opts.Sender.IsLeaving(j) {
		return dispatch.Leaving, errServerLeaving
	}
	if p.Via == "" {
		return f.opts.Sender.Run(ctx, j, reply)
	}
	return f.sendVia(ctx, p.Via, j, reply)
}

// sendVia sends a request through another instance. If that instance does not
// accept the request in time, the request has not run and may be sent elsewhere.
// If the connection breaks once the body is being sent, the request may have run.
func (f *Fleet) sendVia(ctx context.Context, via string, j *sender.Job, reply sender.Reply) (dispatch.Outcome, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := peerpb.NewDRPCCoordinationClient(f.peerConns.get(ctx, via)).Send(ctx)
	if err != nil {
		return dispatch.Unsent, fmt.Errorf("could not reach the sending instance: %w", err)
	}
	// The head alone does not start the request, so if the stream breaks before
	// the request is accepted, the request has certainly not run.
	if err := stream.Send(&peerpb.SendFrame{Head: requestHead(j)}); err != nil {
		return dispatch.Unsent, fmt.Errorf("could not reach the sending instance: %w", err)
	}
	w := newWatchdog(acceptTimeout, cancel)
	frame, err := stream.Recv()
	w.stop()
	if err != nil {
		return dispatch.Unsent, fmt.Errorf("sending instance did not accept the request: %w", err)
	}
	if !frame.Accepted {
		return dispatch.Unsent, errors.New("sending instance did not accept the request")
	}
	if err := sendBody(stream, j.Body); err != nil {
		return dispatch.Dropped, fmt.Errorf("lost the connection to the sending instance: %w", err)
	}
	return receiveReply(ctx, stream, &leavingObserver{Reply: reply, sender: f.opts.Sender, job: j})
}

var errServerLeaving = errors.New("backend server has said that it leaves")

// leavingObserver notes whether the head of a response says that its server leaves.
type leavingObserver struct {
	sender.Reply
	sender *sender.Sender
	job    *sender.Job
}

// Head implements sender.Reply.
func (o *leavingObserver) Head(status int, h http.Header, length int64) error {
	o.sender.NoteResponse(o.job, status, h)
	return o.Reply.Head(status, h, length)
}

func sendBody(stream peerpb.DRPCCoordination_SendClient, body memory.Buffer) error {
	left := body.Len()
	for _, segment := range body.Segments() {
		for part := range slices.Chunk(segment, bodyFrameBytes) {
			left -= int64(len(part))
			if err := stream.Send(&peerpb.SendFrame{Body: part, End: left == 0}); err != nil {
				return err
			}
		}
	}
	if body.Len() > 0 {
		return nil
	}
	return stream.Send(&peerpb.SendFrame{End: true})
}

func receiveReply(ctx context.Context, stream peerpb.DRPCCoordination_SendClient, reply sender.Reply) (dispatch.Outcome, error) {
	status := 0
	for {
		frame, err := stream.Recv()
		if err != nil {
			if ctx.Err() != nil {
				return dispatch.Cancelled, ctx.Err()
			}
			return dispatch.Dropped, fmt.Errorf("lost the connection to the sending instance: %w", err)
		}
		if frame.Failure != 0 {
			return dispatch.Outcome(frame.Failure), errors.New(frame.Cause)
		}
		if frame.Head != nil {
			h := headersFromProto(frame.Head.Headers)
			if err := checkHead(status, int(frame.Head.Status), h); err != nil {
				return dispatch.Dropped, fmt.Errorf("sending instance: %w", err)
			}
			status = int(frame.Head.Status)
			if err := reply.Head(status, h, frame.Head.Length); err != nil {
				return dispatch.Cancelled, err
			}
		}
		if status == 0 {
			return dispatch.Dropped, errors.New("sending instance passed on a response without a head")
		}
		if len(frame.Body) > 0 {
			if err := reply.Body(frame.Body); err != nil {
				return dispatch.Cancelled, err
			}
		}
		if frame.End {
			if status >= http.StatusInternalServerError {
				return dispatch.Failed, nil
			}
			return dispatch.Served, nil
		}
	}
}

// checkHead checks the head of a response that another instance passes on; before is the
// status of an earlier head, or 0. The sending instance has checked it already, unless its
// version does not.
func checkHead(before, status int, h http.Header) error {
	if before != 0 {
		return errors.New("second head of a response")
	}
	return httphead.CheckFinal(status, h)
}

func requestHead(j *sender.Job) *peerpb.SendHead {
	return &peerpb.SendHead{
		Server: j.Server, Address: j.Address, Method: j.Method, Uri: j.URI, Host: j.Host, Headers: headersToProto(j.Header),
		Length: j.Body.Len(), LeftMs: uint32(max(0, time.Until(j.Deadline)).Milliseconds()),
		Repeatable: j.Repeatable, RequestId: j.RequestID, Team: j.Team, Incarnation: j.Incarnation,
	}
}

func headersToProto(h http.Header) []*peerpb.Header {
	out := make([]*peerpb.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromProto(fields []*peerpb.Header) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	return h
}

// RelayedRequests returns the number of in-flight requests sent for other instances. A request is in
// flight until the other instance has read the whole reply.
func (f *Fleet) RelayedRequests() int { return int(f.relayedRequests.Load()) }

// Send implements peerpb.DRPCCoordinationServer.
func (s *coordinationServer) Send(stream peerpb.DRPCCoordination_SendStream) error {
	s.fleet.relayedRequests.Add(1)
	defer s.fleet.relayedRequests.Add(-1)
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if s.fleet.isLeaving() {
		// It might last longer than this instance. A coordinator that has just taken over
		// may not know that it stops. Before it is accepted, the request goes elsewhere.
		return errStopping
	}
	h := first.Head
	if h == nil || h.Length < 0 || h.Length > maxRequestBytes {
		return errors.New("first frame of a request has no head or an invalid body length")
	}
	held, err := s.holdRelayed(h)
	if err != nil {
		// The request has not been accepted and goes elsewhere.
		return fmt.Errorf("request of another instance: %w", err)
	}
	defer held.ReleaseAll()
	deadline := time.Now().Add(time.Duration(h.LeftMs) * time.Millisecond)
	if err := stream.Send(&peerpb.ReplyFrame{Accepted: true}); err != nil {
		return err
	}
	body, err := receiveBody(stream, h.Length)
	if err != nil {
		return err
	}
	j := &sender.Job{
		Server: h.Server, Incarnation: h.Incarnation, Address: h.Address, Method: h.Method, URI: h.Uri, Host: h.Host, Header: headersFromProto(h.Headers),
		RequestID: h.RequestId, Team: h.Team, Body: body, Deadline: deadline, Repeatable: h.Repeatable,
	}
	outcome, err := s.fleet.opts.Sender.Run(stream.Context(), j, &replyWriter{stream: stream})
	last := &peerpb.ReplyFrame{End: true}
	if err != nil {
		last = &peerpb.ReplyFrame{Failure: uint32(outcome), Cause: err.Error()}
	}
	if err := stream.Send(last); err != nil {
		return err
	}
	awaitReceipt(stream.Context(), deadline)
	return nil
}

// awaitReceipt waits until the other instance ends the call, which it does once it has read the
// last frame of the reply, or until the request's deadline.
func awaitReceipt(ctx context.Context, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	<-ctx.Done()
}

const (
	// relayBytes is the memory that a request of another instance takes beside its body and
	// the copies of its head: goroutines and buffers.
	relayBytes = 96 << 10
	// fieldBytes is the memory that a field of a head takes beside its text.
	fieldBytes = 192
	// headCopies is how often the head of a request is held while it is sent.
	headCopies = 4
)

// holdRelayed reserves the memory of a request of another instance, with its whole body: the
// other instance has read it and sends it at once.
func (s *coordinationServer) holdRelayed(h *peerpb.SendHead) (*memory.Holder, error) {
	n := relayBytes + h.Length
	for _, f := range h.Headers {
		n += headCopies * int64(len(f.Name)+len(f.Value)+fieldBytes)
	}
	held := s.fleet.opts.Memory.NewHolder(nil)
	return held, held.Reserve(n)
}

func receiveBody(stream peerpb.DRPCCoordination_SendStream, length int64) (memory.Buffer, error) {
	var body memory.Buffer
	for {
		frame, err := stream.Recv()
		if err != nil {
			return memory.Buffer{}, err
		}
		body.Append(frame.Body)
		if body.Len() > length {
			return memory.Buffer{}, errors.New("request body is longer than announced in the head")
		}
		if frame.End {
			if body.Len() != length {
				return memory.Buffer{}, errors.New("request body is shorter than announced in the head")
			}
			return body, nil
		}
	}
}

// replyWriter streams a server's response to the entry instance.
type replyWriter struct {
	stream peerpb.DRPCCoordination_SendStream
}

// Head implements sender.Reply.
func (f *replyWriter) Head(status int, h http.Header, length int64) error {
	return f.stream.Send(&peerpb.ReplyFrame{Head: &peerpb.ReplyHead{Status: int32(status), Headers: headersToProto(h), Length: length}})
}

// Body implements sender.Reply.
func (f *replyWriter) Body(p []byte) error {
	return f.stream.Send(&peerpb.ReplyFrame{Body: p})
}
