package fleet

import (
	"context"
	"fmt"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"

	"trefoilstream.example/trefoilstream/internal/delivery"
	"trefoilstream.example/trefoilstream/internal/sockopt"
)

const (
	// peerDialTimeout bounds the time to connect to an instance.
	peerDialTimeout = 300 * time.Millisecond
	// idlePeerConnTimeout closes unused connections between instances.
	idlePeerConnTimeout = 10 * time.Second
	// maxIdleConnsPerPeer is the number of idle connections kept per instance.
	maxIdleConnsPerPeer = 4
)

// connPool holds connections to other instances, keyed by address. A drpc
// connection carries one call at a time.
type connPool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	dial DialFunc
}

// DialFunc connects to another instance.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

func newConnPool(dial DialFunc) *connPool {
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := sockopt.WatchedDialer(peerDialTimeout).DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return delivery.Watch(c), nil
		}
	}
	opts := drpcpool.Options{Expiration: idlePeerConnTimeout, KeyCapacity: maxIdleConnsPerPeer}
	return &connPool{pool: drpcpool.New[string, *drpcconn.Conn](opts), dial: dial}
}

// get returns a connection that is dialed on its first call.
func (p *connPool) get(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, p.connect)
}

// connect returns a new connection.
func (p *connPool) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial instance %s: %w", address, err)
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{SoftCancel: true}}), nil
}
