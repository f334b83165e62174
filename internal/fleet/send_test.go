package fleet

import (
	"context"
	"net/http"
	"testing"
	"time"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
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
