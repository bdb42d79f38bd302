package server

import (
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"pumiceshelf/bundle"
	"pumiceshelf/claim"
	"pumiceshelf/quota"
)

// job is one request on its way.
type job struct {
	server   *Server
	w        http.ResponseWriter
	r        *http.Request
	start    time.Time
	id       string
	snapshot *bundle.Snapshot
	customer *bundle.Customer
	control  control
	deadline time.Time
	body     []byte
	held     int64
	// chat is set for a model request, service for a call of a plain service.
	chat    *chat
	service *bundle.Service
	// idempotent requests may run more than once.
	idempotent bool
	keyed      bool
	key        claim.KeyHash
	relay      *relay
	// firstID is the id of the first run.
	firstID string
	// ran says that a run was dispatched and may have taken place.
	ran   bool
	runs  int
	bill  *bill
	avoid []string
}

func newJob(s *Server, w http.ResponseWriter, r *http.Request) *job {
	return &job{server: s, w: w, r: r, start: s.cfg.Clock.Now(), id: uuid.NewString()}
}

// serve sees the request through.
func (j *job) serve() {
	defer j.releaseBody()
	// The connection may carry the deadline of a request before.
	_ = http.NewResponseController(j.w).SetWriteDeadline(time.Time{})
	if f := j.understand(); f != nil {
		j.refuse(f)
		return
	}
	if j.keyed && !j.begin() {
		return
	}
	j.deliver(j.execute())
}

// understand authenticates, reads and checks the request.
func (j *job) understand() *refusal {
	if f := j.authenticate(); f != nil {
		return f
	}
	c, f := parseControl(j.r.Header)
	if f != nil {
		return f
	}
	j.control = c
	if f := j.target(); f != nil {
		return f
	}
	if f := j.read(); f != nil {
		return f
	}
	if j.service == nil {
		if j.chat, f = parseChat(j.snapshot, j.body); f != nil {
			return f
		}
	}
	j.fixTerms()
	return nil
}

// authenticate finds the customer whose token the request carries.
func (j *job) authenticate() *refusal {
	j.snapshot = j.server.cfg.Bundles.Current()
	hash, ok := bearer(j.r.Header)
	if ok {
		j.customer = j.snapshot.CustomerByKey(hash)
	}
	if j.customer == nil {
		return refuse(ReasonUnauthenticated, "the Authorization header must carry a customer's bearer token")
	}
	return nil
}

// target finds what the path names.
func (j *job) target() *refusal {
	path := j.r.URL.Path
	if path == chatPath {
		if j.r.Method != http.MethodPost {
			j.w.Header().Set("Allow", http.MethodPost)
			return refuse(ReasonMethod, "model requests use POST")
		}
		return nil
	}
	for part := range strings.SplitSeq(path, "/") {
		if part == ".." || part == "." {
			return badField("path", "must not have . or .. in it")
		}
	}
	if j.service = j.snapshot.ServiceFor(path); j.service == nil {
		return refuse(ReasonNotFound, "no service of the bundle in force has a prefix of this path")
	}
	return nil
}

// fixTerms decides deadline, idempotency and id.
func (j *job) fixTerms() {
	limit := j.server.cfg.Admission.DefaultDeadline.AsDuration()
	if j.control.deadline > 0 {
		limit = j.control.deadline
	}
	if j.service != nil && j.service.Timeout > 0 {
		limit = min(limit, j.service.Timeout)
	}
	j.deadline = j.start.Add(limit)
	j.idempotent = j.mayRepeat()
	if j.control.key != "" {
		j.keyed = true
		j.key = claim.HashKey(j.customer.ID, j.control.key)
		j.id = keyedID(j.key)
		if j.idempotent {
			// Each decision to run has an id of its own, so that each run is reserved and billed by itself.
			j.id += "." + uuid.NewString()[:runSuffix]
		}
	}
	j.firstID = j.id
	j.relay = newRelay(j)
}

// mayRepeat says whether the request may run more than once. A caller may say so of a model request; of a call to a
// plain service only the bundle may, and a caller may say the contrary.
func (j *job) mayRepeat() bool {
	said := j.control.idempotent
	if j.service != nil {
		return !j.service.NonIdempotent[j.r.Method] && (said == nil || *said)
	}
	if said != nil {
		return *said
	}
	return !j.chat.model.NonIdempotent
}

// remaining is the time until the deadline.
func (j *job) remaining() time.Duration { return max(j.deadline.Sub(j.server.cfg.Clock.Now()), 0) }

// tell adds an event to the request's story. Requests of nobody have none, so that they push no others out.
func (j *job) tell(text string) {
	if j.server.cfg.Stories != nil && j.customer != nil {
		j.server.cfg.Stories.Add(j.id, j.customer.ID, "server", text)
	}
}

// refuse answers with a refusal.
func (j *job) refuse(f *refusal) {
	f.requestID = j.id
	j.server.meters.refused[f.reason].Inc(1)
	if f.unknown {
		j.server.meters.unknown.Inc(1)
		j.server.cfg.Log.Infof("server: %s unknown, %s", j.id, f.reason)
	}
	j.tell("refused: " + string(f.reason) + " " + f.detail)
	j.server.cfg.Log.Debugf("server: %s refused, %s", j.id, f.reason)
	f.write(j.w)
}

// usageOf fills what a settlement needs to know of the request.
func (j *job) usageOf(b *bill) quota.Usage {
	return quota.Usage{
		RequestID: b.request.RequestID, Budget: b.request.Budget, Model: b.request.Model,
		Lease: b.reservation.Lease, Holder: b.reservation.Holder, Endpoint: b.endpoint,
	}
}
