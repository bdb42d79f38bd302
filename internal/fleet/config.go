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

// Names in the bundles that Bundle returns, and the listen address, whose port the system chooses.
const (
	DoseModel       = "dose-schedule"
	PriceModel      = "price-suggestion"
	PlanService     = "plan-records"
	TillService     = "sorting-tables"
	PlanPrefix      = "/plans/"
	TillPrefix      = "/tills/"
	MainBudget      = "main"
	operatorID      = "operator-1"
	loopbackAddress = "127.0.0.1:0"
)

// Config configures a fleet.
type Config struct {
	// Domains are the failure domains, each with its own instances and endpoints.
	Domains            []string
	InstancesPerDomain int
	EnginesPerDomain   int
	PlainPerDomain     int
	Models             []*api.Model
	Services           []*api.Service
	Customers          []Customer
	// Engine is the template for every engine; its ID and models are filled in.
	Engine standin.EngineConfig
	// AdjustSettings changes the settings of every instance; nil changes nothing.
	AdjustSettings func(*api.Settings)
	Policies       node.Policies
	Seed           uint64
}

// Customer is a customer with one budget.
type Customer struct {
	ID     string
	Tokens uint64
	Weight uint32
}

// APIKey returns the bearer token of a customer.
func APIKey(customer string) string { return "key-of-" + customer }

// DeploymentConfig returns the configuration of a deployment of the project's users, AlWusta or PrecioJusto. Any name
// other than PrecioJusto selects AlWusta.
func DeploymentConfig(name string) Config {
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

// settingsFor returns the settings of an instance.
func (f *Fleet) settingsFor(name, domain string) *api.Settings {
	s := settings.Default()
	s.Name = name
	s.Domain = domain
	s.Region = "region-1"
	s.CallerAddress = loopbackAddress
	s.PeerAddress = loopbackAddress
	s.AdminAddress = loopbackAddress
	s.PlatformUrl = f.PlatformURL()
	s.FirstOperators = []*api.OperatorKey{f.operatorKey()}
	s.FirstThreshold = 1
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(s)
	}
	return s
}

func (f *Fleet) operatorKey() *api.OperatorKey {
	return &api.OperatorKey{Id: operatorID, PublicKey: f.operator.Public().(ed25519.PublicKey)}
}

// Bundle returns the fleet's bundle with the given number and the customers' initial grants.
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
		b.Customers = append(b.Customers, bundleCustomer(c))
	}
	for _, e := range f.Engines {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: e.ID, Domain: e.Domain, Url: e.URL, Models: f.ModelIDs(), Concurrency: uint32(f.config.Engine.Slots), ChecksFencing: f.config.Engine.ChecksFencing})
	}
	for _, p := range f.Plains {
		b.Endpoints = append(b.Endpoints, &api.Endpoint{Id: p.ID, Domain: p.Domain, Url: p.URL, Service: p.Service})
	}
	return b
}

func bundleCustomer(c Customer) *api.Customer {
	hash := bundle.HashKey(APIKey(c.ID))
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

// SettingsJSON returns the settings of an instance that runs as a separate process, as JSON. Addresses holds its listen
// addresses for callers, peers and operators, in this order.
func (f *Fleet) SettingsJSON(name, domain string, addresses []string) string {
	s := f.settingsFor(name, domain)
	s.CallerAddress, s.PeerAddress, s.AdminAddress = addresses[0], addresses[1], addresses[2]
	return protojson.Format(s)
}

// Range of ports that FreeAddresses chooses from. It lies below the system's ephemeral ports, because an outgoing
// connection could take an ephemeral port between its choice and its use.
const (
	firstPort = 15000
	portRange = 15000
)

// FreeAddresses returns loopback addresses that nothing listens on at present.
func FreeAddresses(count int) ([]string, error) {
	var out []string
	for range portRange {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portRange)))
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
