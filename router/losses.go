package router

import (
	"time"

	"pumiceshelf/gateway"
	"pumiceshelf/placement"
	"pumiceshelf/registry"
)

// lossPeriod is how old the losses are that instances exchange: for so long, a listing that another instance still uses may name
// the process before a restart.
const lossPeriod = gateway.RestartPeriod + registry.MaxContactGap

// unlistedPeriod is how long after its start an instance asks others for losses, because not all of them may have listed it yet: they
// do so every 7.5 s at most, and their listing may be a few seconds old.
const unlistedPeriod = 10 * time.Second

// connectionLosses are the losses of connections that this instance knows. It implements members.Losses.
type connectionLosses struct{ router *Router }

// Recent implements members.Losses. An instance that has been told the losses itself does not pass them on as complete.
func (c connectionLosses) Recent() (list []placement.Loss, complete, needed bool) {
	r := c.router
	age, lasted := r.contactState()
	now := r.config.Clock.Now()
	fresh := age <= registry.MaxContactGap
	_, observed := r.contact.State(now)
	unlisted := now.Sub(r.startedAt) < unlistedPeriod
	return r.chooser.Losses(now.Add(-lossPeriod)), fresh && observed >= lossPeriod, fresh && (unlisted || lasted < gateway.RestartPeriod)
}

// Merge implements members.Losses.
func (c connectionLosses) Merge(list []placement.Loss, complete bool, reporter string) {
	r := c.router
	view, now := r.endpointView.Load(), r.config.Clock.Now()
	if view == nil {
		return
	}
	for _, l := range list {
		if e, ok := listed(view, l.Endpoint, now); ok {
			r.chooser.RecordLoss(placement.Loss{Endpoint: e, At: l.At})
		}
	}
	if complete {
		// Only more than half of all instances together have connections to nearly all endpoints. After a kill of most instances, a
		// survivor without callers has none.
		r.contact.Inherit(reporter, r.members.Count()/2+1)
	}
}

// Signal implements members.Losses.
func (c connectionLosses) Signal() <-chan struct{} { return c.router.chooser.LossSignal() }

// listed returns the entry of an endpoint if it is listed as the same process. Its failure domain may be evacuated: it gets requests
// again as soon as that ends.
func listed(view *registry.View, e registry.Endpoint, now time.Time) (registry.Endpoint, bool) {
	for _, list := range [][]registry.Endpoint{view.Endpoints(e.Service, now), view.Evacuated(e.Service)} {
		for i := range list {
			if list[i].SameProcess(e) {
				return list[i], true
			}
		}
	}
	return registry.Endpoint{}, false
}
