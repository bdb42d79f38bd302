package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"pumiceshelf/api"
	"pumiceshelf/instance"
)

// errOtherIncarnation means that the process at the address is another incarnation than the one wanted.
var errOtherIncarnation = errors.New("peer: another incarnation answered")

// Conn implements Conns. Each connection is checked to reach the incarnation itself: a call on it never reaches a later one.
func (f *Fleet) Conn(_ context.Context, id instance.Incarnation) (drpc.Conn, error) {
	p := f.poolOf(id)
	if p == nil {
		f.count.noMember.Inc(1)
		return nil, ErrNoMember
	}
	return p, nil
}

// poolOf returns the pool of a known member that is not gone, or nil.
func (f *Fleet) poolOf(id instance.Incarnation) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.table.members[id]
	if m == nil || m.gone {
		return nil
	}
	return f.pool(m)
}

// pool needs the lock.
func (f *Fleet) pool(m *member) *pool {
	id := instance.Incarnation(m.instance.GetIncarnation())
	p := f.pools[id]
	if p == nil {
		inst := m.instance
		p = newPool(f.cfg.Clock, func(ctx context.Context) (*drpcconn.Conn, error) { return f.dial(ctx, inst) })
		f.pools[id] = p
	}
	return p
}

// dial opens a connection to an instance and checks by a heartbeat that the incarnation is the one wanted.
func (f *Fleet) dial(ctx context.Context, inst *api.Instance) (*drpcconn.Conn, error) {
	f.count.dials.Inc(1)
	raw, err := f.cfg.Dial(ctx, "tcp", inst.GetPeerAddress())
	if err != nil {
		f.count.dialFailed.Inc(1)
		return nil, fmt.Errorf("peer: dial: %w", err)
	}
	secured, err := f.secure(ctx, raw, inst.GetPeerAddress())
	if err != nil {
		f.count.dialFailed.Inc(1)
		_ = raw.Close()
		return nil, err
	}
	conn := drpcconn.New(secured)
	if err := f.identify(ctx, conn, inst); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (f *Fleet) secure(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	if f.cfg.TLS == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer: address: %w", err)
	}
	c := f.cfg.TLS.Client()
	c.ServerName = host
	conn := tls.Client(raw, c)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("peer: handshake: %w", err)
	}
	return conn, nil
}

// identify asks who answers on a new connection. The connection ends with the process, so the answer holds for its life.
func (f *Fleet) identify(ctx context.Context, conn drpc.Conn, inst *api.Instance) error {
	resp, err := f.exchange(ctx, conn, inst, true)
	if err != nil {
		return err
	}
	f.absorb(resp)
	if resp.GetFrom().GetIncarnation() != inst.GetIncarnation() {
		f.replaced(instance.Incarnation(inst.GetIncarnation()), resp.GetFrom())
		return errOtherIncarnation
	}
	return nil
}

// closePools ends all connections.
func (f *Fleet) closePools() {
	f.mu.Lock()
	pools := f.pools
	f.pools = make(map[instance.Incarnation]*pool)
	f.mu.Unlock()
	for _, p := range pools {
		p.shut()
	}
}

// idlePools returns all pools, now and then, to have their idle connections closed. It needs the lock.
func (f *Fleet) idlePools() []*pool {
	if f.tick%idleSweep != 0 {
		return nil
	}
	return slices.Collect(maps.Values(f.pools))
}

// drop ends the connections to an incarnation that is gone. A later return opens a new pool.
func (f *Fleet) drop(id instance.Incarnation) {
	f.mu.Lock()
	p := f.pools[id]
	delete(f.pools, id)
	f.mu.Unlock()
	if p != nil {
		p.shut()
	}
}
