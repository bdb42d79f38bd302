package router

import (
	"fmt"
	stdlog "log"
	"slices"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/coldstart"
	"pumiceshelf/gateway"
	"pumiceshelf/objectstore"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// configurationListener activates configurations.
type configurationListener struct {
	router *Router
	// targets describes which services the routes of the active configuration have. Only the follower's goroutine uses it.
	targets string
}

// Replace implements follow.Listener.
func (c *configurationListener) Replace(l objectstore.Listing) {
	for _, obj := range l.Objects {
		c.apply(obj)
	}
}

// ApplyChanges implements follow.Listener.
func (c *configurationListener) ApplyChanges(changes objectstore.Changes) {
	for _, e := range changes.Events {
		if !e.Deleted {
			c.apply(e.Object)
		}
	}
}

// apply activates a configuration if its version is higher than that of the active one.
func (c *configurationListener) apply(obj objectstore.Object) {
	r := c.router
	next, ok, err := r.config.Decoder.Configuration(obj)
	if err != nil {
		r.config.Log.WithField("key", obj.Key).WithError(err).Error("router: configuration rejected")
		return
	}
	current := r.table.Load()
	if !ok || current != nil && next.Version <= current.Version() {
		return
	}
	if targets := describeTargets(next); targets != c.targets {
		// Before the change, a stream may have begun at another service of its route.
		if c.targets != "" {
			now := r.config.Clock.Now()
			r.targetsChangedAt.Store(&now)
		}
		c.targets = targets
	}
	r.table.Store(routing.Compile(next))
	r.config.Log.WithFields(log.Fields{
		"config_version": next.Version, "revision": uint64(obj.Version), "routes": len(next.Routes), "customers": len(next.Customers),
	}).Info("router: configuration activated")
}

// describeTargets returns which services the requests of each route may go to.
func describeTargets(c routing.Config) string {
	var lines []string
	for _, r := range c.Routes {
		var services []string
		for _, t := range r.Targets {
			services = append(services, t.Service)
		}
		slices.Sort(services)
		lines = append(lines, fmt.Sprintf("%q %q %q", r.Host, r.PathPrefix, services))
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// StoreUnavailable implements follow.Listener.
func (c *configurationListener) StoreUnavailable(error) {}

// StoreAvailable implements follow.Listener.
func (c *configurationListener) StoreAvailable(age time.Duration) {
	at := c.router.config.Clock.Now().Add(-age)
	c.router.configurationConfirmedAt.Store(&at)
}

// maxConfigurationAge is the time since the store last confirmed the configuration after which a newer one may have to be in force: a
// change must be within 3 s. An instance that gets its changes from a relay has it confirmed every second or two.
const maxConfigurationAge = 3 * time.Second

// configurationUnconfirmed reports whether a newer configuration than the active one may have to be in force.
func (r *Router) configurationUnconfirmed() bool {
	at := r.configurationConfirmedAt.Load()
	return at == nil || r.config.Clock.Since(*at) > maxConfigurationAge
}

// Tick implements follow.Listener.
func (c *configurationListener) Tick() {}

// endpointListener maintains the set of endpoints and publishes views of it. Only the follower's goroutine may use it.
type endpointListener struct {
	router *Router
	set    *registry.Set
	cold   *coldstart.Tracker
	// coldCount shows the number of cold endpoints.
	coldCount metrics.Gauge
	// era is that of the store that listed the endpoints, listed whether they were listed.
	era    uint64
	listed bool
}

func newEndpointListener(r *Router) *endpointListener {
	return &endpointListener{router: r, set: registry.NewSet(), cold: coldstart.New(), coldCount: descColdEndpoints.Gauge(r.config.Metrics)}
}

// Replace implements follow.Listener.
func (e *endpointListener) Replace(l objectstore.Listing) {
	var endpoints []registry.Endpoint
	for _, obj := range l.Objects {
		if endpoint, ok := e.decode(obj); ok {
			endpoints = append(endpoints, endpoint)
		}
	}
	e.enterEra(l.Revision)
	e.set.Replace(e.router.config.Clock.Now(), endpoints, l.Revision)
	e.publish()
}

// ApplyChanges implements follow.Listener.
func (e *endpointListener) ApplyChanges(changes objectstore.Changes) {
	now := e.router.config.Clock.Now()
	e.enterEra(changes.Revision)
	for _, event := range changes.Events {
		id := registry.EndpointID(event.Object)
		if event.Deleted {
			e.router.config.Log.WithField("endpoint", id).WithField("revision", uint64(event.Object.Version)).Info("router: endpoint removed")
			e.set.Remove(now, id)
			continue
		}
		endpoint, ok := e.decode(event.Object)
		if !ok {
			e.set.RemoveInvalid(id)
			continue
		}
		e.router.config.Log.WithFields(log.Fields{
			"endpoint": id, "service": endpoint.Service, "address": endpoint.Address, "leaving": endpoint.Draining,
			"software_version": endpoint.SoftwareVersion, "revision": uint64(endpoint.Version),
		}).Info("router: endpoint changed")
		e.set.Put(endpoint)
	}
	e.set.Advance(changes.Revision)
	e.publish()
}

// enterEra ends the contact if the store came back from a copy. Its entries may then be older than those known before, until the endpoints
// write theirs again.
func (e *endpointListener) enterEra(at objectstore.Revision) {
	era := objectstore.Era(at)
	if !e.listed {
		e.era, e.listed = era, true
		return
	}
	if era > e.era {
		e.era = era
		now := e.router.config.Clock.Now()
		e.router.contact.Reset(now, now.Add(gateway.RestartPeriod))
		e.router.config.Log.WithField("era", era).Info("router: the store's entries of endpoints are of another era")
	}
}

// decode decodes an endpoint entry. It logs an invalid one and returns false.
func (e *endpointListener) decode(obj objectstore.Object) (registry.Endpoint, bool) {
	endpoint, err := e.router.config.Decoder.Endpoint(obj)
	if err != nil {
		e.router.config.Log.WithField("key", obj.Key).WithError(err).Warn("router: invalid endpoint entry")
		return registry.Endpoint{}, false
	}
	return endpoint, true
}

// StoreUnavailable implements follow.Listener.
func (e *endpointListener) StoreUnavailable(error) { e.set.StoreUnavailable() }

// StoreAvailable implements follow.Listener.
func (e *endpointListener) StoreAvailable(age time.Duration) {
	now := e.router.config.Clock.Now()
	e.router.contact.Confirm(now.Add(-age))
	e.set.StoreAvailable(now)
}

// Tick implements follow.Listener.
func (e *endpointListener) Tick() {
	e.coldCount.Update(int64(e.router.limits.ColdCount(e.router.config.Clock.Now())))
	if e.set.RemoveExpired(e.router.config.Clock.Now()) {
		e.router.config.Log.Info("router: expired endpoints removed")
		e.publish()
	}
}

// publish makes the current endpoints visible to requests and discards the chooser's state of unknown ones.
func (e *endpointListener) publish() {
	view, now := e.set.View(), e.router.config.Clock.Now()
	e.router.versions.Update(now, e.set)
	e.router.recordCold(e.cold.Update(e.set.Listed(), e.router.coldStart, now))
	e.router.publisher.setEndpoints(view)
	e.router.chooser.Retain(e.set.Contains, now)
	e.router.limits.Retain(e.set.Contains)
	e.router.loads.Retain(e.set.Contains)
	e.router.gateway.RetainEndpoints(e.set.Contains)
}

// newDebugLogger returns a logger for net/http that writes at debug level, as most of its messages report connections that
// were closed.
func newDebugLogger(l log.Interface) *stdlog.Logger {
	return stdlog.New(debugWriter{l}, "", 0)
}

type debugWriter struct{ log log.Interface }

// Write implements io.Writer.
func (d debugWriter) Write(p []byte) (int, error) {
	d.log.WithField("text", string(p)).Debug("router: net/http server message")
	return len(p), nil
}
