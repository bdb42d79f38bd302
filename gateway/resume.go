package gateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"pumiceshelf/origin"
	"pumiceshelf/registry"
	"pumiceshelf/routing"
)

// RestartPeriod is how long after a lost connection an endpoint may run another software version than its entry in the store
// says. A crashed endpoint is listed for up to two seconds, and one that has started again registers within a few seconds.
const RestartPeriod = 5 * time.Second

// findOrigin finds the service and the software version that began the stream which the request resumes. Other versions
// would continue it with events that do not fit.
func (j *job) findOrigin() *refusal {
	if j.route.Mode != routing.Streaming || j.meta.Resumes == "" && j.meta.ResumeAfter == "" {
		return nil
	}
	search := j.gateway.config.Origins.SearchOrigin(j.ctx, j.meta.Resumes, j.service)
	logger := j.logger().WithFields(log.Fields{
		"resumes": j.meta.Resumes, "after": j.meta.ResumeAfter, "found": search.Found, "versions": search.Versions, "versions_complete": search.VersionsComplete,
	})
	o := search.Origin
	if !search.Found {
		if !search.VersionsComplete || len(search.Versions) != 1 || len(j.route.Targets) > 1 {
			logger.Info("gateway: version that began the stream is not known")
			return &refusal{status: http.StatusServiceUnavailable, reason: reasonOriginUnknown, retryAfter: retryAfterTransient}
		}
		if !j.confirmOneVersion(search.Versions[0]) {
			return &refusal{status: http.StatusServiceUnavailable, reason: reasonOriginUnknown, retryAfter: retryAfterTransient}
		}
		o = origin.Origin{Attempt: j.meta.Resumes, Service: j.service, Version: search.Versions[0]}
	}
	logger = logger.WithFields(log.Fields{"service": o.Service, "software_version": o.Version})
	if !slices.ContainsFunc(j.route.Targets, func(t routing.Target) bool { return t.Service == o.Service }) {
		logger.Info("gateway: the route no longer has the service that began the stream")
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonVersionUnavailable, retryAfter: retryAfterTransient}
	}
	logger.Info("gateway: resuming a stream")
	j.service, j.origin = o.Service, &o
	return nil
}

// confirmOneVersion reports whether the store still lists only the given version. What an instance knows may be as old as its contact with
// the store allows, and a stream may have begun elsewhere at an endpoint that joined since.
func (j *job) confirmOneVersion(version string) bool {
	confirm := j.gateway.config.ConfirmVersions
	if confirm == nil {
		return true
	}
	versions, err := confirm(j.ctx, j.service)
	logger := j.logger().WithFields(log.Fields{"versions": versions, "service": j.service})
	switch {
	case err != nil:
		logger.WithError(err).Info("gateway: software versions are not confirmed")
		return false
	case len(versions) != 1 || versions[0] != version:
		logger.Info("gateway: another software version has joined the service")
		return false
	}
	return true
}

// recordOrigin records which version sends the first event, or a later one of the same endpoint if the version was not certain
// before. It does so for a resumed stream as well, because the instances that knew its origin may be gone by its next resumption.
func (j *job) recordOrigin(e registry.Endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.origin == nil {
		j.origin, j.firstEndpoint = &origin.Origin{Attempt: j.meta.ID, Service: j.service, Version: e.SoftwareVersion}, e
		j.versionUncertain = true
	}
	if j.versionUncertain {
		listed := j.gateway.config.Endpoints().Endpoints(j.service, j.gateway.config.Clock.Now())
		j.versionUncertain = j.firstEndpointRestarted(listed) || !j.isListedAsRunning()(e)
	}
	if !j.route.Resumable || j.origin.Attempt == "" {
		return
	}
	began := j.firstEndpoint.ID != ""
	if began && j.versionCheck == nil && !j.gateway.IsConfirmed(j.firstEndpoint) {
		if j.versionCheck = j.gateway.processes.begin(j.firstEndpoint); j.versionCheck != nil {
			go j.recordAfterCheck(j.versionCheck, *j.origin, !j.versionUncertain)
			return
		}
	}
	switch j.versionCheck.resultNow() {
	case processConfirmed:
		// It is recorded with the answer.
		j.versionUncertain = false
	case processUnknown:
		if !j.versionUncertain {
			j.gateway.config.Origins.RecordOrigin(*j.origin)
		}
	case processOther, processAsked:
	}
}

// recordAfterCheck records the origin of a stream once its endpoint has said which process it is, or if it says nothing and its entry
// is certain otherwise. It does not wait for the next event: the caller may have to resume the stream before.
func (j *job) recordAfterCheck(c *processCheck, o origin.Origin, listed bool) {
	<-c.done
	if c.result == processConfirmed || c.result == processUnknown && listed {
		j.gateway.config.Origins.RecordOrigin(o)
	}
}

// firstEndpointRestarted reports whether the endpoint that sent the first event is listed as another process than was known
// then. The stream may have begun at either.
func (j *job) firstEndpointRestarted(listed []registry.Endpoint) bool {
	return slices.ContainsFunc(listed, func(e registry.Endpoint) bool {
		return e.ID == j.firstEndpoint.ID && !e.SameProcess(j.firstEndpoint)
	})
}

// maxContactAge bounds the age of the last contact with the store in the search for lost connections.
const maxContactAge = time.Hour

// isListedAsRunning returns a function that reports whether an endpoint certainly is the process that is listed: whether its
// entry is up to date, and was read so long after the endpoint may have started again that it would name the new process. Before
// its contact with the store has lasted for so long, an instance does not know which endpoints have: those that lost their
// connections may have been killed, and after an outage of the store endpoints register late. Until then only those are certain to
// which a connection has lasted since they were. An endpoint that has said itself which process it is, on a connection that lasts, is certain
// in any case. It does not depend on how many versions are known, because the first endpoint of another one is listed late as well.
func (j *job) isListedAsRunning() func(registry.Endpoint) bool {
	g := j.gateway
	age, lasted := g.config.Contact()
	lostAfter := g.config.Clock.Now().Add(-min(age, maxContactAge) - RestartPeriod)
	lost := g.config.Chooser.LostConnection
	if g.config.KnowsOneVersion != nil && g.config.KnowsOneVersion(j.service) {
		// An endpoint that lives on after it broke off a response is certain enough only where no other version is known.
		lost = g.config.Chooser.MayHaveRestarted
	}
	inContact := age <= registry.MaxContactGap && lasted >= RestartPeriod
	return func(e registry.Endpoint) bool {
		switch {
		case g.IsConfirmed(e):
			return true
		case lost(e, lostAfter), g.processes.last(e) == processOther:
			return false
		case inContact:
			g.lasting.certify(e)
			return true
		}
		return g.lasting.leadTo(e)
	}
}

// logUncertain logs why no endpoint gets a stream that has begun.
func (j *job) logUncertain() {
	var listed, tried, lost, other int
	now := j.gateway.config.Clock.Now()
	for _, e := range j.gateway.config.Endpoints().Endpoints(j.service, now) {
		if e.SoftwareVersion != j.origin.Version {
			continue
		}
		listed++
		switch {
		case j.triedEndpoints[e.ID]:
			tried++
		case j.gateway.processes.last(e) == processOther:
			other++
		case j.gateway.config.Chooser.LostConnection(e, now.Add(-RestartPeriod)):
			lost++
		}
	}
	age, lasted := j.gateway.config.Contact()
	j.logger().WithFields(log.Fields{
		"software_version": j.origin.Version, "listed": listed, "tried": tried, "lost_connection": lost, "other_process": other,
		"began_uncertain": j.versionUncertain, "contact_age_ms": age.Milliseconds(), "contact_ms": lasted.Milliseconds(),
	}).Info("gateway: no endpoint certainly runs the version that began the stream")
}

// candidates returns the endpoints that may get the request: those of the service, or for a stream that has begun, those
// that certainly run the version that began it. If some of them have said so themselves, these are all.
func (j *job) candidates(now time.Time) []registry.Endpoint {
	view := j.gateway.config.Endpoints()
	all := view.Endpoints(j.service, now)
	if j.origin == nil {
		return all
	}
	if j.versionUncertain || j.versionCheck.resultNow() == processOther || j.firstEndpointRestarted(all) || j.firstEndpointRestarted(view.Evacuated(j.service)) {
		return nil
	}
	certain := j.isListedAsRunning()
	var listed, confirmed []registry.Endpoint
	for _, e := range all {
		switch {
		case e.SoftwareVersion != j.origin.Version:
		case j.gateway.IsConfirmed(e):
			confirmed = append(confirmed, e)
		case certain(e):
			listed = append(listed, e)
		}
	}
	if len(confirmed) > 0 {
		return confirmed
	}
	return listed
}
