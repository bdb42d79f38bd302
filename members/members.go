// Package members lets instances find each other through the object store and ask each other for newer copies of what
// the store holds, while the store refuses some of them. No promise rests on the list of members: it gives addresses to
// ask and a number to share bounds by.
package members

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/encoding/protojson"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/prepaid"
)

const (
	// Collection holds an object for each instance.
	Collection = "pumiceshelf-instances"
	// listInterval is the time between two listings of the members.
	listInterval = 5 * time.Second
	// callTimeout bounds a question to another instance, which is some milliseconds away.
	callTimeout = 300 * time.Millisecond
	// idleConn is how long an unused connection to another instance is kept, and connsKept how many of one instance are.
	idleConn  = 10 * time.Second
	connsKept = 4
	// borrowTimeout bounds asking several instances for tokens, while requests wait for them.
	borrowTimeout = 300 * time.Millisecond
	// askedAtOnce is how many instances are asked: some may be cut off too.
	askedAtOnce = 4
)

// Config of Members.
type Config struct {
	Store       objectstore.Store
	Collections objectstore.Collections
	Incarnation instance.Incarnation
	// Self is what others see of this instance.
	Self *api.FleetMember
	// Seeds are peer addresses known at the start.
	Seeds []string
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Clock clockwork.Clock
	Log   log.Interface
	// Configuration and Endpoints return what this instance holds, for others that ask.
	Configuration, Endpoints func() *objectstore.Listing
	// Lend gives up to the given tokens of a customer's budget away.
	Lend func(ctx context.Context, customer string, tokens int64) int64
	// Provide gives tokens of a customer's budget, at least those needed, to an instance of the same failure domain.
	Provide func(ctx context.Context, customer string, needed, wanted int64) prepaid.Provision
}

// Members is the list of instances. It is safe for concurrent use.
type Members struct {
	config Config
	roster atomic.Pointer[roster]
	pool   *drpcpool.Pool[string, drpcpool.Conn]
	silent silences
	// listed says that the instances have been listed once.
	listed bool
	// version of the own entry; zero when it is not in the store.
	version objectstore.Version
}

// New returns a list that knows the seeds only.
func New(c Config) *Members {
	m := &Members{config: c, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleConn, KeyCapacity: connsKept})}
	m.see(nil)
	return m
}

// see takes a listing in. One without other instances, as at the start of a fleet, leaves the seeds, whose domains are not
// known, so that none of them is a holder.
func (m *Members) see(list []*api.FleetMember) {
	r := newRoster(list, m.config.Self)
	if len(r.others) == 0 {
		var seeds []*api.FleetMember
		for _, address := range m.config.Seeds {
			seeds = append(seeds, &api.FleetMember{PeerAddress: address})
		}
		r = newRoster(seeds, m.config.Self)
	}
	m.roster.Store(r)
}

// Count returns how many instances there are as far as is known, itself included.
func (m *Members) Count() int { return len(m.roster.Load().others) + 1 }

// Run registers this instance and lists the others until the context ends.
func (m *Members) Run(ctx context.Context) error {
	defer m.closeConns()
	for {
		if err := m.refresh(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.WithError(err).Info("members: not refreshed")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(listInterval/2 + rand.N(listInterval)):
		}
	}
}

// closeConns closes the connections that are kept to other instances.
func (m *Members) closeConns() {
	if err := m.pool.Close(); err != nil {
		m.config.Log.WithError(err).Info("members: a connection did not close")
	}
}

func (m *Members) refresh(ctx context.Context) error {
	if err := m.register(ctx); err != nil {
		return err
	}
	// A listing that is some seconds old is good enough, but for the first one.
	listing := m.config.Collections.ListAllowStale
	if !m.listed {
		listing = m.config.Collections.ListAll
	}
	l, err := listing(ctx, Collection)
	if err != nil {
		return err
	}
	m.listed = true
	var list []*api.FleetMember
	for _, o := range l.Objects {
		member := &api.FleetMember{}
		if err := protojson.Unmarshal(o.Value, member); err != nil {
			m.config.Log.WithField("key", o.Key).WithError(err).Warn("members: entry not readable")
			continue
		}
		list = append(list, member)
	}
	m.see(list)
	return nil
}

func (m *Members) key() string { return Collection + "/" + m.config.Incarnation.Name() }

// register writes this instance's entry once. An entry of an earlier incarnation is replaced.
func (m *Members) register(ctx context.Context) error {
	if m.version != 0 {
		return nil
	}
	value, err := protojson.Marshal(m.config.Self)
	if err != nil {
		return fmt.Errorf("members: encode entry: %w", err)
	}
	var expected objectstore.Version
	for range 2 {
		version, err := m.config.Store.Put(ctx, m.key(), value, expected)
		var conflict *objectstore.ConflictError
		if errors.As(err, &conflict) {
			expected = conflict.Current.Version
			continue
		}
		if err == nil {
			m.version = version
		}
		return err
	}
	return objectstore.ErrConflict
}

// Leave removes this instance's entry. Run must have returned.
func (m *Members) Leave(ctx context.Context) error {
	if m.version == 0 {
		return nil
	}
	return m.config.Store.Delete(ctx, m.key(), m.version)
}

// NewestConfiguration asks some instances for a configuration newer than a revision.
func (m *Members) NewestConfiguration(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
	return m.newest(ctx, &api.NewestRequest{ConfigurationRevision: uint64(after), EndpointsRevision: ^uint64(0)},
		(*api.NewestReply).GetConfiguration)
}

// NewestEndpoints asks some instances for endpoints newer than a revision.
func (m *Members) NewestEndpoints(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
	return m.newest(ctx, &api.NewestRequest{ConfigurationRevision: ^uint64(0), EndpointsRevision: uint64(after)},
		(*api.NewestReply).GetEndpoints)
}

func (m *Members) newest(ctx context.Context, q *api.NewestRequest, pick func(*api.NewestReply) *api.Collection) (objectstore.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addresses := m.roster.Load().some()
	answers := make(chan *api.Collection, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := m.ask(ctx, address, q)
			if err != nil && !errors.Is(err, context.Canceled) {
				m.config.Log.WithField("address", address).WithError(err).Info("members: instance not asked")
			}
			answers <- pick(reply)
		}()
	}
	var best *api.Collection
	for range addresses {
		if c := <-answers; c != nil && c.Revision > best.GetRevision() {
			best = c
		}
	}
	return decode(best), best != nil
}

func (m *Members) ask(ctx context.Context, address string, q *api.NewestRequest) (*api.NewestReply, error) {
	conn, err := m.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client := drpcconn.New(conn)
	defer client.Close()
	return api.NewDRPCFleetClient(client).Newest(ctx, q)
}

// Serve answers other instances on the listener until the context ends.
func (m *Members) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := api.DRPCRegisterFleet(mux, m); err != nil {
		return fmt.Errorf("members: register service: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Newest implements the Fleet service.
func (m *Members) Newest(_ context.Context, q *api.NewestRequest) (*api.NewestReply, error) {
	return &api.NewestReply{
		Configuration: encodeNewer(m.config.Configuration(), q.ConfigurationRevision),
		Endpoints:     encodeNewer(m.config.Endpoints(), q.EndpointsRevision),
	}, nil
}

func encodeNewer(l *objectstore.Listing, after uint64) *api.Collection {
	if l == nil || uint64(l.Revision) <= after {
		return nil
	}
	out := &api.Collection{Revision: uint64(l.Revision)}
	for _, o := range l.Objects {
		out.Objects = append(out.Objects, &api.StoredObject{Key: o.Key, Version: uint64(o.Version), Value: o.Value})
	}
	return out
}

func decode(c *api.Collection) objectstore.Listing {
	out := objectstore.Listing{Revision: objectstore.Revision(c.GetRevision())}
	for _, o := range c.GetObjects() {
		out.Objects = append(out.Objects, objectstore.Object{Key: o.Key, Version: objectstore.Version(o.Version), Value: o.Value})
	}
	return out
}
