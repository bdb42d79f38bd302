package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"

	"github.com/apex/log"

	"pumiceshelf/placement"
)

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// relayWhole reads an answer to its end and passes it on.
func (j *job) relayWhole(a *attempt) *failure {
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, answerLimit+1))
	if err != nil && errors.Is(context.Cause(a.ctx), errSilent) {
		return j.silent(a.ticket)
	}
	if err != nil || len(body) > answerLimit {
		j.log().WithField("endpoint", a.ticket.Endpoint.ID).WithError(err).Info("gateway: answer cut")
		return &failure{reason: reasonCut, result: placement.Broken, ran: true, sent: true}
	}
	answer := whole{status: a.resp.StatusCode, header: a.resp.Header, body: body}
	if answer.status >= http.StatusInternalServerError {
		return &failure{reason: reasonEndpointFailed, result: placement.Errored, ran: true, sent: true, passOn: &answer}
	}
	j.deliver(answer)
	return nil
}

// deliver passes an endpoint's answer on unchanged.
func (j *job) deliver(a whole) {
	j.status = a.status
	j.writeHeader(a.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	j.w.WriteHeader(a.status)
	if _, err := j.w.Write(a.body); err != nil && j.r.Method != http.MethodHead {
		j.why = reasonCallerLeft
	}
}

// writeHeader fills in the answer's header from an endpoint's.
func (j *job) writeHeader(from http.Header) {
	h := j.w.Header()
	maps.Copy(h, j.gateway.config.Wire.Deliver(from))
	if _, ok := h["Content-Type"]; !ok {
		// Go guesses a type unless the header has the field.
		h["Content-Type"] = nil
	}
	if j.gateway.leaving.Load() {
		h.Set("Connection", "close")
	}
}

// relayStream passes a stream on event by event.
func (j *job) relayStream(a *attempt) *failure {
	events := newEventReader(a.resp.Body)
	control := http.NewResponseController(j.w)
	resumed := j.headerSent
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) && j.headerSent {
			return nil
		}
		if err != nil && errors.Is(context.Cause(a.ctx), errSilent) {
			return j.silent(a.ticket)
		}
		if err != nil {
			j.log().WithFields(log.Fields{"endpoint": a.ticket.Endpoint.ID, "events": j.events}).WithError(err).Info("gateway: stream cut")
			return &failure{reason: reasonCut, result: placement.Broken, ran: true, sent: true}
		}
		if ev.numbered && resumed && ev.id <= j.lastEvent {
			continue
		}
		a.ticket.FirstToken(j.gateway.config.Clock.Now())
		if a.dog != nil {
			a.dog.advance()
		}
		j.mayHaveRun = true
		if !j.headerSent {
			j.startStream(a)
		}
		if _, err := j.w.Write(ev.raw); err != nil {
			return &failure{reason: reasonCallerLeft, result: placement.Withdrawn, ran: true, sent: true}
		}
		j.events++
		if ev.numbered {
			j.lastEvent = ev.id
		}
		if err := control.Flush(); err != nil {
			return &failure{reason: reasonCallerLeft, result: placement.Withdrawn, ran: true, sent: true}
		}
	}
}

// startStream sends the header of the first endpoint that answers.
func (j *job) startStream(a *attempt) {
	j.firstAfter = j.gateway.config.Clock.Since(j.started)
	j.status, j.headerSent = a.resp.StatusCode, true
	j.writeHeader(a.resp.Header)
	j.w.Header().Del("Content-Length")
	j.w.WriteHeader(a.resp.StatusCode)
}
