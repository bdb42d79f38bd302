package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// relayBuffered reads the whole response and then passes it on.
func (j *job) relayBuffered(a *attempt) *failure {
	body, taken, err := j.gateway.buffered.readAll(a.resp.Body, maxResponseBytes)
	j.bufferedBytes += taken
	if err != nil && errors.Is(context.Cause(a.ctx), errUnresponsive) {
		return j.unresponsiveFailure(a.ticket)
	}
	if err != nil || len(body) > maxResponseBytes {
		j.logger().WithFields(log.Fields{"endpoint": a.ticket.Endpoint.ID, "content": j.content}).WithError(err).
			Info("gateway: response is truncated or too large")
		return &failure{reason: reasonResponseTruncated, result: placement.InvalidResponse, mayHaveRun: true, sent: true}
	}
	response := bufferedResponse{status: a.resp.StatusCode, header: a.resp.Header, body: body}
	if response.status >= http.StatusInternalServerError {
		return &failure{reason: reasonEndpointFailed, result: placement.Errored, mayHaveRun: true, sent: true, response: &response}
	}
	if j.headerSent {
		// The response cannot be the rest of the stream that the caller already receives.
		j.logger().WithFields(log.Fields{"endpoint": a.ticket.Endpoint.ID, "status": response.status}).Info("gateway: endpoint did not resume the stream")
		return &failure{reason: reasonEndpointFailed, result: placement.Served, mayHaveRun: true, sent: true}
	}
	if response.status/100 == 2 {
		j.recordBegun()
	}
	j.sendResponse(response)
	return nil
}

// sendResponse sends a buffered response of an endpoint to the caller unchanged.
func (j *job) sendResponse(resp bufferedResponse) {
	j.status = resp.status
	j.setResponseHeader(resp.header)
	if j.r.Method != http.MethodHead {
		j.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	j.w.WriteHeader(resp.status)
	if err := j.writeBody(resp.body); err != nil && j.r.Method != http.MethodHead {
		j.reason = reasonCallerCanceled
	}
}

// writeBody writes a response that is complete. A caller that does not read it must not hold its memory, so the connection ends when the
// time of the request is over, or earlier if other responses need the memory.
func (j *job) writeBody(body []byte) error {
	control := http.NewResponseController(j.w)
	j.setWriteDeadline(control, j.lastWrite())
	write := j.gateway.buffered.beginWrite(j.bufferedBytes, func() { j.setWriteDeadline(control, time.Unix(1, 0)) })
	_, err := j.w.Write(body)
	if err == nil {
		err = control.Flush()
	}
	if !j.gateway.buffered.endWrite(write) {
		j.bufferedBytes -= write.bytes
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		j.logger().WithField("bytes", len(body)).WithError(err).Info("gateway: caller did not read the response")
		return err
	}
	j.setWriteDeadline(control, time.Time{})
	return err
}

// lastWrite returns the time until which the caller may read what is written to it now.
func (j *job) lastWrite() time.Time {
	if least := j.gateway.config.Clock.Now().Add(minWriteTime); j.deadline.Before(least) {
		return least
	}
	return j.deadline
}

func (j *job) setWriteDeadline(control *http.ResponseController, at time.Time) {
	if err := control.SetWriteDeadline(at); err != nil {
		j.logger().WithError(err).Debug("gateway: cannot set the write deadline")
	}
}

// setResponseHeader sets the caller's response header from the header of an endpoint's response.
func (j *job) setResponseHeader(from http.Header) {
	h := j.w.Header()
	maps.Copy(h, j.gateway.config.Headers.ResponseHeader(from))
	h.Del(outOfReachHeader)
	if _, ok := h["Content-Type"]; !ok {
		// net/http detects a content type unless the header has the key.
		h["Content-Type"] = nil
	}
	if j.gateway.isDraining() || j.movesCaller() {
		h.Set("Connection", "close")
	}
}

// relayStream passes on a stream event by event.
func (j *job) relayStream(a *attempt) *failure {
	if !j.headerSent && (j.r.Method == http.MethodHead || a.resp.StatusCode == http.StatusNoContent) {
		// The response has no body and so is complete without an event.
		return j.relayBuffered(a)
	}
	if f := j.checkContinuation(a); f != nil {
		return f
	}
	control := http.NewResponseController(j.w)
	resumed, received := j.headerSent, 0
	defer j.recordStream(a, resumed)
	for {
		ev, err := a.nextEvent()
		if err == nil {
			err = j.checkEvent(a, ev)
		}
		if errors.Is(err, io.EOF) && (j.headerSent && received > 0 || isFramed(a.resp)) {
			if !j.headerSent {
				j.sendStreamHeader(a)
			}
			if !j.attemptBegun && isFramed(a.resp) {
				j.recordBegun()
			}
			j.setWriteDeadline(control, time.Time{})
			return nil
		}
		if err != nil && errors.Is(context.Cause(a.ctx), errUnresponsive) {
			return j.unresponsiveFailure(a.ticket)
		}
		if err != nil {
			j.logger().WithFields(log.Fields{"endpoint": a.ticket.Endpoint.ID, "events": j.eventCount, "content": j.content}).WithError(err).
				Info("gateway: stream is truncated or invalid")
			return &failure{reason: reasonResponseTruncated, result: placement.InvalidResponse, mayHaveRun: true, sent: true}
		}
		if received++; received == eventsToBegin {
			j.recordBegun()
		}
		if ev.hasID && resumed && ev.id <= j.lastEventID {
			continue
		}
		if !j.keep() {
			return j.unresponsiveFailure(a.ticket)
		}
		a.ticket.RecordProgress(j.gateway.config.Clock.Now())
		a.watchdog.suspend()
		j.mayHaveRun = true
		if j.eventCount == 0 || j.versionUncertain {
			j.recordOrigin(a.ticket.Endpoint)
		}
		if !j.headerSent {
			j.sendStreamHeader(a)
		}
		if _, err := j.w.Write(ev.raw); err != nil {
			return &failure{reason: reasonCallerCanceled, result: placement.Canceled, mayHaveRun: true, sent: true}
		}
		j.recordEventSent(j.gateway.config.Clock.Now())
		j.eventCount++
		if ev.hasID {
			j.lastEventID = ev.id
		} else if ev.hasFields {
			j.recordEventWithoutID()
		}
		if err := control.Flush(); err != nil {
			return &failure{reason: reasonCallerCanceled, result: placement.Canceled, mayHaveRun: true, sent: true}
		}
		j.resumeWatch(a)
	}
}

// recordEventSent records when an event is sent to the caller.
func (j *job) recordEventSent(now time.Time) {
	if j.eventCount > 0 {
		j.longestPause = max(j.longestPause, now.Sub(j.lastEventAt))
	}
	j.lastEventAt = now
}

// isFramed reports whether the response has a length or chunks, so that its end is known. Otherwise it ends with the
// connection, as does a response that breaks off.
func isFramed(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// sendStreamHeader sends the header of the first endpoint that responds.
func (j *job) sendStreamHeader(a *attempt) {
	j.firstEventLatency = j.gateway.config.Clock.Since(j.started)
	j.mu.Lock()
	j.status, j.headerSent, j.streamKind = a.resp.StatusCode, true, a.kind
	j.mu.Unlock()
	j.setResponseHeader(a.resp.Header)
	j.w.Header().Del("Content-Length")
	// A caller that does not read its events must not keep the request in progress, with the tokens that are reserved for it.
	j.setWriteDeadline(http.NewResponseController(j.w), j.lastWrite())
	j.w.WriteHeader(a.resp.StatusCode)
}
