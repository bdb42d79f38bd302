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

// fleet connects keepers in memory; calls go through the wire's encoding.
type fleet struct {
	objects *standin.Objects

	mu      sync.Mutex
	keepers map[instance.Incarnation]*Keeper
	members map[instance.Incarnation]*peer.Member
	// cut holds instances that no other reaches.
	cut map[instance.Incarnation]bool
	// side tells, while a cut between domains lasts, on which side of it each instance is.
	side  map[instance.Incarnation]int
	stops []func()
}

func newFleet() *fleet {
	return &fleet{
		objects: standin.NewObjects(),
		keepers: make(map[instance.Incarnation]*Keeper),
		members: make(map[instance.Incarnation]*peer.Member),
		cut:     make(map[instance.Incarnation]bool),
		side:    make(map[instance.Incarnation]int),
	}
}

func (f *fleet) start(name string, change ...func(*Config)) *Keeper {
	inst := &api.Instance{Name: name, Incarnation: string(instance.NewIncarnation(name)), Domain: "x"}
	id := instance.Incarnation(inst.Incarnation)
	end := &fleetEnd{fleet: f, self: inst}
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
		Store:   f.objects.Link(name),
		View:    end,
		Conns:   end,
	}
	for _, c := range change {
		c(&cfg)
	}
	k := New(cfg)
	k.pace = rate.Inf
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = k.Run(ctx) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[id] = k
	f.members[id] = &peer.Member{Instance: inst, Live: true, PlatformReachable: true}
	f.stops = append(f.stops, func() { cancel(); done.Wait() })
	return k
}

func (f *fleet) stop() {
	for _, s := range f.stops {
		s()
	}
}

// lose makes an instance unreachable, and no longer live if gone is set.
func (f *fleet) lose(k *Keeper, gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[k.self] = true
	f.members[k.self].Live = !gone
}

// fleetEnd is one instance's view and connections.
type fleetEnd struct {
	fleet *fleet
	self  *api.Instance
}

func (e *fleetEnd) Self() *api.Instance { return e.self }

func (e *fleetEnd) Members() []peer.Member {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	var out []peer.Member
	for _, m := range e.fleet.members {
		out = append(out, *m)
	}
	return out
}

func (e *fleetEnd) Live(instance.Domain) []*api.Instance { return nil }
func (e *fleetEnd) Owner(string) *api.Instance           { return e.self }
func (e *fleetEnd) Ranked(string) []*api.Instance        { return nil }
func (e *fleetEnd) Changed() <-chan struct{}             { return nil }
func (e *fleetEnd) incarnation() instance.Incarnation {
	return instance.Incarnation(e.self.GetIncarnation())
}
func (c *fleetConn) Close() error            { return nil }
func (c *fleetConn) Closed() <-chan struct{} { return nil }
func (c *fleetConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, errors.New("no streams")
}

func (e *fleetEnd) Conn(_ context.Context, id instance.Incarnation) (drpc.Conn, error) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	m := e.fleet.members[id]
	if m == nil || !m.Live {
		return nil, peer.ErrNoMember
	}
	return &fleetConn{end: e, to: id}, nil
}

type fleetConn struct {
	end *fleetEnd
	to  instance.Incarnation
}

// Invoke implements drpc.Conn.
func (c *fleetConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	f := c.end.fleet
	f.mu.Lock()
	from := c.end.incarnation()
	k, cut := f.keepers[c.to], f.cut[c.to] || f.cut[from] || f.side[c.to] != f.side[from]
	f.mu.Unlock()
	if cut {
		return errors.New("cut")
	}
	var desc api.DRPCClaimPeerDescription
	for n := range desc.NumMethods() {
		name, _, receive, _, _ := desc.Method(n)
		if name != rpc {
			continue
		}
		answer, err := receive(k, ctx, proto.Clone(in.(proto.Message)), nil)
		if err != nil {
			return err
		}
		data, err := enc.Marshal(answer)
		if err != nil {
			return err
		}
		return enc.Unmarshal(data, out)
	}
	return fmt.Errorf("no method %s", rpc)
}

// dose is a non-idempotent request with a key and body. As in the server, requests with the same key share their id.
func dose(key, body string) Request {
	k := claim.ParseKey("al-wusta", key)
	return Request{
		Key:       k.Hash,
		Form:      k.Form,
		Issued:    k.Issued,
		KeyTime:   k.Time,
		Body:      claim.HashBody("POST", "/v1/chat/completions", []byte(body)),
		RequestID: "request of " + key,
		Wait:      testWait,
	}
}

func first(r Request) Request {
	r.FirstAttempt = true
	return r
}

func short(r Request) Request {
	r.Wait = testClaimWait / 3
	return r
}

func answered(body string) Outcome {
	return Outcome{Kind: Answered, Status: 200, ContentType: "application/json", Body: []byte(body)}
}

// mend makes all instances reachable and live.
func (f *fleet) mend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
	for _, m := range f.members {
		m.Live = true
	}
}
