package dispatch

import "trefoilstream.example/trefoilstream/internal/catalog"

// LeavingServer is an incarnation of a server that has said in a response that it leaves.
type LeavingServer struct {
	Server      string
	Incarnation int64
}

// SetServerLeaving notes that an incarnation of a server has said in a response that it
// leaves. It gets no further requests, whatever the directory says of that incarnation, now
// or once the directory names it.
func (d *Dispatcher) SetServerLeaving(l LeavingServer) {
	if d.hasSaidLeaving(l) {
		return
	}
	d.leaving[l] = struct{}{}
	d.newlyLeaving = append(d.newlyLeaving, l)
	if s := d.servers[l.Server]; s != nil && s.Incarnation == l.Incarnation {
		s.Draining = true
	}
}

// NewlyLeaving returns the incarnations that were noted since the last call, by
// SetServerLeaving or with an outcome.
func (d *Dispatcher) NewlyLeaving() []LeavingServer {
	l := d.newlyLeaving
	d.newlyLeaving = nil
	return l
}

// LeavingServers returns the known servers whose incarnation has said that it leaves, in no
// order.
func (d *Dispatcher) LeavingServers() []LeavingServer {
	var out []LeavingServer
	for l := range d.leaving {
		if s := d.servers[l.Server]; s != nil && s.Incarnation == l.Incarnation {
			out = append(out, l)
		}
	}
	return out
}

func (d *Dispatcher) hasSaidLeaving(l LeavingServer) bool {
	_, leaving := d.leaving[l]
	return leaving
}

// forgetLeaving forgets what is known of an incarnation that has ended.
func (d *Dispatcher) forgetLeaving(s catalog.Server) {
	delete(d.leaving, incarnationOf(s))
}

func incarnationOf(s catalog.Server) LeavingServer { return LeavingServer{s.ID, s.Incarnation} }
