package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"trefoilstream.example/trefoilstream/internal/errkind"
	"trefoilstream.example/trefoilstream/internal/httphead"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// ownerMargin is how much earlier the owner's deadline is than the caller's, so
// that the owner's error, which says whether the request ran, arrives in time.
// It covers the network delay (1.5 ms one way between failure domains) and
// scheduling delays on a busy instance.
const ownerMargin = 10 * time.Millisecond

// errOwnerLost is the cause of cancelled calls to an owner that does not
// respond.
var errOwnerLost = errors.New("owner does not respond")

// call is one Execute call. It records whether the request head may have been
// sent.
type call struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
	sent   bool
	// cancellable allows cancelling after the head was sent. It is set for
	// requests on idempotent routes with a completely buffered body.
	cancellable bool
}

// markSent marks the head as sent, or returns false if the call was cancelled.
func (c *call) markSent(ctx context.Context) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = ctx.Err() == nil
	return c.sent
}

// ownerLost cancels the call if that is safe: if the head was not sent, or if
// the request may be retried. Otherwise the call waits, since the response may
// still arrive.
func (c *call) ownerLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sent || c.cancellable {
		c.cancel(errOwnerLost)
	}
}

// forward sends the request to the owner of one server.
func (f *Forwarder) forward(ctx context.Context, r *Request, t target) result {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{cancel: cancel, cancellable: r.Route.Idempotent && r.Body.Remaining == nil}
	watched := f.watch.begin(t.owner.PeerAddress, c.ownerLost)
	defer watched.end()
	stream, err := peerpb.NewDRPCOwnerClient(f.peers.Conn(ctx, t.owner.PeerAddress)).Execute(ctx)
	if err != nil {
		cancel(nil)
		if !errors.Is(context.Cause(ctx), context.Canceled) && !errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			f.watch.startPinging(t.owner.PeerAddress, true)
		}
		return notSent(ctx, fmt.Errorf("owner %s: %w", t.owner.ID, err))
	}
	if !c.markSent(ctx) {
		cancel(nil)
		return notSent(ctx, fmt.Errorf("owner %s: %w", t.owner.ID, context.Cause(ctx)))
	}
	res := f.exchange(ctx, stream, r, t)
	if res.response == nil {
		if ctx.Err() == nil && errkind.From(res.err).Kind == errkind.PeerLost {
			f.watch.startPinging(t.owner.PeerAddress, false)
		}
		cancel(nil)
		return res
	}
	res.response.Body.(*responseBody).cancel = func() { cancel(nil) }
	return res
}

// notSent is the result of an attempt whose head was not sent.
func notSent(ctx context.Context, err error) result {
	kind := errkind.NoServer
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = errkind.DeadlineExceededQueued
	}
	return result{err: errkind.Errorf(kind, "request not sent: %w", err), notRun: true, retryElsewhere: true}
}

// exchange sends the request and receives the head of the response. The body is
// sent concurrently, because the owner reads it only when a slot is free, and
// may refuse the request without reading it.
func (f *Forwarder) exchange(ctx context.Context, stream peerpb.DRPCOwner_ExecuteClient, r *Request, t target) result {
	if err := sendHead(ctx, stream, r, t); err != nil {
		return callFailed(ctx, err)
	}
	sent := make(chan error, 1)
	if r.Body.Length == 0 {
		sent <- stream.Send(&peerpb.ExecuteFrame{End: true})
	} else {
		var done chan struct{}
		if r.Body.Remaining != nil {
			done = make(chan struct{})
			r.Body.readDone = done
		}
		go func() {
			sent <- sendBody(stream, r.Body)
			if done != nil {
				close(done)
			}
		}()
	}
	frame, err := stream.Recv()
	if err != nil {
		return callFailed(ctx, sendError(r, sent, err))
	}
	if refusal := frame.GetRefusal(); refusal != nil {
		f.loads.report(time.Now(), refusal.Load)
		if len(sent) > 0 {
			// The request has been written, so the call can be closed.
			// Cancelling it would close the connection too.
			_ = stream.Close()
		}
		return refused(refusal)
	}
	head := frame.GetHead()
	if head == nil {
		return callFailed(ctx, errors.New("owner sent no response head"))
	}
	f.loads.report(time.Now(), head.Load)
	header := make(http.Header, len(head.Headers))
	for _, h := range head.Headers {
		header.Add(h.Name, h.Value)
	}
	if err := httphead.CheckFinal(int(head.Status), header); err != nil {
		return result{err: errkind.Errorf(errkind.BackendFailed, "owner passed on: %w", err), retryElsewhere: true}
	}
	body := &responseBody{stream: stream}
	return result{response: &Response{Status: int(head.Status), Header: header, ContentLength: head.ContentLength, Body: body}}
}

// sendError returns the error of reading the caller's body, if there is one,
// instead of the error of the call that followed from it.
func sendError(r *Request, sent <-chan error, err error) error {
	if rest, ok := r.Body.Remaining.(*restReader); ok {
		select {
		case <-sent:
			if rest.err != nil {
				return rest.err
			}
		default:
		}
	}
	return err
}

func sendHead(ctx context.Context, stream peerpb.DRPCOwner_ExecuteClient, r *Request, t target) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return errors.New("request has no deadline")
	}
	remaining := time.Until(deadline)
	remaining -= min(ownerMargin, remaining/10)
	head := &peerpb.ExecuteHead{
		Server: t.server.ID, Team: r.Team, Route: r.Route.ID, Method: r.Method, Uri: r.URI, Host: r.Host,
		KeyDigest: r.KeyDigest, ExecutionId: r.ExecutionID, RequestId: r.ID, BodyDigest: r.Body.Digest,
		DeadlineMs: uint64(max(0, remaining.Milliseconds())), ContentLength: r.Body.Length,
	}
	for name, values := range r.Header {
		for _, v := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: v})
		}
	}
	return stream.Send(&peerpb.ExecuteFrame{Head: head})
}

func sendBody(stream peerpb.DRPCOwner_ExecuteClient, b *Body) error {
	for _, segment := range b.Buffered.Segments() {
		for part := range slices.Chunk(segment, chunkBytes) {
			if err := stream.Send(&peerpb.ExecuteFrame{Body: part}); err != nil {
				return err
			}
		}
	}
	if b.Remaining != nil {
		buf := make([]byte, chunkBytes)
		for {
			n, err := b.Remaining.Read(buf)
			if n > 0 {
				if err := stream.Send(&peerpb.ExecuteFrame{Body: buf[:n]}); err != nil {
					return err
				}
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				// Without the end frame, the owner does not take the body for
				// complete. Closing the stream ends the call at once.
				_ = stream.Close()
				return err
			}
		}
	}
	return stream.Send(&peerpb.ExecuteFrame{End: true})
}

// refused is the result of an attempt that the owner refused.
func refused(r *peerpb.Refusal) result {
	e := errkind.Errorf(errkind.Kind(r.Kind), "owner refused: %s", r.Detail)
	e.RetryAfter = time.Duration(r.RetryAfterMs) * time.Millisecond
	e.Outcome = errkind.Unknown
	if r.NotRun {
		e.Outcome = errkind.NotRun
	}
	// Another server may succeed after a failure of one backend server.
	retryElsewhere := r.RetryElsewhere || e.Kind == errkind.BackendFailed
	return result{err: e, notRun: r.NotRun, retryElsewhere: retryElsewhere}
}

// callFailed is the result of a call that failed after the head may have been
// sent.
func callFailed(ctx context.Context, err error) result {
	var own *errkind.Error
	if errors.As(err, &own) {
		return result{err: own}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result{err: errkind.Errorf(errkind.DeadlineExceeded, "forward to owner: %w", err)}
	}
	return result{err: errkind.Errorf(errkind.PeerLost, "forward to owner: %w", err), retryElsewhere: true}
}

// classify decides which responses may be retried. Trefoilstream-Not-Run proves
// that the request did not run. Any other 429 or 5xx response is passed on
// unless the route is idempotent and a retry is allowed.
func classify(r *Request, res result) result {
	resp := res.response
	if resp.Status >= http.StatusBadRequest && resp.Header.Get(headerPrefix+"Not-Run") == "true" {
		e := errkind.Errorf(errkind.Overloaded, "backend server refused the request with status %d", resp.Status)
		if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
			e.RetryAfter = time.Duration(seconds) * time.Second
		}
		_ = resp.Body.Close()
		return result{err: e, notRun: true, retryElsewhere: true}
	}
	retriable := resp.Status == http.StatusTooManyRequests || resp.Status >= http.StatusInternalServerError
	res.retryElsewhere = retriable && r.Route.Idempotent
	return res
}

// responseBody reads the body frames of a response.
type responseBody struct {
	stream  peerpb.DRPCOwner_ExecuteClient
	cancel  context.CancelFunc
	onClose func()
	rest    []byte
	ended   bool
}

// Read implements io.Reader. It returns io.EOF only after the end frame.
func (b *responseBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.ended {
			return 0, io.EOF
		}
		frame, err := b.stream.Recv()
		if err != nil {
			return 0, errkind.Errorf(errkind.PeerLost, "response ended early: %w", err)
		}
		if refusal := frame.GetRefusal(); refusal != nil {
			return 0, refused(refusal).err
		}
		if frame.GetHead() != nil {
			return 0, errkind.Errorf(errkind.Internal, "owner sent a second response head")
		}
		b.rest, b.ended = frame.Body, frame.End
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer. It ends the call, so that the request to the
// backend server is cancelled when the caller disconnects. A connection with an
// unfinished response is not reused.
func (b *responseBody) Close() error {
	if b.ended {
		_ = b.stream.Close()
	}
	b.cancel()
	if b.onClose != nil {
		b.onClose()
		b.onClose = nil
	}
	return nil
}
