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

// errWrongIncarnation means that the process at the address is not the expected incarnation.
var errWrongIncarnation = errors.New("peer: address is used by another incarnation")

// Conn implements Conns. The incarnation is verified on each new connection, so a call never reaches a later incarnation.
func (f *Fleet) Conn(_ context.Context, id instance.Incarnation) (drpc.Conn, error) {
	p := f.livePool(id)
	if p == nil {
		f.counters.noMember.Inc(1)
		return nil, ErrNoMember
	}
	return p, nil
}

// livePool returns the connection pool of a known member that has not failed, or nil.
func (f *Fleet) livePool(id instance.Incarnation) *pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.table.members[id]
	if m == nil || m.failed {
		return nil
	}
	return f.memberPool(m)
}

// memberPool returns the connection pool of a member and creates it if needed. f.mu must be held.
func (f *Fleet) memberPool(m *member) *pool {
	id := instance.Incarnation(m.instance.GetIncarnation())
	p := f.pools[id]
	if p == nil {
		inst := m.instance
		p = newPool(f.cfg.Clock, func(ctx context.Context) (*drpcconn.Conn, error) { return f.dial(ctx, inst) })
		f.pools[id] = p
	}
	return p
}

// dial opens a connection to an instance and verifies its incarnation with a heartbeat.
func (f *Fleet) dial(ctx context.Context, inst *api.Instance) (*drpcconn.Conn, error) {
	f.counters.dialed.Inc(1)
	raw, err := f.cfg.Dial(ctx, "tcp", inst.GetPeerAddress())
	if err != nil {
		f.counters.dialFailed.Inc(1)
		return nil, fmt.Errorf("peer: dial: %w", err)
	}
	secured, err := f.handshakeTLS(ctx, raw, inst.GetPeerAddress())
	if err != nil {
		f.counters.dialFailed.Inc(1)
		_ = raw.Close()
		return nil, err
	}
	conn := drpcconn.New(secured)
	if err := f.verifyIncarnation(ctx, conn, inst); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// handshakeTLS performs the TLS handshake on a new connection, or returns the connection as it is when TLS is not configured.
func (f *Fleet) handshakeTLS(ctx context.Context, raw net.Conn, address string) (net.Conn, error) {
	if f.cfg.TLS == nil {
		return raw, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("peer: invalid peer address: %w", err)
	}
	c := f.cfg.TLS.Client()
	c.ServerName = host
	conn := tls.Client(raw, c)
	if err := conn.HandshakeContext(ctx); err != nil {
		return nil, fmt.Errorf("peer: TLS handshake: %w", err)
	}
	return conn, nil
}

// verifyIncarnation checks with a heartbeat which incarnation a new connection reaches. A connection ends with the process
// that accepted it, so one check is enough.
func (f *Fleet) verifyIncarnation(ctx context.Context, conn drpc.Conn, inst *api.Instance) error {
	resp, err := f.exchangeHeartbeat(ctx, conn, inst, true)
	if err != nil {
		return err
	}
	f.applyResponse(resp)
	if resp.GetFrom().GetIncarnation() != inst.GetIncarnation() {
		f.recordSuperseded(instance.Incarnation(inst.GetIncarnation()), resp.GetFrom())
		return errWrongIncarnation
	}
	return nil
}

// closePools closes all connection pools.
func (f *Fleet) closePools() {
	f.mu.Lock()
	pools := f.pools
	f.pools = make(map[instance.Incarnation]*pool)
	f.mu.Unlock()
	for _, p := range pools {
		p.shutDown()
	}
}

// poolsToSweep returns all pools once per idleSweepInterval and none at other ticks. f.mu must be held.
func (f *Fleet) poolsToSweep() []*pool {
	if f.tick%idleSweepInterval != 0 {
		return nil
	}
	return slices.Collect(maps.Values(f.pools))
}

// closePool closes the connections to an incarnation that failed or was superseded. If it recovers, a new pool is opened.
func (f *Fleet) closePool(id instance.Incarnation) {
	f.mu.Lock()
	p := f.pools[id]
	delete(f.pools, id)
	f.mu.Unlock()
	if p != nil {
		p.shutDown()
	}
}
