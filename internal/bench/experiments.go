package bench

import (
	"slices"
	"time"

	"pumiceshelf/internal/fleet"
	"pumiceshelf/node"
)

const (
	engineSlots = 8
	engineStep  = 2 * time.Millisecond
	// ampleTokens is a budget large enough that no request is refused for lack of tokens.
	ampleTokens = 10_000_000
)

// customers are the customers in every experiment.
var customers = []string{"customer-a", "customer-b", "customer-c"}

// Experiment describes a load and the faults that the fleet is measured under.
type Experiment struct {
	Name string
	Help string
	// Policies lists the policies that can be compared; the first is the default.
	Policies []string

	load         load
	budgetTokens uint64
	// faults returns the faults of a run; it may choose them at random.
	faults func(*Run) []fault
	// setPolicy applies a policy to the instances; nil if the experiment does not compare policies of instances.
	setPolicy policySetter
	// adjustFleet changes the fleet's configuration for a policy; nil changes nothing.
	adjustFleet func(*fleet.Config, string)
	// slotsPerEngine defaults to engineSlots if zero.
	slotsPerEngine int
	// overloaded is set if the load exceeds what the engines can answer before the deadline.
	overloaded bool
}

// applyPolicy sets a policy in the instances' configuration. callerKeysPolicy concerns only the load.
func (e Experiment) applyPolicy(p *node.Policies, value string) {
	if e.setPolicy != nil && value != callerKeysPolicy {
		e.setPolicy(p, value)
	}
}

func (e Experiment) slots() int {
	if e.slotsPerEngine != 0 {
		return e.slotsPerEngine
	}
	return engineSlots
}

func fixedFaults(faults ...fault) func(*Run) []fault {
	return func(*Run) []fault { return faults }
}

// steadyLoad returns traffic well below the capacity of the engines.
func steadyLoad() load {
	return load{
		duration:        6 * time.Second,
		perSecond:       60,
		customers:       customers,
		keyedShare:      0.5,
		callerKeyShare:  0.5,
		atMostOnceShare: 0.5,
		streamedShare:   0.5,
		batchShare:      0.2,
		deadline:        5 * time.Second,
		capTokens:       32,
	}
}

// loadWithIssuedKeys returns steady traffic in which all idempotency keys are issued by the fleet. Callers need issued
// keys to be served while the platform cannot be reached.
func loadWithIssuedKeys() load {
	l := steadyLoad()
	l.callerKeyShare = 0
	return l
}

// burstLoad returns the requests of many devices that wake up at the same moment: three times what the engines can answer
// before the deadline. The engines get few slots (burstSlots), so that they are the bottleneck and not the instances and
// callers, which share this process.
func burstLoad() load {
	l := steadyLoad()
	l.simultaneous = true
	l.duration = time.Second
	l.perSecond = 2000
	l.deadline = 2 * time.Second
	return l
}

// burstSlots is the number of slots of each engine in the burst experiment.
const burstSlots = 2

// callerKeysPolicy is the policy under which callers generate their idempotency keys themselves.
const callerKeysPolicy = "own-keys"

var (
	budgetAndKeyPolicies = append(slices.Clone(budgetPolicies), callerKeysPolicy)
	budgetPolicies       = []string{"sealed", "small", "write-off"}
	routePolicies        = []string{"affinity", "round-robin", "random", "least-loaded"}
	noPolicyChoice       = []string{""}
)

// singleFaults are the faults that the two-faults experiment combines.
var singleFaults = []fault{platformOutage, partitionDomain, loseWriteResponses, crashInstance, pauseInstance, stallConnections, drainEndpoint, drainInstance, swapResponses}

// All returns the experiments in the order in which the documentation lists them.
func All() []Experiment {
	return []Experiment{
		{Name: "hour-burst", Help: "every device sends its request at the same moment, three times what the engines can answer", Policies: routePolicies, load: burstLoad(), budgetTokens: ampleTokens, faults: fixedFaults(), setPolicy: setRoutePolicy, slotsPerEngine: burstSlots, overloaded: true},
		{Name: "platform-outage", Help: "the platform is unavailable, with top-ups before and after and half the usual budgets", Policies: budgetAndKeyPolicies, load: loadWithIssuedKeys(), budgetTokens: 20_000, faults: fixedFaults(platformOutage), setPolicy: setBudgetPolicy},
		{Name: "domain-cut", Help: "one failure domain is partitioned from the others and the platform", Policies: budgetAndKeyPolicies, load: loadWithIssuedKeys(), budgetTokens: 40_000, faults: fixedFaults(partitionDomain), setPolicy: setBudgetPolicy},
		{Name: "lost-answers", Help: "the responses to three in ten writes to the platform are lost after the writes took effect", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: 40_000, faults: fixedFaults(loseWriteResponses)},
		{Name: "router-crash", Help: "an instance crashes with open streams and callers retry at other instances", Policies: budgetPolicies, load: steadyLoad(), budgetTokens: 40_000, faults: fixedFaults(crashInstance), setPolicy: setBudgetPolicy},
		{Name: "paused-holder", Help: "an instance that holds leases is paused, treated as failed and resumed", Policies: budgetPolicies, load: steadyLoad(), budgetTokens: 40_000, faults: fixedFaults(pauseInstance), setPolicy: setBudgetPolicy},
		{Name: "silent-connection", Help: "open connections to engines stall permanently, new ones work", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(stallConnections)},
		{Name: "leaving-endpoint", Help: "an endpoint is marked as draining and gets no new work after a few seconds", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(drainEndpoint)},
		{Name: "drain", Help: "an instance shuts down gracefully under load", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(drainInstance)},
		{Name: "bundle-race", Help: "two operators roll bundles with the same number concurrently", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(raceBundles)},
		{Name: "crossed-answers", Help: "an engine responds with the answers to other requests", Policies: noPolicyChoice, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(swapResponses)},
		{Name: "stale-fencing", Help: "an instance is paused while the bundle changes and resumed, and may then send engines old orders", Policies: []string{"checks", "ignores"}, load: steadyLoad(), budgetTokens: ampleTokens, faults: fixedFaults(sendStaleOrders), adjustFleet: configureFencing},
		{Name: "two-faults", Help: "two failures at the same time, chosen by the seed", Policies: budgetPolicies, load: steadyLoad(), budgetTokens: 40_000, faults: randomFaultPair, setPolicy: setBudgetPolicy},
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Experiment, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Experiment{}, false
}

// randomFaultPair chooses two different faults; the seed determines which.
func randomFaultPair(r *Run) []fault {
	i := r.rng.IntN(len(singleFaults))
	j := (i + 1 + r.rng.IntN(len(singleFaults)-1)) % len(singleFaults)
	r.recordFigure("first_fault", float64(i))
	r.recordFigure("second_fault", float64(j))
	return []fault{singleFaults[i], singleFaults[j]}
}

// configureFencing makes the engines check or ignore fencing numbers, depending on the policy.
func configureFencing(c *fleet.Config, policy string) {
	c.Engine.ChecksFencing = policy == "checks"
	c.Engine.LoadTime = 200 * time.Millisecond
}
