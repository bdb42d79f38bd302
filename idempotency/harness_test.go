package idempotency

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc"

	"pumiceshelf/api"
	"pumiceshelf/claim"
	"pumiceshelf/instance"
	"pumiceshelf/internal/standin"
	"pumiceshelf/peer"
)

const (
	testClaimWait = 300 * time.Millisecond
	testWait      = 10 * time.Second
)

// fleet connects managers in memory. Messages are encoded and decoded as on the network.
type fleet struct {
	objects *standin.Objects

	mu       sync.Mutex
	managers map[instance.Incarnation]*Manager
	members  map[instance.Incarnation]*peer.Member
	// disconnected holds instances that no other instance can reach.
	disconnected map[instance.Incarnation]bool
	// partition maps instances to their side of a partition between domains. Calls between sides fail.
	partition map[instance.Incarnation]int
	stops     []func()
}

func newFleet() *fleet {
	return &fleet{
		objects:      standin.NewObjects(),
		managers:     make(map[instance.Incarnation]*Manager),
		members:      make(map[instance.Incarnation]*peer.Member),
		disconnected: make(map[instance.Incarnation]bool),
		partition:    make(map[instance.Incarnation]int),
	}
}

func (f *fleet) start(name string, change ...func(*Config)) *Manager {
	inst := &api.Instance{Name: name, Incarnation: string(instance.NewIncarnation(name)), Domain: "x"}
	id := instance.Incarnation(inst.Incarnation)
	link := &fleetLink{fleet: f, self: inst}
	cfg := Config{
		Settings: &api.ClaimSettings{
			Shards:           2,
			Retention:        durationpb.New(time.Hour),
			AnswerLimitBytes: 4 << 10,
			ClaimWait:        durationpb.New(testClaimWait),
		},
		Self:    inst,
		Clock:   clockwork.NewRealClock(),
		Log:     &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
		Metrics: metrics.NewRegistry(),
		Store:   f.objects.Client(name),
		View:    link,
		Conns:   link,
	}
	for _, apply := range change {
		apply(&cfg)
	}
	m := New(cfg)
	m.batchRate = rate.Inf
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = m.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.managers[id] = m
	f.members[id] = &peer.Member{Instance: inst, Live: true, PlatformReachable: true}
	f.stops = append(f.stops, func() { cancel(); done.Wait() })
	return m
}

func (f *fleet) stop() {
	for _, s := range f.stops {
		s()
	}
}

// disconnect makes an instance unreachable, and no longer live if dead is set.
func (f *fleet) disconnect(m *Manager, dead bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.disconnected[m.self] = true
	f.members[m.self].Live = !dead
}

// fleetLink is the view and the connections of one instance.
type fleetLink struct {
	fleet *fleet
	self  *api.Instance
}

func (l *fleetLink) Self() *api.Instance { return l.self }

func (l *fleetLink) Members() []peer.Member {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	var out []peer.Member
	for _, m := range l.fleet.members {
		out = append(out, *m)
	}
	return out
}

func (l *fleetLink) Live(instance.Domain) []*api.Instance { return nil }
func (l *fleetLink) Owner(string) *api.Instance           { return l.self }
func (l *fleetLink) Ranked(string) []*api.Instance        { return nil }
func (l *fleetLink) Changed() <-chan struct{}             { return nil }
func (l *fleetLink) incarnation() instance.Incarnation {
	return instance.Incarnation(l.self.GetIncarnation())
}
func (c *fleetConn) Close() error            { return nil }
func (c *fleetConn) Closed() <-chan struct{} { return nil }
func (c *fleetConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("streams are not supported")
}

func (l *fleetLink) Conn(_ context.Context, id instance.Incarnation) (drpc.Conn, error) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	m := l.fleet.members[id]
	if m == nil || !m.Live {
		return nil, peer.ErrNoMember
	}
	return &fleetConn{link: l, to: id}, nil
}

type fleetConn struct {
	link *fleetLink
	to   instance.Incarnation
}

// Invoke implements drpc.Conn.
func (c *fleetConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	f := c.link.fleet
	f.mu.Lock()
	from := c.link.incarnation()
	m, disconnected := f.managers[c.to], f.disconnected[c.to] || f.disconnected[from] || f.partition[c.to] != f.partition[from]
	f.mu.Unlock()
	if disconnected {
		return errors.New("disconnected")
	}
	var desc api.DRPCClaimPeerDescription
	for n := range desc.NumMethods() {
		name, _, receive, _, _ := desc.Method(n)
		if name != rpc {
			continue
		}
		resp, err := receive(m, ctx, proto.Clone(in.(proto.Message)), nil)
		if err != nil {
			return err
		}
		data, err := enc.Marshal(resp)
		if err != nil {
			return err
		}
		return enc.Unmarshal(data, out)
	}
	return fmt.Errorf("method %s does not exist", rpc)
}

// newRequest returns a non-idempotent request. As in the server, requests with the same key have the same request ID.
func newRequest(key, body string) Request {
	k := claim.ParseKey("al-wusta", key)
	return Request{
		Key:       k.Hash,
		Form:      k.Form,
		Issued:    k.Issued,
		KeyTime:   k.Time,
		Body:      claim.HashBody("POST", "/v1/chat/completions", []byte(body)),
		RequestID: "request of " + key,
		MaxWait:   testWait,
	}
}

// asFirstAttempt marks a request as the caller's first attempt.
func asFirstAttempt(r Request) Request {
	r.FirstAttempt = true
	return r
}

func withShortWait(r Request) Request {
	r.MaxWait = testClaimWait / 3
	return r
}

func completed(body string) Outcome {
	return Outcome{Kind: Completed, Status: 200, ContentType: "application/json", Body: []byte(body)}
}

// heal makes all instances reachable and live again. It does not end a partition between domains.
func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.disconnected)
	for _, m := range f.members {
		m.Live = true
	}
}
