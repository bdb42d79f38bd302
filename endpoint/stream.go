package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/tmaxmax/go-sse"
)

// endMarker is the data of the event that closes a stream.
const endMarker = "[DONE]"

// stream relays a streaming response. It checks the ID and offset of each event and resumes an interrupted stream at the
// next token.
type stream struct {
	runner *callRunner
	sink   func(StreamEvent) error
	// nextOffset is the offset of the first token that has not been relayed.
	nextOffset uint64
	// finished is true once an event with a finish reason was relayed.
	finished bool
	usage    Usage
	resumes  int
	// idleResumes counts the attempts to resume since the last new token.
	idleResumes int
}

func newStream(r *callRunner, sink func(StreamEvent) error) *stream {
	return &stream{runner: r, sink: sink, idleResumes: r.overdueAttempts}
}

// run relays the stream that x has opened.
func (s *stream) run(ctx context.Context, x *exchange) Result {
	reason, done := s.readEvents(x)
	if done {
		return s.completeResult()
	}
	return s.resume(ctx, reason)
}

// resume continues an interrupted stream as long as it makes progress.
func (s *stream) resume(ctx context.Context, reason Reason) Result {
	c := s.runner.client
	for {
		if final, end := s.terminalResult(reason); end {
			return final
		}
		incReason(c.counters.interrupted, reason)
		if !s.waitBeforeResume(ctx) {
			return s.result(Incomplete, reason)
		}
		next, done, unknown := s.tryResume(ctx)
		if done {
			return s.completeResult()
		}
		if unknown {
			return s.result(Incomplete, reason)
		}
		reason = next
	}
}

// terminalResult returns the result for reasons that rule out another attempt. It returns false for all others.
func (s *stream) terminalResult(reason Reason) (Result, bool) {
	switch reason {
	case ReasonCallerCanceled, ReasonDeadline:
		return s.result(Canceled, reason), true
	case ReasonOverCap:
		return s.result(Incomplete, reason), true
	}
	return Result{}, false
}

// waitBeforeResume waits before the next attempt to resume. It returns false when the attempts are exhausted.
func (s *stream) waitBeforeResume(ctx context.Context) bool {
	s.idleResumes++
	if s.idleResumes > maxIdleResumes {
		return false
	}
	if s.idleResumes == 1 {
		return true
	}
	select {
	case <-s.runner.client.cfg.Clock.After(resumeBackoff << (s.idleResumes - 2)):
		return true
	case <-ctx.Done():
		return true
	}
}

// tryResume requests the rest of the stream from the engine. unknown is true if the engine does not know the request.
func (s *stream) tryResume(ctx context.Context) (reason Reason, done, unknown bool) {
	x := s.runner.client.send(ctx, s.runner.resumeRequest(s.nextOffset))
	defer x.close()
	if x.err != nil {
		return x.failureReason(x.err), false, false
	}
	if x.res.StatusCode == http.StatusNotFound {
		return ReasonNone, false, true
	}
	if x.res.StatusCode != http.StatusOK {
		return ReasonErrorStatus, false, false
	}
	reason, done = s.readResumed(x)
	return reason, done, false
}

// readResumed relays the events of a resumed stream, see readEvents.
func (s *stream) readResumed(x *exchange) (Reason, bool) {
	c, call := s.runner.client, s.runner.call
	s.resumes++
	c.counters.resumed.Inc(1)
	if s.nextOffset > 0 {
		c.recordRepair(fmt.Sprintf("stream %s picked up at %s from token %d", call.RequestID, call.Endpoint, s.nextOffset))
	}
	return s.readEvents(x)
}

// resumeRequest returns the request for the rest of the response from an offset.
func (a *callRunner) resumeRequest(offset uint64) request {
	path := "/v1/requests/" + url.PathEscape(a.call.RequestID) + "/stream?offset=" + strconv.FormatUint(offset, 10)
	return request{method: http.MethodGet, base: a.call.URL, path: path, useNewConnection: true}
}

// readEvents relays events until the end marker. It returns true if the response is complete, otherwise the reason why
// it is not.
func (s *stream) readEvents(x *exchange) (Reason, bool) {
	if x.res.Header.Get(headerRequestID) != s.runner.call.RequestID {
		return ReasonWrongID, false
	}
	for event, err := range sse.Read(x.body(), &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return x.failureReason(err), false
		}
		if event.Data == endMarker {
			return s.checkEndMarker()
		}
		if reason := s.handleEvent(x, event); reason != ReasonNone {
			return reason, false
		}
	}
	return ReasonTruncated, false
}

// checkEndMarker checks that the response is complete when its end marker arrives.
func (s *stream) checkEndMarker() (Reason, bool) {
	if s.finished && s.usage.Known && s.usage.GeneratedTokens == s.nextOffset {
		return ReasonNone, true
	}
	return ReasonTruncated, false
}

// handleEvent checks an event and relays it unless it is a duplicate.
func (s *stream) handleEvent(x *exchange, e sse.Event) Reason {
	var c parsedResponse
	offset, err := strconv.ParseUint(e.LastEventID, 10, 64)
	if err != nil || json.Unmarshal([]byte(e.Data), &c) != nil {
		return ReasonMalformed
	}
	if c.RequestID != s.runner.call.RequestID {
		return ReasonWrongID
	}
	n := c.tokenCount()
	if offset > s.nextOffset {
		return ReasonTruncated
	}
	if offset+n <= s.nextOffset && s.isDuplicate(&c, n) {
		s.runner.client.counters.duplicates.Inc(1)
		return ReasonNone
	}
	if offset < s.nextOffset {
		return ReasonMalformed
	}
	if n > 0 {
		x.startStallDetection()
	}
	reason := ReasonNone
	x.stallTimer.pauseDuring(func() { reason = s.relay(&c, n, e.Data) })
	return reason
}

// isDuplicate reports whether an event that ends at or before the next token was relayed before.
func (s *stream) isDuplicate(c *parsedResponse, n uint64) bool {
	switch {
	case n > 0:
		return true
	case c.Usage != nil:
		return s.usage.Known
	}
	return s.finished
}

func (s *stream) relay(c *parsedResponse, n uint64, data string) Reason {
	limit := s.runner.call.CapTokens
	if limit > 0 && s.nextOffset+n > limit {
		return ReasonOverCap
	}
	if n > 0 {
		s.runner.recordFirstToken()
		s.idleResumes = 0
	}
	if err := s.sink(StreamEvent{Offset: s.nextOffset, Data: []byte(data), Usage: n == 0 && len(c.Choices) == 0}); err != nil {
		return ReasonCallerCanceled
	}
	s.nextOffset += n
	s.finished = s.finished || c.isFinished()
	if c.Usage != nil {
		s.usage = c.Usage.toUsage()
	}
	return ReasonNone
}

func (s *stream) completeResult() Result {
	r := s.result(Complete, ReasonNone)
	r.Usage = s.usage
	r.HTTPStatus = http.StatusOK
	return r
}

func (s *stream) result(status Status, reason Reason) Result {
	return Result{Status: status, Reason: reason, TimeToFirstToken: s.runner.timeToFirstToken, Resumes: s.resumes}
}
