package server

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/tmaxmax/go-sse"

	"pumiceshelf/endpoint"
	"pumiceshelf/idempotency"
)

const (
	// maxRecordedBytes limits the text of a streamed response that is recorded for duplicate requests.
	maxRecordedBytes = 1 << 20
	endMarker        = "[DONE]"
	errorEventType   = "error"
)

var errCallerDisconnected = errors.New("server: caller disconnected during the response")

// relay forwards the response of an endpoint to the caller.
type relay struct {
	job *job
	rc  *http.ResponseController
	// streamStarted is true if the header of a streamed response was sent to the caller.
	streamStarted bool
	// disconnected is true after a write to the caller failed.
	disconnected bool
	// assembler builds the complete response of a streamed, keyed request for duplicates of it. It is nil if the
	// response is not recorded.
	assembler *endpoint.Assembler
}

func newRelay(j *job) *relay {
	r := &relay{job: j, rc: http.NewResponseController(j.w)}
	r.reset()
	return r
}

// reset discards the recorded events of a run whose response was not forwarded.
func (r *relay) reset() {
	r.assembler = nil
	if r.job.keyed && r.job.chat != nil && r.job.chat.stream {
		r.assembler = new(endpoint.Assembler)
	}
}

// forward sends one event of a streamed response to the caller at once. After the caller disconnected it returns an
// error, which cancels the run, unless the run is detached.
func (r *relay) forward(e endpoint.StreamEvent) error {
	r.record(e)
	if e.Usage && !r.job.chat.wantsUsage {
		return nil
	}
	if !r.disconnected {
		r.disconnected = r.send(e) != nil
	}
	if r.disconnected && !r.job.isDetached() {
		return errCallerDisconnected
	}
	return nil
}

// record adds an event to the recorded response, which is discarded if it is invalid or over the limit.
func (r *relay) record(e endpoint.StreamEvent) {
	if r.assembler == nil {
		return
	}
	if r.assembler.Add(e) != nil || r.assembler.Size() > maxRecordedBytes {
		r.assembler = nil
	}
}

// send sends one event to the caller, after the header of the stream if it is the first.
func (r *relay) send(e endpoint.StreamEvent) error {
	if !r.streamStarted {
		r.job.server.metrics.timeToFirstToken.UpdateSince(r.job.receivedAt)
		r.startStream()
	}
	m := &sse.Message{ID: sse.ID(strconv.FormatUint(e.Offset, 10))}
	m.AppendData(string(e.Data))
	return r.writeEvent(m)
}

// startStream sends the header of a streamed response.
func (r *relay) startStream() {
	r.streamStarted = true
	h := r.job.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, r.job.id)
	r.job.w.WriteHeader(http.StatusOK)
}

// writeEvent writes one event and flushes it, within the write deadline.
func (r *relay) writeEvent(m *sse.Message) error {
	_ = r.rc.SetWriteDeadline(r.job.writeDeadline())
	if _, err := m.WriteTo(r.job.w); err != nil {
		return err
	}
	return r.rc.Flush()
}

// sendEndMarker sends the event that marks a streamed response as complete.
func (r *relay) sendEndMarker() {
	m := new(sse.Message)
	m.AppendData(endMarker)
	_ = r.writeEvent(m)
}

// sendError sends a refusal as the last event of a stream.
func (r *relay) sendError(f *refusal) {
	data, _ := json.Marshal(f.problem())
	m := &sse.Message{Type: sse.Type(errorEventType)}
	m.AppendData(string(data))
	_ = r.writeEvent(m)
}

// complete finishes a complete response: it sends the end marker of a stream, or the whole response otherwise.
func (r *relay) complete(res *endpoint.Result) {
	if r.job.chat != nil && r.job.chat.stream {
		if !r.streamStarted {
			r.startStream()
		}
		if !r.disconnected {
			r.sendEndMarker()
		}
		return
	}
	header := r.job.w.Header()
	for k, v := range forwardedHeaders(res.Header, []string{headerRequestID}) {
		header[k] = v
	}
	r.writeResponse(res.HTTPStatus, res.Body)
}

// writeResponse sends a response that is not streamed.
func (r *relay) writeResponse(status int, body []byte) {
	h := r.job.w.Header()
	h.Set(headerRequestID, r.job.id)
	if r.job.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = r.rc.SetWriteDeadline(r.job.writeDeadline())
	r.job.w.WriteHeader(status)
	_, _ = r.job.w.Write(body)
}

// recordedBody returns the body to record for duplicate requests. dropped is true if the response is not recorded.
func (r *relay) recordedBody(res *endpoint.Result) (body []byte, dropped bool) {
	if r.job.chat == nil || !r.job.chat.stream {
		return res.Body, false
	}
	if r.assembler == nil {
		return nil, true
	}
	body, err := r.assembler.Completion(r.job.id)
	return body, err != nil
}

// replay sends a recorded response, as a stream if the request asks for one.
func (r *relay) replay(o idempotency.Outcome) {
	h := r.job.w.Header()
	h.Set(headerReplayed, "true")
	if r.job.chat == nil || !r.job.chat.stream {
		h.Set("Content-Type", o.ContentType)
		r.writeResponse(o.Status, o.Body)
		return
	}
	events, err := endpoint.SplitCompletion(o.Body)
	if err != nil {
		r.job.sendRefusal(newRefusal(ReasonResponseNotStored, "the recorded answer cannot be streamed").withUnknownOutcome())
		return
	}
	for _, e := range events {
		if !e.Usage || r.job.chat.wantsUsage {
			_ = r.send(e)
		}
	}
	r.sendEndMarker()
}
