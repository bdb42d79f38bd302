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

const (
	// maxEndpointsAge is the age of the known endpoints beyond which no stream is resumed while several software versions
	// serve, because an endpoint may have started again as another one. It is longer than a watch of the store.
	maxEndpointsAge = 2500 * time.Millisecond
	// restartPeriod is how long after a lost connection an endpoint may run another software version than is known, because
	// a restarted one is listed late.
	restartPeriod = 4 * time.Second
)

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

// recordOrigin records which version sends the first event. It does so for a resumed stream as well, because the instances
// that knew its origin may be gone by its next resumption.
func (j *job) recordOrigin(e registry.Endpoint) {
	g := j.gateway
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.origin == nil {
		j.origin, j.firstEndpoint = &origin.Origin{Attempt: j.meta.ID, Service: j.service, Version: e.SoftwareVersion}, e
		j.versionUncertain = j.severalVersions() &&
			(g.config.EndpointsAge() > maxEndpointsAge || g.config.Chooser.LostConnection(e, g.config.Clock.Now().Add(-restartPeriod)))
	}
	if j.route.Resumable && !j.versionUncertain && j.origin.Attempt != "" {
		g.config.Origins.RecordOrigin(*j.origin)
	}
}

// firstEndpointRestarted reports whether the endpoint that sent the first event is listed as another process than was known
// then. The stream may have begun at either.
func (j *job) firstEndpointRestarted(listed []registry.Endpoint) bool {
	return slices.ContainsFunc(listed, func(e registry.Endpoint) bool {
		return e.ID == j.firstEndpoint.ID && !e.SameProcess(j.firstEndpoint)
	})
}

// severalVersions reports whether endpoints of the service may have run several software versions since the stream began.
func (j *job) severalVersions() bool {
	versions, complete := j.gateway.config.Versions(j.service)
	return !complete || len(versions) > 1
}

// candidates returns the endpoints that may get the request: those of the service, or for a stream that has begun, those
// that certainly run the version that began it.
func (j *job) candidates(now time.Time) []registry.Endpoint {
	g := j.gateway
	all := g.config.Endpoints().Endpoints(j.service, now)
	if j.origin == nil {
		return all
	}
	several := j.severalVersions()
	if several && (j.versionUncertain || g.config.EndpointsAge() > maxEndpointsAge || j.firstEndpointRestarted(all)) {
		return nil
	}
	var out []registry.Endpoint
	for _, e := range all {
		if e.SoftwareVersion == j.origin.Version && !(several && g.config.Chooser.LostConnection(e, now.Add(-restartPeriod))) {
			out = append(out, e)
		}
	}
	return out
}
