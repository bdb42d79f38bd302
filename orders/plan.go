package orders

import (
	"sort"

	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/instance"
)

// step is the next step for an endpoint.
type step int

// Steps of an endpoint.
const (
	// upToDate means that the engine is in the desired state.
	upToDate step = iota + 1
	// loading means that the engine is loading the desired models.
	loading
	// needsChange means that an order may be sent once the endpoint has a slot.
	needsChange
	// waitingForSlot means that the fleet's limit of concurrent loads is reached.
	waitingForSlot
	// waitingForReplica means that the change would interrupt a model's last loaded endpoint.
	waitingForReplica
	// unreachable means that the engine's state could not be read.
	unreachable
)

// String returns the name of the step in the status.
func (s step) String() string {
	return [...]string{"", "in_force", "loading", "changing", "waiting_for_slot", "waiting_for_replica", "unreachable"}[s]
}

// decision is the planned step for one endpoint.
type decision struct {
	endpoint *bundle.Endpoint
	step     step
	// loadsWeights is true if the change loads weights.
	loadsWeights bool
	// lastReplicaOf is the model without another loaded replica, for waitingForReplica.
	lastReplicaOf string
	// order is the desired state of the endpoint.
	order endpoint.Order
}

// engineStates holds the states that engines reported, by endpoint ID. Engines that did not respond are absent.
type engineStates map[string]endpoint.State

// planner plans one round of a domain.
type planner struct {
	snap   *bundle.Snapshot
	domain instance.Domain
	states engineStates
	// changing holds the endpoints of the fleet that hold a slot. Their models may become unavailable at any time.
	changing map[string]bool
}

// plan returns a decision for each managed endpoint of the domain, ordered by ID. Each decision assumes that the previous
// ones are executed.
func (p *planner) plan() []decision {
	var out []decision
	for _, e := range domainEngines(p.snap, p.domain) {
		if o, managed := desired(p.snap, e); managed {
			out = append(out, p.decide(e, o))
		}
	}
	return out
}

// domainEngines returns the model engines of a domain, ordered by ID.
func domainEngines(snap *bundle.Snapshot, domain instance.Domain) []*bundle.Endpoint {
	var out []*bundle.Endpoint
	snap.Endpoints(func(e *bundle.Endpoint) {
		if e.Domain == domain && len(e.Models) > 0 {
			out = append(out, e)
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// decide returns the decision for one endpoint and marks the endpoint as changing if it needs a change.
func (p *planner) decide(e *bundle.Endpoint, o endpoint.Order) decision {
	d := decision{endpoint: e, order: o, step: unreachable}
	s, known := p.states[e.ID]
	if !known {
		return d
	}
	d.step, d.loadsWeights = nextStep(o, s)
	if d.step != needsChange {
		return d
	}
	for _, m := range interruptedModels(o, s) {
		if !p.hasOtherReplica(m, e) {
			d.step, d.lastReplicaOf = waitingForReplica, m
			return d
		}
	}
	p.changing[e.ID] = true
	return d
}

// hasOtherReplica reports whether a model remains loaded elsewhere while the given endpoint changes: at another endpoint of
// the domain if the domain has others for the model, otherwise at any endpoint of its group. A model that the bundle no
// longer contains needs no replica.
func (p *planner) hasOtherReplica(model string, changed *bundle.Endpoint) bool {
	if p.snap.Model(model) == nil {
		return true
	}
	hasOthers, inDomain, elsewhere := false, false, false
	for _, e := range p.snap.Group(bundle.ModelGroup(model)) {
		switch {
		case e.ID == changed.ID:
		case e.Domain == p.domain:
			hasOthers = true
			inDomain = inDomain || p.remainsLoaded(e, model)
		default:
			elsewhere = elsewhere || p.remainsLoaded(e, model)
		}
	}
	if hasOthers {
		return inDomain
	}
	return elsewhere
}

// remainsLoaded reports whether an endpoint has a model loaded and is not about to change.
func (p *planner) remainsLoaded(e *bundle.Endpoint, model string) bool {
	s, known := p.states[e.ID]
	return known && !p.changing[e.ID] && isLoaded(s, model)
}

// remoteReplicas returns the endpoints in other domains of those models that have at most one endpoint in this domain. The
// plan depends on their states.
func remoteReplicas(snap *bundle.Snapshot, domain instance.Domain) []*bundle.Endpoint {
	var out []*bundle.Endpoint
	snap.Models(func(m *bundle.Model) {
		var remote []*bundle.Endpoint
		local := 0
		for _, e := range snap.Group(bundle.ModelGroup(m.ID)) {
			if e.Domain == domain {
				local++
			} else {
				remote = append(remote, e)
			}
		}
		if local <= 1 {
			out = append(out, remote...)
		}
	})
	return out
}
