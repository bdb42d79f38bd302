package router

import (
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/coldstart"
	"pumiceshelf/evacuation"
	"pumiceshelf/follow"
	"pumiceshelf/objectstore"
	"pumiceshelf/registry"
	"pumiceshelf/telemetry"
)

var (
	descEvacuatedDomains   = telemetry.Describe("router.evacuated.domains", "domains", "Failure domains that operators have evacuated, as far as the instance knows.")
	descEvacuatedEndpoints = telemetry.Describe("router.evacuated.endpoints", "endpoints", "Listed endpoints that get no requests because their failure domain is evacuated.")
)

// publisher publishes the view of the endpoints that requests read: all but those of evacuated failure domains. Endpoints and
// evacuations come from different goroutines. It is safe for concurrent use.
type publisher struct {
	router             *Router
	domains, endpoints metrics.Gauge

	mu sync.Mutex
	// view contains the endpoints of all domains. It is nil until they were listed.
	view *registry.View
	// evacuated is nil until the evacuations are known, if there may be any.
	evacuated *[]string
}

func newPublisher(r *Router) *publisher {
	p := &publisher{router: r, domains: descEvacuatedDomains.Gauge(r.config.Metrics), endpoints: descEvacuatedEndpoints.Gauge(r.config.Metrics)}
	if !r.evacuates() {
		p.evacuated = new([]string)
	}
	return p
}

// setEndpoints replaces the endpoints.
func (p *publisher) setEndpoints(v *registry.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view = v
	p.publish()
}

// setEvacuated replaces the evacuated domains. Endpoints of those that are no longer evacuated may be cold, as may be those of the
// domains in ended, of whose evacuations nothing else may have become known than their end.
func (p *publisher) setEvacuated(domains, ended []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.evacuated != nil {
		for _, domain := range *p.evacuated {
			if !slices.Contains(domains, domain) {
				ended = append(ended, domain)
			}
		}
	}
	for _, domain := range ended {
		p.router.recordCold(coldstart.Assumed(p.view.InDomain(domain), p.router.coldStart))
	}
	p.evacuated = &domains
	p.domains.Update(int64(len(domains)))
	p.publish()
}

// publish makes the endpoints visible to requests. Nothing is visible before the evacuations are known, so that the instance is not
// ready until then. The caller holds the mutex.
func (p *publisher) publish() {
	if p.view == nil || p.evacuated == nil {
		return
	}
	view := p.view.Without(*p.evacuated)
	p.endpoints.Update(int64(view.EvacuatedCount()))
	p.router.endpointView.Store(view)
}

// evacuates reports whether the settings say that operators evacuate failure domains.
func (r *Router) evacuates() bool { return r.config.Settings.EvacuationTimeoutMs > 0 }

// followEvacuations makes the instance follow the evacuations if there may be any.
func (r *Router) followEvacuations() {
	if !r.evacuates() {
		return
	}
	r.evacuationFollower = follow.New(follow.Config{
		Collection: r.config.Decoder.EvacuationsCollection(), Store: r.calls, QueryPeers: r.members.FetchNewerEvacuations, Relays: r.members,
		Listener: &evacuationListener{router: r, set: evacuation.NewSet()}, Clock: r.config.Clock, Log: r.config.Log,
	})
}

// evacuations returns the snapshot of the evacuations for other instances, or nil if there is none.
func (r *Router) evacuations() *objectstore.Listing {
	if r.evacuationFollower == nil {
		return nil
	}
	return r.evacuationFollower.Snapshot()
}

// evacuationListener applies evacuations. Only the follower's goroutine may use it.
type evacuationListener struct {
	router *Router
	set    *evacuation.Set
}

// Replace implements follow.Listener.
func (e *evacuationListener) Replace(l objectstore.Listing) {
	var domains []string
	for _, obj := range l.Objects {
		if domain, ok := e.decode(obj); ok {
			domains = append(domains, domain)
		}
	}
	e.apply(e.set.Replace(domains, l.Revision), nil)
}

// ApplyChanges implements follow.Listener.
func (e *evacuationListener) ApplyChanges(c objectstore.Changes) {
	var changes []evacuation.Change
	var ended []string
	for _, event := range c.Events {
		domain, ok := e.decode(event.Object)
		switch {
		case !ok:
		case event.Deleted:
			ended = append(ended, domain)
			changes = append(changes, e.set.Remove(domain, c.Revision)...)
		default:
			changes = append(changes, e.set.Put(domain, c.Revision)...)
		}
	}
	e.apply(changes, ended)
}

// decode decodes an evacuation. It logs an invalid one and returns false.
func (e *evacuationListener) decode(obj objectstore.Object) (domain string, ok bool) {
	domain, err := e.router.config.Decoder.Evacuation(obj)
	if err != nil {
		e.router.config.Log.WithField("key", obj.Key).WithError(err).Warn("router: invalid evacuation")
		return "", false
	}
	return domain, true
}

// apply publishes the evacuated domains and logs the changes. ended are the domains whose objects were deleted.
func (e *evacuationListener) apply(changes []evacuation.Change, ended []string) {
	domains := e.set.Domains()
	e.router.publisher.setEvacuated(domains, ended)
	for _, c := range changes {
		logger := e.router.config.Log.WithFields(log.Fields{"evacuated_domain": c.Domain, "revision": uint64(c.Revision), "evacuated": domains})
		if c.Begun {
			logger.Warn("router: failure domain is evacuated, its endpoints get no more requests")
		} else {
			logger.Info("router: evacuation of a failure domain ended")
		}
	}
}

// StoreUnavailable implements follow.Listener.
func (e *evacuationListener) StoreUnavailable(error) {}

// StoreAvailable implements follow.Listener.
func (e *evacuationListener) StoreAvailable(time.Duration) {}

// Tick implements follow.Listener.
func (e *evacuationListener) Tick() {}
