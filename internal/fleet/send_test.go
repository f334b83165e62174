package fleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
	"trefoilstream.example/trefoilstream/internal/memory"
	"trefoilstream.example/trefoilstream/internal/peerpb"
	"trefoilstream.example/trefoilstream/internal/sender"
)

// plainDialect has no headers.
type plainDialect struct{}

func (plainDialect) ReadCaller(http.Header) dialect.CallerRequest             { return dialect.CallerRequest{} }
func (plainDialect) WriteRequest(http.Header, dialect.ServerRequest)          {}
func (plainDialect) ReadResponse(int, http.Header) (r dialect.ServerResponse) { return r }

// Guards against a request that is cut off with the instance that passes it on: one that is
// stopping, which a new coordinator does not know yet, accepts no requests of others. They
// have not run and go elsewhere.
func TestStoppingInstanceAcceptsNoRequestsOfOthers(t *testing.T) {
	fleet := newTestFleet(t, 1)
	fleet.addWith(1, func(o *Options) { o.Sender = sender.New(plainDialect{}) })
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	entry, relay := fleet.instances[0], fleet.instances[1]
	send := func() dispatch.Outcome {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		outcome, err := entry.sendVia(ctx, relay.opts.Self.Address, &sender.Job{Server: "s", Address: deadAddress, Method: "GET", URI: "/", Deadline: time.Now().Add(5 * time.Second)}, nil)
		if err == nil {
			t.Fatal("sent to a server that does not exist")
		}
		return outcome
	}
	if got := send(); got != dispatch.Unreachable {
		t.Errorf("before the stop: %s, want unreachable", got)
	}
	relay.Leave()
	if got := send(); got != dispatch.Unsent {
		t.Errorf("once it stops: %s, want unsent", got)
	}
}

// slowReply takes the body of a reply when it is told to.
type slowReply struct {
	bodyCollector
	begun chan struct{}
	take  chan struct{}
}

// Head implements sender.Reply.
func (r *slowReply) Head(int, http.Header, int64) error {
	close(r.begun)
	<-r.take
	return nil
}

// Guards against an instance that ends while another one has not read the reply that was passed
// on for it: what the kernel has taken counts as sent (LOST).
func TestReplyCountsUntilTheOtherInstanceHasReadIt(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// A response without a signature cannot be a success.
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write(make([]byte, 100_000))
	}))
	defer server.Close()
	fleet := newTestFleet(t, 1)
	fleet.addWith(1, func(o *Options) { o.Sender = sender.New(plainDialect{}) })
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	entry, relay := fleet.instances[0], fleet.instances[1]
	reply := &slowReply{begun: make(chan struct{}), take: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		_, err := entry.sendVia(t.Context(), relay.opts.Self.Address, &sender.Job{
			Server: "s", Address: server.Listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(10 * time.Second),
		}, reply)
		ended <- err
	}()
	select {
	case <-reply.begun:
	case err := <-ended:
		t.Fatalf("ended before the reply: %v", err)
	}
	relay.Leave()
	for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if n := relay.RelayedRequests(); n != 1 {
			t.Fatalf("%d requests count as in flight while the reply is not read", n)
		}
	}
	close(reply.take)
	if err := <-ended; err != nil || len(reply.body) != 100_000 {
		t.Errorf("%d bytes of 100000, %v", len(reply.body), err)
	}
	eventually(t, "the request has ended", func() bool { return relay.RelayedRequests() == 0 })
}

// pausingReply counts the bytes of a reply and takes nothing for a time after the first ones.
type pausingReply struct {
	pause time.Duration
	bytes int
}

// Head implements sender.Reply.
func (*pausingReply) Head(int, http.Header, int64) error { return nil }

// Body implements sender.Reply.
func (r *pausingReply) Body(p []byte) error {
	if r.bytes == 0 {
		time.Sleep(r.pause)
	}
	r.bytes += len(p)
	return nil
}

// Guards against a response that breaks off on its way through another instance since its caller
// reads nothing for some seconds: the instance next to the server took this one for gone.
func TestReplyOutlastsAPauseOfItsCaller(t *testing.T) {
	const size = 24 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write(make([]byte, size))
	}))
	defer server.Close()
	fleet := newTestFleet(t, 1)
	fleet.addWith(1, func(o *Options) { o.Sender = sender.New(plainDialect{}) })
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	entry, relay := fleet.instances[0], fleet.instances[1]
	reply := &pausingReply{pause: 4 * time.Second}
	_, err := entry.sendVia(t.Context(), relay.opts.Self.Address, &sender.Job{
		Server: "s", Address: server.Listener.Addr().String(), Method: "GET", URI: "/", Host: "h", Deadline: time.Now().Add(20 * time.Second),
	}, reply)
	if err != nil || reply.bytes != size {
		t.Errorf("%d bytes of %d, %v", reply.bytes, size, err)
	}
}

// Guards against an instance that cannot end since another one stands still: it waits for it until
// the deadline of the request.
func TestReplyIsGivenUpAtItsDeadline(t *testing.T) {
	start := time.Now()
	awaitReceipt(context.Background(), start.Add(50*time.Millisecond))
	if took := time.Since(start); took < 50*time.Millisecond || took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// Guards against an instance that exceeds its memory by requests of others (the instance that
// accepts one holds its body). What it does not accept has not run and goes elsewhere.
func TestInstanceWithoutMemoryAcceptsNoRequestsOfOthers(t *testing.T) {
	fleet := newTestFleet(t, 1)
	account := memory.NewAccount(memory.Limits{Total: 1 << 20, Large: 1 << 20}, nil)
	fleet.addWith(1, func(o *Options) { o.Sender, o.Memory = sender.New(plainDialect{}), account })
	eventually(t, "one coordinator and all ready", func() bool { return fleet.ready(-1) })
	entry, relay := fleet.instances[0], fleet.instances[1]
	for bytes, want := range map[int]dispatch.Outcome{2 << 20: dispatch.Unsent, 1 << 18: dispatch.Unreachable} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		got, err := entry.sendVia(ctx, relay.opts.Self.Address, &sender.Job{
			Server: "s", Address: deadAddress, Method: "POST", URI: "/", Body: memory.NewBuffer(make([]byte, bytes)), Deadline: time.Now().Add(5 * time.Second),
		}, nil)
		if got != want || err == nil {
			t.Errorf("a body of %d bytes: %s (%v), want %s", bytes, got, err, want)
		}
	}
	eventually(t, "all memory is released", func() bool { return account.Used() == 0 })
}

// replyStream yields the frames of a reply and then ends, as a stream does whose instance has
// stopped.
type replyStream struct {
	peerpb.DRPCCoordination_SendClient
	frames []*peerpb.ReplyFrame
}

// Recv implements peerpb.DRPCCoordination_SendClient.
func (s *replyStream) Recv() (*peerpb.ReplyFrame, error) {
	if len(s.frames) == 0 {
		return nil, io.EOF
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

// bodyCollector keeps the body of a reply.
type bodyCollector struct{ body string }

// Head implements sender.Reply.
func (*bodyCollector) Head(int, http.Header, int64) error { return nil }

// Body implements sender.Reply.
func (c *bodyCollector) Body(p []byte) error {
	c.body += string(p)
	return nil
}

// Guards against a response from another instance that is passed on although it is unfinished,
// or although it is none: an instance of an earlier version may not check responses.
func TestBrokenRepliesOfInstancesAreNotPassedOn(t *testing.T) {
	head := func(status int32, name, value string) *peerpb.ReplyFrame {
		return &peerpb.ReplyFrame{Head: &peerpb.ReplyHead{Status: status, Headers: []*peerpb.Header{{Name: name, Value: value}}, Length: 4}}
	}
	body := &peerpb.ReplyFrame{Body: []byte("part")}
	end := &peerpb.ReplyFrame{End: true}
	for _, c := range []struct {
		name   string
		frames []*peerpb.ReplyFrame
		want   dispatch.Outcome
	}{
		{"complete", []*peerpb.ReplyFrame{head(200, "Name", "1"), body, end}, dispatch.Served},
		{"complete failure", []*peerpb.ReplyFrame{head(500, "Name", "1"), body, end}, dispatch.Failed},
		{"nothing", nil, dispatch.Dropped},
		{"ends after the head", []*peerpb.ReplyFrame{head(200, "Name", "1")}, dispatch.Dropped},
		{"ends after the body", []*peerpb.ReplyFrame{head(200, "Name", "1"), body}, dispatch.Dropped},
		{"failure after the body", []*peerpb.ReplyFrame{head(200, "Name", "1"), body, {Failure: uint32(dispatch.Dropped), Cause: "cut off"}}, dispatch.Dropped},
		{"no head", []*peerpb.ReplyFrame{end}, dispatch.Dropped},
		{"body before the head", []*peerpb.ReplyFrame{body, head(200, "Name", "1"), end}, dispatch.Dropped},
		{"second head", []*peerpb.ReplyFrame{head(200, "Name", "1"), head(200, "Name", "1"), body, end}, dispatch.Dropped},
		{"status 0", []*peerpb.ReplyFrame{head(0, "Name", "1"), body, end}, dispatch.Dropped},
		{"status 99", []*peerpb.ReplyFrame{head(99, "Name", "1"), body, end}, dispatch.Dropped},
		{"interim status", []*peerpb.ReplyFrame{head(103, "Name", "1"), body, end}, dispatch.Dropped},
		{"blank in a name", []*peerpb.ReplyFrame{head(200, "Bad Name", "1"), body, end}, dispatch.Dropped},
		{"line feed in a value", []*peerpb.ReplyFrame{head(200, "Name", "1\nNot-Run: 1"), body, end}, dispatch.Dropped},
	} {
		got := &bodyCollector{}
		outcome, err := receiveReply(t.Context(), &replyStream{frames: c.frames}, got)
		complete := c.want != dispatch.Dropped
		if outcome != c.want || (err == nil) != complete || complete && got.body != "part" {
			t.Errorf("%s: %s, body %q, error %v; want %s", c.name, outcome, got.body, err, c.want)
		}
	}
}
