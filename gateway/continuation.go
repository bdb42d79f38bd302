package gateway

import (
	"errors"
	"fmt"
	"mime"
	"net/http"
	"strings"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// eventStreamType is the media type of a stream of events.
const eventStreamType = "text/event-stream"

var (
	errNoEvent   = errors.New("gateway: text in a stream is not an event")
	errUnknownID = errors.New("gateway: event of a resumed stream has no ID")
)

// responseKind is what the responses have in common whose events make up one stream.
type responseKind struct {
	status              int
	mediaType, encoding string
}

func kindOf(r *http.Response) responseKind {
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil {
		mediaType = strings.ToLower(r.Header.Get("Content-Type"))
	}
	return responseKind{status: r.StatusCode, mediaType: mediaType, encoding: r.Header.Get("Content-Encoding")}
}

// continues reports whether a response can go on with a stream that another one began.
func (k responseKind) continues(begun responseKind) bool {
	return k.status == begun.status && k.encoding == begun.encoding && (k.mediaType == begun.mediaType || k.mediaType == eventStreamType)
}

// begunStream is what the caller already has of a stream.
type begunStream struct {
	begun bool
	kind  responseKind
	// withoutID is set once it has had an event without an ID.
	withoutID bool
}

// begunStream returns what the caller has of its stream.
func (j *job) begunStream() begunStream {
	j.mu.Lock()
	defer j.mu.Unlock()
	return begunStream{begun: j.headerSent, kind: j.streamKind, withoutID: j.eventsWithoutID}
}

// recordEventWithoutID records that the caller gets an event without an ID.
func (j *job) recordEventWithoutID() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.eventsWithoutID = true
}

// checkContinuation returns a failure if the response of an attempt cannot be part of the stream that the caller already receives.
func (j *job) checkContinuation(a *attempt) *failure {
	stream := j.begunStream()
	a.resumes = stream.begun
	if !stream.begun || a.kind.continues(stream.kind) {
		return nil
	}
	j.logger().WithFields(log.Fields{
		"endpoint": a.ticket.Endpoint.ID, "status": a.kind.status, "type": a.kind.mediaType, "encoding": a.kind.encoding,
		"begun_status": stream.kind.status, "begun_type": stream.kind.mediaType,
	}).Info("gateway: endpoint did not resume the stream")
	return &failure{reason: reasonEndpointFailed, result: placement.Served, mayHaveRun: true, sent: true}
}

// checkEvent returns an error if what was read as an event is none, or cannot be part of the stream that the attempt resumes: it has no
// ID, although all events before had one.
func (j *job) checkEvent(a *attempt, ev event) error {
	if ev.malformed && a.kind.mediaType == eventStreamType {
		return fmt.Errorf("%w: %.80q", errNoEvent, ev.raw)
	}
	if ev.hasID || !ev.hasFields {
		return nil
	}
	if stream := j.begunStream(); a.resumes && !stream.withoutID {
		return fmt.Errorf("%w: %.80q", errUnknownID, ev.raw)
	}
	return nil
}
