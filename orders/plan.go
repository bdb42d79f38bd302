package orders

import (
	"sort"

	"pumiceshelf/bundle"
	"pumiceshelf/endpoint"
	"pumiceshelf/instance"
)

// step is what an endpoint needs next.
type step int

// Steps of an endpoint.
const (
	// inForce means that the engine reports what the bundle wants.
	inForce step = iota + 1
	// loading means that the engine works on what the bundle wants.
	loading
	// change means that an order may be given once a slot is taken.
	change
	// waitSlot means that as many endpoints of the fleet load as may at once.
	waitSlot
	// waitReplica means that the change would take a model's last loaded endpoint.
	waitReplica
	// unreachable means that the engine's state is not known.
	unreachable
)

// String names the step as status and logs do.
func (s step) String() string {
	return [...]string{"", "in_force", "loading", "changing", "waiting_for_slot", "waiting_for_replica", "unreachable"}[s]
}

// decision on one endpoint.
type decision struct {
	endpoint *bundle.Endpoint
	step     step
	// loads says that the change fetches weights.
	loads bool
	// model is the one without another replica, for waitReplica.
	model string
	// order is what the bundle wants.
	order endpoint.Order
}

// observation is what the engines of one round reported, by endpoint id. Engines that did not answer are absent.
type observation map[string]endpoint.State

// planner decides one round for one domain.
type planner struct {
	snap   *bundle.Snapshot
	domain instance.Domain
	seen   observation
	// changing says which endpoints of the fleet hold a slot, and so may lose what they serve at any moment.
	changing map[string]bool
}

// plan decides for each managed endpoint of the domain, in order of ids. Each decision assumes that those before it are
// carried out.
func (p *planner) plan() []decision {
	var out []decision
	for _, e := range engines(p.snap, p.domain) {
		if o, managed := desired(p.snap, e); managed {
			out = append(out, p.decide(e, o))
		}
	}
	return out
}

// engines returns the model engines of a domain in order of ids.
func engines(snap *bundle.Snapshot, domain instance.Domain) []*bundle.Endpoint {
	var out []*bundle.Endpoint
	snap.Endpoints(func(e *bundle.Endpoint) {
		if e.Domain == domain && len(e.Models) > 0 {
			out = append(out, e)
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

func (p *planner) decide(e *bundle.Endpoint, o endpoint.Order) decision {
	d := decision{endpoint: e, order: o, step: unreachable}
	s, known := p.seen[e.ID]
	if !known {
		return d
	}
	d.step, d.loads = compare(o, s)
	if d.step != change {
		return d
	}
	for _, m := range disturbed(o, s) {
		if !p.hasReplica(m, e) {
			d.step, d.model = waitReplica, m
			return d
		}
	}
	p.changing[e.ID] = true
	return d
}

// hasReplica says whether a model stays loaded somewhere while an endpoint changes: at another endpoint of the domain
// if the domain has others for it, else anywhere in its group. A model that the bundle no longer has needs none.
func (p *planner) hasReplica(model string, except *bundle.Endpoint) bool {
	if p.snap.Model(model) == nil {
		return true
	}
	others, here, elsewhere := false, false, false
	for _, e := range p.snap.Group(bundle.ModelGroup(model)) {
		switch {
		case e.ID == except.ID:
		case e.Domain == p.domain:
			others = true
			here = here || p.serves(e, model)
		default:
			elsewhere = elsewhere || p.serves(e, model)
		}
	}
	if others {
		return here
	}
	return elsewhere
}

func (p *planner) serves(e *bundle.Endpoint, model string) bool {
	s, known := p.seen[e.ID]
	return known && !p.changing[e.ID] && serves(s, model)
}

// lonely says whether some model of the domain has at most one endpoint there, so that the states of other domains'
// endpoints are needed to plan.
func lonely(snap *bundle.Snapshot, domain instance.Domain) []*bundle.Endpoint {
	var out []*bundle.Endpoint
	snap.Models(func(m *bundle.Model) {
		var away []*bundle.Endpoint
		own := 0
		for _, e := range snap.Group(bundle.ModelGroup(m.ID)) {
			if e.Domain == domain {
				own++
			} else {
				away = append(away, e)
			}
		}
		if own <= 1 {
			out = append(out, away...)
		}
	})
	return out
}
