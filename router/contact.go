package router

import (
	"time"

	"pumiceshelf/gateway"
	"pumiceshelf/registry"
)

const (
	// bufferedResponsePeriod is how long after a freeze responses of the store do not confirm the endpoints: they may have been
	// received before it. It is well above the scheduling delays of a busy machine.
	bufferedResponsePeriod = 500 * time.Millisecond
	// relayedContactLag is by how much later the contact of an instance may begin than that of its relay, when both have started at
	// about the same time. It is the time for which a relay waits for changes.
	relayedContactLag = time.Second
)

// softwareVersions returns the software versions that a service had lately, and whether they cover a time that is longer than
// any stream and in which no route has changed its services. They include registry.UnknownVersion if a listed endpoint may have started again as another version.
func (r *Router) softwareVersions(service string) (versions []string, complete bool) {
	age, _ := r.contactState()
	now := r.config.Clock.Now()
	versions, complete = r.versions.Versions(service, r.contact, now)
	if at := r.targetsChangedAt.Load(); at != nil && now.Sub(*at) < registry.VersionWindow {
		complete = false
	}
	// Another instance may call its versions complete, so what this one knows counts in any case.
	view, after := r.endpointView.Load(), now.Add(-gateway.RestartPeriod-min(age, registry.VersionWindow))
	for _, list := range [][]registry.Endpoint{view.Endpoints(service, now), view.Evacuated(service)} {
		for _, e := range list {
			if r.chooser.MayHaveRestarted(e, after) && !r.gateway.IsConfirmed(e) {
				return append(versions, registry.UnknownVersion), complete
			}
		}
	}
	return versions, complete
}

// knowsOneVersion reports whether the listed endpoints of a service had the same software version lately.
func (r *Router) knowsOneVersion(service string) bool {
	versions, _ := r.versions.Versions(service, r.contact, r.config.Clock.Now())
	return len(versions) == 1
}

// contactState returns the time since the store last confirmed the endpoints, and for how long it had done so without a gap, or
// another instance that has told this one which connections were lost meanwhile.
func (r *Router) contactState() (age, lasted time.Duration) {
	r.freezeGuard.requestDelay()
	age, lasted = r.contact.State(r.config.Clock.Now())
	if r.contact.Inherited() {
		lasted = max(lasted, gateway.RestartPeriod)
	}
	return age, lasted
}

// confirmEndpointsWithin returns the time within which the store is to confirm the endpoints again, so that streams can be resumed as
// soon as the contact has lasted for gateway.RestartPeriod, not up to a whole watch later. Relays have it confirmed often for a short
// time after that, because the contact of the instances that depend on them began a little later.
func (r *Router) confirmEndpointsWithin() time.Duration {
	age, lasted := r.contact.State(r.config.Clock.Now())
	switch {
	case age > registry.MaxContactGap || r.contact.Inherited():
		return registry.MaxContactGap
	case lasted < gateway.RestartPeriod:
		// Rounded up, because the store's wait times are whole milliseconds.
		return gateway.RestartPeriod - lasted - age + time.Millisecond
	case r.members.IsRelay() && lasted < gateway.RestartPeriod+relayedContactLag:
		return 0
	default:
		return registry.MaxContactGap
	}
}

// endContact records that the process was suspended. The endpoints may have changed meanwhile.
func (r *Router) endContact() {
	r.contact.Interrupt(r.config.Clock.Now().Add(bufferedResponsePeriod))
	r.gateway.ForgetProcesses()
	r.configurationFollower.LoseContact()
	r.endpointFollower.LoseContact()
	if r.evacuationFollower != nil {
		r.evacuationFollower.LoseContact()
	}
}
