package node

import (
	"context"
	"net"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/peer"
	"trefoilstream.example/trefoilstream/internal/peerpb"
)

// refusingOwner is an owner that rejects requests without reading their body.
type refusingOwner struct {
	peerpb.DRPCOwnerUnimplementedServer
	release chan struct{}
}

func (o *refusingOwner) Execute(s peerpb.DRPCOwner_ExecuteStream) error {
	if o.release != nil {
		<-o.release
	}
	return s.Send(&peerpb.AnswerFrame{Refusal: &peerpb.Refusal{Kind: "overloaded"}})
}

// execute sends one request to the address and waits for the refusal.
func execute(pool *peer.Pool, address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	stream, err := peerpb.NewDRPCOwnerClient(pool.Conn(ctx, address)).Execute(ctx)
	if err != nil {
		return err
	}
	for _, frame := range []*peerpb.ExecuteFrame{{Head: &peerpb.ExecuteHead{}}, {Body: []byte("body")}, {End: true}} {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	if _, err := stream.Recv(); err != nil {
		return err
	}
	return stream.Close()
}

func serveOwner(t *testing.T, o peerpb.DRPCOwnerServer) (*inFlightCalls, string) {
	t.Helper()
	counts := &inFlightCalls{}
	s := peer.NewServer(nil)
	if err := s.Register(&countedOwner{DRPCOwnerServer: o, calls: counts}, peerpb.DRPCOwnerDescription{}); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, l) }()
	return counts, l.Addr().String()
}

// Guards against a pooled connection on which the next request hangs because the
// owner left frames of the previous one unread.
func TestUnreadRequestDoesNotHangTheNext(t *testing.T) {
	_, address := serveOwner(t, &refusingOwner{})
	pool := peer.NewPool(nil)
	defer func() { _ = pool.Close() }()
	for i := range 10 {
		if err := execute(pool, address); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}

// Guards against an instance that exits while requests from other instances are
// in flight.
func TestWaitQuietWaitsForRequests(t *testing.T) {
	o := &refusingOwner{release: make(chan struct{})}
	counts, address := serveOwner(t, o)
	pool := peer.NewPool(nil)
	defer func() { _ = pool.Close() }()
	done := make(chan error, 1)
	go func() { done <- execute(pool, address) }()
	time.Sleep(100 * time.Millisecond)
	quiet := make(chan struct{})
	go func() {
		counts.waitQuiet(50 * time.Millisecond)
		close(quiet)
	}()
	select {
	case <-quiet:
		t.Fatal("quiet while a request runs")
	case <-time.After(300 * time.Millisecond):
	}
	close(o.release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	<-quiet
}

// respondingOwner is an owner that responds with a body of bodyBytes.
type respondingOwner struct {
	peerpb.DRPCOwnerUnimplementedServer
}

const bodyBytes = 100_000

func (*respondingOwner) Execute(s peerpb.DRPCOwner_ExecuteStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	for _, frame := range []*peerpb.AnswerFrame{{Head: &peerpb.AnswerHead{Status: 200}}, {Body: make([]byte, bodyBytes)}, {End: true}} {
		if err := s.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// Guards against an instance that exits while another one has not read the response that it
// forwarded: what the kernel has taken counts as sent. One that stands still delays the exit
// until the deadline of its request.
func TestWaitQuietWaitsForReadResponses(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"reads later": 10 * time.Second, "reads nothing": 700 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			counts, address := serveOwner(t, &respondingOwner{})
			pool := peer.NewPool(nil)
			defer func() { _ = pool.Close() }()
			stream, err := peerpb.NewDRPCOwnerClient(pool.Conn(t.Context(), address)).Execute(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if err := stream.Send(&peerpb.ExecuteFrame{Head: &peerpb.ExecuteHead{DeadlineMs: uint64(deadline.Milliseconds())}, End: true}); err != nil {
				t.Fatal(err)
			}
			if _, err := stream.Recv(); err != nil {
				t.Fatal(err)
			}
			quiet := make(chan struct{})
			go func() {
				counts.waitQuiet(50 * time.Millisecond)
				close(quiet)
			}()
			select {
			case <-quiet:
				t.Fatal("quiet while the response is not read")
			case <-time.After(300 * time.Millisecond):
			}
			if name == "reads later" {
				frame, err := stream.Recv()
				if err != nil || len(frame.Body) != bodyBytes {
					t.Fatalf("%d bytes of %d, %v", len(frame.GetBody()), bodyBytes, err)
				}
				if frame, err = stream.Recv(); err != nil || !frame.End {
					t.Fatalf("%v, %v; want the end", frame, err)
				}
				_ = stream.Close()
			}
			select {
			case <-quiet:
			case <-time.After(5 * time.Second):
				t.Fatal("never quiet")
			}
		})
	}
}
