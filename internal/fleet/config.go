package fleet

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/internal/standin"
	"pumiceshelf/node"
	"pumiceshelf/settings"
)

// Names in the bundles that Bundle returns.
const (
	DoseModel    = "dose-schedule"
	PriceModel   = "price-suggestion"
	PlanService  = "plan-records"
	TillService  = "sorting-tables"
	PlanPrefix   = "/plans/"
	TillPrefix   = "/tills/"
	MainBudget   = "main"
	operatorID   = "operator-1"
	loopbackPort = "127.0.0.1:0"
)

// Config describes a fleet to start.
type Config struct {
	// Domains are the failure domains, each with its own instances and endpoints.
	Domains            []string
	InstancesPerDomain int
	EnginesPerDomain   int
	PlainPerDomain     int
	Models             []*api.Model
	Services           []*api.Service
	Customers          []Customer
	// Engine is the pattern of every engine; its id and models are filled in.
	Engine standin.EngineConfig
	// Adjust changes the settings of every instance; nil changes nothing.
	Adjust   func(*api.Settings)
	Policies node.Policies
	Seed     uint64
}

// Customer of a fleet with one budget.
type Customer struct {
	ID     string
	Tokens uint64
	Weight uint32
}

// Key returns the bearer token of a customer.
func Key(customer string) string { return "key-of-" + customer }

// Deployment returns the sizes and names of one of the two deployments of the brief, by name.
func Deployment(name string) Config {
	if name == PrecioJusto {
		return Config{
			Domains:            []string{"heredia", "alajuela", "cartago"},
			InstancesPerDomain: 2,
			EnginesPerDomain:   3,
			PlainPerDomain:     1,
			Models:             []*api.Model{{Id: PriceModel, DefaultCapTokens: 64, MaxCapTokens: 512, ImageBoundTokens: 256, TemplateBoundTokens: 16, Version: "1"}},
			Services:           []*api.Service{{Id: TillService, PathPrefix: TillPrefix, NonIdempotentMethods: []string{"POST"}, Timeout: durationpb.New(2 * time.Second)}},
		}
	}
	return Config{
		Domains:            []string{"muttrah", "ruwi", "seeb"},
		InstancesPerDomain: 2,
		EnginesPerDomain:   4,
		PlainPerDomain:     1,
		Models:             []*api.Model{{Id: DoseModel, DefaultCapTokens: 64, MaxCapTokens: 512, ImageBoundTokens: 256, TemplateBoundTokens: 16, Version: "1", NonIdempotent: true}},
		Services:           []*api.Service{{Id: PlanService, PathPrefix: PlanPrefix, NonIdempotentMethods: []string{"POST"}, Timeout: durationpb.New(2 * time.Second)}},
	}
}

// Names of the two deployments.
const (
	AlWusta     = "al-wusta"
	PrecioJusto = "precio-justo"
)

// settingsFor returns the settings of one instance.
func (f *Fleet) settingsFor(name, domain string) *api.Settings {
	s := settings.Default()
	s.Name = name
	s.Domain = domain
	s.Region = "region-1"
	s.CallerAddress = loopbackPort
	s.PeerAddress = loopbackPort
	s.AdminAddress = loopbackPort
	s.PlatformUrl = f.PlatformURL()
	s.FirstOperators = []*api.OperatorKey{f.operatorKey()}
	s.FirstThreshold = 1
	if f.config.Adjust != nil {
		f.config.Adjust(s)
	}
	return s
}

func (f *Fleet) operatorKey() *api.OperatorKey {
	return &api.OperatorKey{Id: operatorID, PublicKey: f.operator.Public().(ed25519.PublicKey)}
}

// Bundle returns the bundle of the fleet with a number and the customers' grants.
func (f *Fleet) Bundle(number uint64) *api.Bundle {
	b := &api.Bundle{
		Number:          number,
		Operators:       []*api.OperatorKey{f.operatorKey()},
		Threshold:       1,
		Models:          f.config.Models,
		Services:        f.config.Services,
		ConcurrentLoads: 2,
	}
	for _, c := range f.config.Customers {
		b.Customers = append(b.Customers, customer(c))
	}
	for _, e := range f.Engines {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: e.ID, Domain: e.Domain, Url: e.URL, Models: f.ModelIDs(), Concurrency: uint32(f.config.Engine.Slots), ChecksFencing: f.config.Engine.ChecksFencing})
	}
	for _, p := range f.Plains {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: p.ID, Domain: p.Domain, Url: p.URL, Service: p.Service})
	}
	return b
}

func customer(c Customer) *api.Customer {
	hash := bundle.HashKey(Key(c.ID))
	return &api.Customer{
		Id:        c.ID,
		KeyHashes: [][]byte{hash[:]},
		Weight:    c.Weight,
		Budgets:   []*api.Budget{{Id: MainBudget, Grants: []*api.Grant{{Id: "first", Tokens: c.Tokens}}}},
	}
}

// ModelIDs returns the models that every engine of the fleet serves.
func (f *Fleet) ModelIDs() []string {
	var ids []string
	for _, m := range f.config.Models {
		ids = append(ids, m.Id)
	}
	return ids
}

func instanceName(domain string, i int) string { return fmt.Sprintf("%s-%d", domain, i+1) }

// TemplateBound returns the most tokens that the engine's chat template adds per message, over all models.
func (f *Fleet) TemplateBound() int {
	bound := uint64(0)
	for _, m := range f.config.Models {
		bound = max(bound, m.TemplateBoundTokens)
	}
	return int(bound)
}

// SettingsFile returns the settings of an instance that runs as a process of its own, as JSON. The ports are the addresses
// for callers, peers and operators.
func (f *Fleet) SettingsFile(name, domain string, ports []string) string {
	s := f.settingsFor(name, domain)
	s.CallerAddress, s.PeerAddress, s.AdminAddress = ports[0], ports[1], ports[2]
	return protojson.Format(s)
}

// Ports that FreePorts chooses from: below those that the system gives to outgoing connections, which could take a port
// between its choice and its use.
const (
	firstPort = 15000
	portCount = 15000
)

// FreePorts returns loopback addresses that nothing listens on now.
func FreePorts(count int) ([]string, error) {
	var out []string
	for range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount)))
		if err != nil {
			continue
		}
		defer l.Close()
		out = append(out, l.Addr().String())
		if len(out) == count {
			return out, nil
		}
	}
	return nil, errors.New("fleet: no free ports")
}
