package router

import (
	stdlog "log"

	"github.com/apex/log"

	"pumiceshelf/objectstore"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// configurationListener puts configurations in force.
type configurationListener struct{ router *Router }

// Replace implements follow.Listener.
func (c *configurationListener) Replace(l objectstore.Listing) {
	for _, obj := range l.Objects {
		c.apply(obj)
	}
}

// Change implements follow.Listener.
func (c *configurationListener) Change(changes objectstore.Changes) {
	for _, e := range changes.Events {
		if !e.Deleted {
			c.apply(e.Object)
		}
	}
}

// apply puts a configuration in force unless it is older than the one that is.
func (c *configurationListener) apply(obj objectstore.Object) {
	r := c.router
	next, ok, err := r.config.Decoder.Configuration(obj)
	if err != nil {
		r.config.Log.WithField("key", obj.Key).WithError(err).Error("router: configuration refused")
		return
	}
	have := r.table.Load()
	if !ok || have != nil && next.Version <= have.Version() {
		return
	}
	r.table.Store(routing.Compile(next))
	r.config.Log.WithFields(log.Fields{
		"config_version": next.Version, "revision": uint64(obj.Version), "routes": len(next.Routes), "customers": len(next.Customers),
	}).Info("router: configuration in force")
}

// Away implements follow.Listener.
func (c *configurationListener) Away(error) {}

// Back implements follow.Listener.
func (c *configurationListener) Back() {}

// Tick implements follow.Listener.
func (c *configurationListener) Tick() {}

// endpointListener keeps the view of endpoints. It belongs to the follower's goroutine.
type endpointListener struct {
	router *Router
	set    *registry.Set
}

func newEndpointListener(r *Router) *endpointListener {
	return &endpointListener{router: r, set: registry.NewSet()}
}

// Replace implements follow.Listener.
func (e *endpointListener) Replace(l objectstore.Listing) {
	var list []registry.Endpoint
	for _, obj := range l.Objects {
		if one, ok := e.decode(obj); ok {
			list = append(list, one)
		}
	}
	e.set.Replace(e.router.config.Clock.Now(), list, l.Revision)
	e.publish()
}

// Change implements follow.Listener.
func (e *endpointListener) Change(changes objectstore.Changes) {
	now := e.router.config.Clock.Now()
	for _, event := range changes.Events {
		id := registry.ID(event.Object)
		if event.Deleted {
			e.router.config.Log.WithField("endpoint", id).WithField("revision", uint64(event.Object.Version)).Info("router: endpoint removed")
			e.set.Remove(now, id)
			continue
		}
		one, ok := e.decode(event.Object)
		if !ok {
			e.set.Drop(id)
			continue
		}
		e.router.config.Log.WithFields(log.Fields{
			"endpoint": id, "service": one.Service, "address": one.Address, "leaving": one.Leaving, "revision": uint64(one.Revision),
		}).Info("router: endpoint changed")
		e.set.Put(one)
	}
	e.set.Advance(changes.Revision)
	e.publish()
}

func (e *endpointListener) decode(obj objectstore.Object) (registry.Endpoint, bool) {
	one, err := e.router.config.Decoder.Endpoint(obj)
	if err != nil {
		e.router.config.Log.WithField("key", obj.Key).WithError(err).Warn("router: entry names no endpoint")
		return registry.Endpoint{}, false
	}
	return one, true
}

// Away implements follow.Listener.
func (e *endpointListener) Away(error) { e.set.StoreAway() }

// Back implements follow.Listener.
func (e *endpointListener) Back() { e.set.StoreBack(e.router.config.Clock.Now()) }

// Tick implements follow.Listener.
func (e *endpointListener) Tick() {
	if e.set.Expire(e.router.config.Clock.Now()) {
		e.router.config.Log.Info("router: lapsed endpoints given up")
		e.publish()
	}
}

func (e *endpointListener) publish() {
	view := e.set.View()
	e.router.view.Store(view)
	e.router.chooser.Retain(e.set.Known)
}

// quietLog passes what net/http complains of, mostly connections that end, on at debug level.
func quietLog(l log.Interface) *stdlog.Logger {
	return stdlog.New(debugWriter{l}, "", 0)
}

type debugWriter struct{ log log.Interface }

// Write implements io.Writer.
func (d debugWriter) Write(p []byte) (int, error) {
	d.log.WithField("text", string(p)).Debug("router: net/http")
	return len(p), nil
}
