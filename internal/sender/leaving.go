package sender

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"trefoilstream.example/trefoilstream/internal/dialect"
	"trefoilstream.example/trefoilstream/internal/dispatch"
)

var errLeaving = errors.New("server has said that it leaves")

// leavingRetention is how long it is known that a server leaves. Servers that leave end
// within seconds, at times many.
const leavingRetention = 10 * time.Minute

// leavingServers holds the servers that have told this instance, or another one as the
// coordinator says, that they leave. A server that starts again under its ID is another
// incarnation.
type leavingServers struct {
	mu      sync.Mutex
	servers map[dispatch.LeavingServer]time.Time
}

// IsLeaving reports whether the job's server is known to leave. This instance sends it
// nothing more, whether or not it reaches the coordinator.
func (s *Sender) IsLeaving(j *Job) bool {
	l := &s.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leaving := l.servers[dispatch.LeavingServer{Server: j.Server, Incarnation: j.Incarnation}]
	return leaving
}

// NoteLeaving notes what a response says of its server's leaving.
func (s *Sender) NoteLeaving(j *Job, r dialect.ServerResponse) {
	if r.Leaving && s.SetLeaving(dispatch.LeavingServer{Server: j.Server, Incarnation: j.Incarnation}) {
		log.WithFields(log.Fields{"event": "server_leaving", "server": j.Server, "request": j.RequestID}).Info("backend server says that it leaves")
	}
}

// SetLeaving notes that a server has told an instance that it leaves. It reports whether
// that is new.
func (s *Sender) SetLeaving(key dispatch.LeavingServer) bool {
	l := &s.leaving
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.servers[key]; known {
		return false
	}
	if l.servers == nil {
		l.servers = make(map[dispatch.LeavingServer]time.Time)
	}
	for k, at := range l.servers {
		if now.Sub(at) > leavingRetention {
			delete(l.servers, k)
		}
	}
	l.servers[key] = now
	return true
}

// NoteResponse is NoteLeaving for a response that another instance has passed on.
func (s *Sender) NoteResponse(j *Job, status int, h http.Header) {
	if s.dialect != nil && status != http.StatusMisdirectedRequest {
		s.NoteLeaving(j, s.dialect.ReadResponse(status, h))
	}
}

// Leaving returns the servers that are known to leave.
func (s *Sender) Leaving() []dispatch.LeavingServer {
	l := &s.leaving
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]dispatch.LeavingServer, 0, len(l.servers))
	for k := range l.servers {
		out = append(out, k)
	}
	return out
}
