// Package peer provides the drpc transport between instances: a server, and a
// pool of client connections per peer. A drpc connection carries one call at a
// time, so concurrent calls use several connections.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
)

// DialTimeout limits the time to connect to a peer, including the TLS handshake.
const DialTimeout = time.Second

// idleExpiry is how long a pooled connection may be idle before it is closed. It
// must be shorter than any idle timeout on the network path between instances.
const idleExpiry = 30 * time.Second

// Pool holds connections to peers, keyed by address.
type Pool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	tls  *tls.Config
}

// NewPool returns an empty pool. A nil config means plain TCP.
func NewPool(config *tls.Config) *Pool {
	opts := drpcpool.Options{Expiration: idleExpiry, KeyCapacity: 64}
	return &Pool{pool: drpcpool.New[string, *drpcconn.Conn](opts), tls: config}
}

// Conn returns a connection to the peer at an address. It dials on the first call.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, p.dial)
}

func (p *Pool) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial peer: %w", err)
	}
	if p.tls != nil {
		secure := tls.Client(conn, p.tls)
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, fmt.Errorf("dial peer: %w", err)
		}
		conn = secure
	}
	return drpcconn.New(conn), nil
}

// Close closes every pooled connection.
func (p *Pool) Close() error { return p.pool.Close() }

// Server serves drpc calls from peers.
type Server struct {
	mux *drpcmux.Mux
	tls *tls.Config
}

// NewServer returns a server. A nil config means plain TCP.
func NewServer(config *tls.Config) *Server {
	return &Server{mux: drpcmux.New(), tls: config}
}

// Register adds a service.
func (s *Server) Register(impl any, desc drpc.Description) error {
	return s.mux.Register(impl, desc)
}

// Serve accepts connections on l and serves calls until ctx is done.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	return drpcserver.New(s.mux).Serve(ctx, l)
}
