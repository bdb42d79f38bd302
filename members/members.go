// Package members lets instances discover each other through the object store. While the store is unavailable to some of
// them, they request newer configuration, endpoints and tokens from each other. They also pass on the limits of endpoints,
// the origins of streams, and evidence about prompt parts that crash endpoints. No guarantee depends on the list of members:
// it only provides addresses for requests and the instances among which limits are divided.
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
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"

	"pumiceshelf/api"
	"pumiceshelf/endpointlimit"
	"pumiceshelf/endpointload"
	"pumiceshelf/follow"
	"pumiceshelf/instance"
	"pumiceshelf/objectstore"
	"pumiceshelf/origin"
	"pumiceshelf/prepaid"
	"pumiceshelf/quarantine"
)

const (
	// Collection is the collection that holds one object for each instance.
	Collection = "pumiceshelf-instances"
	// listInterval is the mean time between two listings of the members.
	listInterval = 5 * time.Second
	// startListInterval is that until freshListings have succeeded: instances that start together do not find each other in the first
	// one, and all whose first one failed lease tokens each for itself until the next.
	startListInterval = 700 * time.Millisecond
	// freshListings is the number of listings at the start that must not be stale.
	freshListings = 2
	// callTimeout bounds a request to another instance. The network round trip is a few milliseconds.
	callTimeout = 300 * time.Millisecond
	// idleConnTimeout is how long an idle connection to another instance is kept, maxIdleConns how many are kept for each
	// instance.
	idleConnTimeout = 10 * time.Second
	maxIdleConns    = 4
	// borrowTimeout bounds borrowing from several instances in turn, while requests wait for the tokens.
	borrowTimeout = 300 * time.Millisecond
	// maxPeersQueried bounds the number of instances that are queried. It is more than one because some may also be
	// disconnected from the store.
	maxPeersQueried = 4
)

// lenient decodes what another release may have written, with fields that this one does not know.
var lenient = protojson.UnmarshalOptions{DiscardUnknown: true}

// Config configures Members.
type Config struct {
	Store       objectstore.Store
	Collections objectstore.Collections
	Incarnation instance.Incarnation
	// Self is the entry that other instances read about this one.
	Self *api.FleetMember
	// Seeds are the peer addresses to use until other instances are listed.
	Seeds []string
	Dial  func(ctx context.Context, address string) (net.Conn, error)
	Clock clockwork.Clock
	Log   log.Interface
	// Metrics is the registry of the instance's metrics. It may be nil.
	Metrics metrics.Registry
	// Configuration and Endpoints return this instance's cached listings, to serve requests of other instances.
	Configuration, Endpoints func() *objectstore.Listing
	// Evacuations does the same for evacuated failure domains. It returns nil, or may be nil, if this instance does not follow them.
	Evacuations func() *objectstore.Listing
	// Follower returns what keeps this instance's snapshot of a collection of the store, or nil if there is none. It serves the
	// instances that get their changes from this one.
	Follower func(collection string) *follow.Follower
	// Lend passes on up to the given number of tokens of a customer's budget, and returns how many.
	Lend func(ctx context.Context, id prepaid.TransferID, customer string, tokens int64) int64
	// Allocate passes tokens of a customer's budget on to an instance of the same failure domain: from the needed to the
	// wanted number, or none.
	Allocate func(ctx context.Context, id prepaid.TransferID, customer string, rank int, needed, wanted int64) prepaid.Allocation
	// Abandon takes back the tokens of requests of another instance that did not receive the responses.
	Abandon func(borrower instance.Incarnation, sequences []uint64)
	// AcceptReturn adds the tokens that another instance passes back. It returns false if they are for another incarnation.
	AcceptReturn func(prepaid.Return) bool
	// TakeBack makes tokens available again that could not be passed back.
	TakeBack func(tokens map[string]int64)
	// WitnessMarks and SealMarks serve the holders of leases that this instance witnesses, see package prepaid. They may be nil.
	WitnessMarks func(holder, witness instance.Incarnation, marks map[string]int64) bool
	SealMarks    func(holder, witness instance.Incarnation) (marks map[string]int64, known bool)
	// Limits holds the endpoint limits that this instance exchanges with others.
	Limits *endpointlimit.Limits
	// AsksForCold is set if endpoints may be cold, so that an instance asks others for these when it starts.
	AsksForCold bool
	// Quarantine holds the evidence about prompt parts that this instance exchanges with others.
	Quarantine *quarantine.Tracker
	// Origins holds the origins of streams that this instance keeps, for itself and for others.
	Origins *origin.Store
	// Versions returns the software versions that a service had lately, and whether they cover a time that is longer than any
	// stream.
	Versions func(service string) (versions []string, complete bool)
	// Losses holds the losses of connections to endpoints that this instance exchanges with others. If nil, it exchanges none.
	Losses Losses
	// Loads holds the load reports of endpoints that this instance exchanges with others.
	Loads *endpointload.Table
	// Explain tells what this instance would do with a request. If nil, it cannot tell.
	Explain func(*api.ExplainRequest) *api.ExplainReply
	// CanConnect reports whether this instance can connect to an endpoint, if it is listed with that address.
	CanConnect func(ctx context.Context, id, address string) bool
	// Unanswered is called for each loan or allocation request without a response. It may be nil.
	Unanswered func(customer string, tokens int64)
	// ParkedByLostResponse is called with tokens that may be parked: no response said whether another instance has them, and it
	// is not asked any more. It may be nil.
	ParkedByLostResponse func(tokens int64)
}

// Members is the list of instances. It is safe for concurrent use.
type Members struct {
	config       Config
	roster       atomic.Pointer[roster]
	pool         *drpcpool.Pool[string, drpcpool.Conn]
	unresponsive unresponsiveSet
	unanswered   unansweredRequests
	contact      evidenceContact
	loads        loadExchange
	originQueue  chan origin.Origin
	returnQueue  chan outgoingReturn
	lendSequence atomic.Uint64
	// lossesPassedOn is the sequence number of the last loss that was sent to other instances.
	lossesPassedOn atomic.Uint64
	// returnSequence numbers the returns of tokens, which are sent in this order.
	returnSequence atomic.Uint64
	// listings counts the successful listings, up to freshListings.
	listings int
	// entryVersion is the version of this instance's entry, zero if it is not in the store.
	entryVersion objectstore.Version
}

// New returns a list that contains only the seeds.
func New(c Config) *Members {
	if c.Loads == nil {
		c.Loads = endpointload.New()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	m := &Members{
		config: c, pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleConnTimeout, KeyCapacity: maxIdleConns}),
		originQueue: make(chan origin.Origin, originQueueSize), returnQueue: make(chan outgoingReturn, 1),
	}
	m.loads.init(c.Metrics)
	m.contact.init()
	m.applyListing(nil)
	return m
}

// applyListing replaces the roster. A listing without other instances, as at the start of a fleet, is replaced by the
// seeds. The domains of the seeds are unknown, so none of them is a token holder.
func (m *Members) applyListing(list []*api.FleetMember) {
	r := newRoster(list, m.config.Self)
	if len(r.others) == 0 {
		var seeds []*api.FleetMember
		for _, address := range m.config.Seeds {
			seeds = append(seeds, &api.FleetMember{PeerAddress: address})
		}
		r = newRoster(seeds, m.config.Self)
	}
	r.listed, r.settled = list != nil || m.listings > 0, m.listings >= freshListings
	m.roster.Store(r)
}

// Count returns the number of instances in the last listing, including this one.
func (m *Members) Count() int { return len(m.roster.Load().others) + 1 }

// Run registers this instance and lists the others periodically until the context ends.
func (m *Members) Run(ctx context.Context) error {
	defer m.closeConns()
	for {
		if err := m.refresh(ctx); err != nil && ctx.Err() == nil {
			m.config.Log.WithError(err).Info("members: refresh failed")
		}
		interval := listInterval
		if m.listings < freshListings {
			interval = startListInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(interval/2 + rand.N(interval)):
		}
	}
}

// Explain implements the Fleet service.
func (m *Members) Explain(_ context.Context, request *api.ExplainRequest) (*api.ExplainReply, error) {
	if m.config.Explain == nil {
		return nil, errors.New("members: this instance explains no requests")
	}
	return m.config.Explain(request), nil
}

// closeConns closes the idle connections to other instances.
func (m *Members) closeConns() {
	if err := m.pool.Close(); err != nil {
		m.config.Log.WithError(err).Info("members: closing a connection failed")
	}
}

// refresh registers this instance if necessary and lists the others.
func (m *Members) refresh(ctx context.Context) error {
	if err := m.register(ctx); err != nil {
		return err
	}
	// A listing may be a few seconds old, except for the first ones.
	listing := m.config.Collections.ListAllowStale
	if m.listings < freshListings {
		listing = m.config.Collections.ListAll
	}
	l, err := listing(ctx, Collection)
	if err != nil {
		return err
	}
	m.listings = min(m.listings+1, freshListings)
	var list []*api.FleetMember
	registered := false
	for _, o := range l.Objects {
		member, err := decodeMember(o)
		if err != nil {
			m.config.Log.WithField("key", o.Key).WithError(err).Warn("members: invalid entry")
			continue
		}
		registered = registered || member.Incarnation == m.config.Self.Incarnation
		list = append(list, member)
	}
	if !registered {
		// The listing is older than the entry, or the store came back from a copy without it.
		m.entryVersion = 0
	}
	m.applyListing(list)
	if m.listings == 1 {
		close(m.contact.listed)
	}
	return nil
}

// decodeMember decodes the entry of an instance. Each has a name and an address, without which limits could not be divided among the
// instances.
func decodeMember(o objectstore.Object) (*api.FleetMember, error) {
	member := &api.FleetMember{}
	if err := lenient.Unmarshal(o.Value, member); err != nil {
		return nil, fmt.Errorf("members: entry %s: %w", o.Key, err)
	}
	if nameOf(member) == "" {
		return nil, fmt.Errorf("members: entry %s: incarnation %.80q has no name", o.Key, member.Incarnation)
	}
	if _, port, err := net.SplitHostPort(member.PeerAddress); err != nil || port == "" || port == "0" {
		return nil, fmt.Errorf("members: entry %s: peerAddress is %.80q, want a host and port", o.Key, member.PeerAddress)
	}
	return member, nil
}

// key returns the key of this instance's entry.
func (m *Members) key() string { return Collection + "/" + m.config.Incarnation.Name() }

// register writes this instance's entry once, and replaces an entry of an earlier incarnation.
func (m *Members) register(ctx context.Context) error {
	if m.entryVersion != 0 {
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
			m.entryVersion = version
		}
		return err
	}
	return objectstore.ErrConflict
}

// Deregister removes this instance's entry. Run must have returned.
func (m *Members) Deregister(ctx context.Context) error {
	if m.entryVersion == 0 {
		return nil
	}
	return m.config.Store.Delete(ctx, m.key(), m.entryVersion)
}

// FetchNewerConfiguration requests the configuration from several instances and returns the newest response. It returns
// false if none is newer than the given revision.
func (m *Members) FetchNewerConfiguration(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
	return m.fetchNewer(ctx, &api.NewestRequest{ConfigurationRevision: uint64(after), EndpointsRevision: ^uint64(0)},
		(*api.NewestReply).GetConfiguration)
}

// FetchNewerEndpoints requests the endpoints from several instances and returns the newest response. It returns false if
// none is newer than the given revision.
func (m *Members) FetchNewerEndpoints(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
	return m.fetchNewer(ctx, &api.NewestRequest{ConfigurationRevision: ^uint64(0), EndpointsRevision: uint64(after)},
		(*api.NewestReply).GetEndpoints)
}

// FetchNewerEvacuations requests the evacuated failure domains from several instances and returns the newest response. It returns
// false if none is newer than the given revision.
func (m *Members) FetchNewerEvacuations(ctx context.Context, after objectstore.Revision) (objectstore.Listing, bool) {
	request := &api.NewestRequest{ConfigurationRevision: ^uint64(0), EndpointsRevision: ^uint64(0), EvacuationsRevision: proto.Uint64(uint64(after))}
	return m.fetchNewer(ctx, request, (*api.NewestReply).GetEvacuations)
}

// fetchNewer queries several instances at the same time and returns the newest collection.
func (m *Members) fetchNewer(ctx context.Context, request *api.NewestRequest, collectionOf func(*api.NewestReply) *api.Collection) (objectstore.Listing, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	addresses := m.roster.Load().sample()
	responses := make(chan *api.Collection, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := m.callNewest(ctx, address, request)
			if err != nil && !errors.Is(err, context.Canceled) {
				m.config.Log.WithField("address", address).WithError(err).Info("members: query of another instance failed")
			}
			responses <- collectionOf(reply)
		}()
	}
	var newest *api.Collection
	for range addresses {
		if c := <-responses; c != nil && c.Revision > newest.GetRevision() {
			newest = c
		}
	}
	return decodeListing(newest), newest != nil
}

// callNewest sends a query to one instance on a new connection.
func (m *Members) callNewest(ctx context.Context, address string, request *api.NewestRequest) (*api.NewestReply, error) {
	conn, err := m.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	client := drpcconn.New(conn)
	defer client.Close()
	return api.NewDRPCFleetClient(client).Newest(ctx, request)
}

// Serve serves requests of other instances on the listener until the context ends.
func (m *Members) Serve(ctx context.Context, l net.Listener) error {
	mux := drpcmux.New()
	if err := api.DRPCRegisterFleet(mux, m); err != nil {
		return fmt.Errorf("members: register service: %w", err)
	}
	if err := api.DRPCRegisterWitness(mux, witnessServer{m}); err != nil {
		return fmt.Errorf("members: register service of witnesses: %w", err)
	}
	return drpcserver.New(mux).Serve(ctx, l)
}

// Newest implements the Fleet service.
func (m *Members) Newest(_ context.Context, request *api.NewestRequest) (*api.NewestReply, error) {
	reply := &api.NewestReply{
		Configuration: encodeNewer(m.config.Configuration(), request.ConfigurationRevision),
		Endpoints:     encodeNewer(m.config.Endpoints(), request.EndpointsRevision),
	}
	if request.EvacuationsRevision != nil && m.config.Evacuations != nil {
		reply.Evacuations = encodeNewer(m.config.Evacuations(), *request.EvacuationsRevision)
	}
	return reply, nil
}

// encodeNewer encodes a listing, or returns nil if it is not newer than the given revision.
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

// decodeListing decodes the listing that another instance sent.
func decodeListing(c *api.Collection) objectstore.Listing {
	out := objectstore.Listing{Revision: objectstore.Revision(c.GetRevision())}
	for _, o := range c.GetObjects() {
		out.Objects = append(out.Objects, objectstore.Object{Key: o.Key, Version: objectstore.Version(o.Version), Value: o.Value})
	}
	return out
}
