package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"pumiceshelf/bundle"
	"pumiceshelf/claim"
	"pumiceshelf/intake"
	"pumiceshelf/quota"
)

// job is the state of one request in progress.
type job struct {
	server     *Server
	w          http.ResponseWriter
	r          *http.Request
	receivedAt time.Time
	// id is the request ID of the current run, or that of the original request for a duplicate.
	id       string
	snapshot *bundle.Snapshot
	customer *bundle.Customer
	headers  controlHeaders
	deadline time.Time
	body     []byte
	// upload holds the memory of the body. It is nil without a body.
	upload *intake.Upload
	// chat is set for a model request, service for a call to a plain service.
	chat    *chatRequest
	service *bundle.Service
	// idempotent is true if the request may run more than once.
	idempotent bool
	keyed      bool
	key        claim.KeyHash
	relay      *relay
	// firstRunID is the ID of the first run, from which those of later runs are derived.
	firstRunID string
	// mayHaveRun is true if an endpoint may have run the request.
	mayHaveRun     bool
	runCount       int
	reservation    *runReservation
	triedEndpoints []string
}

func newJob(s *Server, w http.ResponseWriter, r *http.Request) *job {
	return &job{server: s, w: w, r: r, receivedAt: s.cfg.Clock.Now(), id: uuid.NewString()}
}

// serve handles the request from authentication to the end of the response.
func (j *job) serve() {
	defer j.releaseBody()
	// A write deadline of an earlier request may still be set on the connection.
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Time{})
	if f := j.parseRequest(); f != nil {
		j.sendRefusal(f)
		return
	}
	if j.keyed && !j.claimKey() {
		return
	}
	j.deliver(j.execute())
}

// parseRequest authenticates, reads and validates the request.
func (j *job) parseRequest() *refusal {
	if f := j.authenticate(); f != nil {
		return f
	}
	c, f := parseControlHeaders(j.r.Header)
	if f != nil {
		return f
	}
	j.headers = c
	if f := j.resolvePath(); f != nil {
		return f
	}
	if f := j.readBody(); f != nil {
		return f
	}
	if j.service == nil {
		if j.chat, f = parseChatRequest(j.snapshot, j.body); f != nil {
			return f
		}
	}
	j.resolveOptions()
	return nil
}

// authenticate identifies the customer by the request's bearer token.
func (j *job) authenticate() *refusal {
	j.snapshot = j.server.cfg.Bundles.Current()
	hash, ok := bearerTokenHash(j.r.Header)
	if ok {
		j.customer = j.snapshot.CustomerByKey(hash)
	}
	if j.customer == nil {
		return newRefusal(ReasonUnauthenticated, "the Authorization header must carry a customer's bearer token")
	}
	return nil
}

// resolvePath checks that the path is that of model requests or finds the plain service that serves it.
func (j *job) resolvePath() *refusal {
	path := j.r.URL.Path
	if path == chatPath {
		if j.r.Method != http.MethodPost {
			j.w.Header().Set("Allow", http.MethodPost)
			return newRefusal(ReasonMethodNotAllowed, "model requests use POST")
		}
		return nil
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == ".." || part == "." {
			return invalidField("path", "must not have . or .. in it")
		}
	}
	if j.service = j.snapshot.ServiceFor(path); j.service == nil {
		return newRefusal(ReasonNotFound, "no service of the bundle in force has a prefix of this path")
	}
	return nil
}

// resolveOptions determines the deadline, the idempotency and the ID of the request.
func (j *job) resolveOptions() {
	limit := j.server.cfg.Admission.DefaultDeadline.AsDuration()
	if j.headers.deadline > 0 {
		limit = j.headers.deadline
	}
	if j.service != nil && j.service.Timeout > 0 {
		limit = min(limit, j.service.Timeout)
	}
	j.deadline = j.receivedAt.Add(limit)
	j.idempotent = j.isIdempotent()
	if j.headers.key != "" {
		j.keyed = true
		j.key = claim.HashKey(j.customer.ID, j.headers.key)
		j.id = requestIDForKey(j.key)
		if j.idempotent {
			// An idempotent request may run more than once. Each run needs its own ID to be reserved and charged
			// separately.
			j.id += "." + uuid.NewString()[:runIDSuffixLength]
		}
	}
	j.firstRunID = j.id
	j.relay = newRelay(j)
}

// isIdempotent reports whether the request may run more than once. For a model request the caller's header takes
// precedence over the bundle. A plain service call is idempotent only if the bundle allows it and the caller does not
// deny it.
func (j *job) isIdempotent() bool {
	declared := j.headers.idempotent
	if j.service != nil {
		return !j.service.NonIdempotent[j.r.Method] && (declared == nil || *declared)
	}
	if declared != nil {
		return *declared
	}
	return !j.chat.model.NonIdempotent
}

// remainingTime returns the time until the deadline, at least zero.
func (j *job) remainingTime() time.Duration { return max(j.deadline.Sub(j.server.cfg.Clock.Now()), 0) }

// addTraceEvent adds an event to the request's trace. Unauthenticated requests have no trace, so that they cannot evict
// the traces of customers' requests.
func (j *job) addTraceEvent(text string) {
	if j.server.cfg.Traces != nil && j.customer != nil {
		j.server.cfg.Traces.Add(j.id, j.customer.ID, "server", text)
	}
}

// sendRefusal counts and logs a refusal and sends it as the response.
func (j *job) sendRefusal(f *refusal) {
	f.requestID = j.id
	j.server.metrics.refused[f.reason].Inc(1)
	if f.unknownOutcome {
		j.server.metrics.unknownOutcomes.Inc(1)
		j.server.cfg.Log.Infof("server: request %s ended with unknown outcome: %s", j.id, f.reason)
	}
	j.addTraceEvent("refused: " + string(f.reason) + " " + f.detail)
	j.server.cfg.Log.Debugf("server: request %s refused: %s", j.id, f.reason)
	f.write(j.w)
}

// usageRecord returns the usage record of a run, without its charge.
func (j *job) usageRecord(held *runReservation) quota.Usage {
	return quota.Usage{
		RequestID: held.request.RequestID, Budget: held.request.Budget, Model: held.request.Model,
		Lease: held.reservation.Lease, Holder: held.reservation.Holder, Endpoint: held.endpoint,
	}
}
