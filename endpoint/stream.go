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

// stream relays a streamed answer. It checks the id and offset of each event and picks the stream up where it broke.
type stream struct {
	answer *answer
	sink   func(Piece) error
	// next is the offset of the first token that was not relayed.
	next     uint64
	finished bool
	usage    Usage
	resumes  int
	// idle counts the tries since the last new token.
	idle int
}

func newStream(a *answer, sink func(Piece) error) *stream { return &stream{answer: a, sink: sink} }

// run relays the stream that x has opened.
func (s *stream) run(ctx context.Context, x *exchange) Result {
	reason, done := s.read(x)
	if done {
		return s.complete()
	}
	return s.pickUp(ctx, reason)
}

// pickUp goes on with a stream that broke, for as long as it makes progress.
func (s *stream) pickUp(ctx context.Context, reason Reason) Result {
	c := s.answer.client
	for {
		if final, end := s.final(reason); end {
			return final
		}
		count(c.count.broken, reason)
		if !s.wait(ctx) {
			return s.end(Broken, reason)
		}
		next, done, gone := s.resume(ctx)
		if done {
			return s.complete()
		}
		if gone {
			return s.end(Broken, reason)
		}
		reason = next
	}
}

// final returns the result for reasons that no further try can mend.
func (s *stream) final(reason Reason) (Result, bool) {
	switch reason {
	case ReasonCallerGone, ReasonDeadline:
		return s.end(Canceled, reason), true
	case ReasonOverCap:
		return s.end(Broken, reason), true
	}
	return Result{}, false
}

// wait spaces out tries and bounds them.
func (s *stream) wait(ctx context.Context) bool {
	s.idle++
	if s.idle > resumeTries {
		return false
	}
	if s.idle == 1 {
		return true
	}
	select {
	case <-s.answer.client.cfg.Clock.After(resumeDelay << (s.idle - 2)):
		return true
	case <-ctx.Done():
		return true
	}
}

// resume asks the engine for the rest of the stream. Gone means that the engine does not know the request.
func (s *stream) resume(ctx context.Context) (reason Reason, done, gone bool) {
	c, call := s.answer.client, s.answer.call
	x := c.exchange(ctx, request{method: http.MethodGet, base: call.URL, path: resumePath(call.RequestID, s.next), fresh: true})
	defer x.close()
	if x.err != nil {
		return x.failure(x.err), false, false
	}
	if x.res.StatusCode == http.StatusNotFound {
		return ReasonNone, false, true
	}
	if x.res.StatusCode != http.StatusOK {
		return ReasonServer, false, false
	}
	s.resumes++
	c.count.resumed.Inc(1)
	if s.next > 0 {
		c.repaired(fmt.Sprintf("stream %s picked up at %s from token %d", call.RequestID, call.Endpoint, s.next))
	}
	reason, done = s.read(x)
	return reason, done, false
}

func resumePath(id string, offset uint64) string {
	return "/v1/requests/" + url.PathEscape(id) + "/stream?offset=" + strconv.FormatUint(offset, 10)
}

// read relays events until the end marker, or says why it stopped before.
func (s *stream) read(x *exchange) (Reason, bool) {
	if x.res.Header.Get(headerRequestID) != s.answer.call.RequestID {
		return ReasonWrongID, false
	}
	for event, err := range sse.Read(x.body(), &sse.ReadConfig{MaxEventSize: eventLimit}) {
		if err != nil {
			return x.failure(err), false
		}
		if event.Data == endMarker {
			return s.marker()
		}
		if reason := s.event(x, event); reason != ReasonNone {
			return reason, false
		}
	}
	return ReasonTruncated, false
}

// marker judges whether the answer is whole at its end marker.
func (s *stream) marker() (Reason, bool) {
	if s.finished && s.usage.Known && s.usage.Generated == s.next {
		return ReasonNone, true
	}
	return ReasonTruncated, false
}

// event checks one event and relays it unless it was seen before.
func (s *stream) event(x *exchange, e sse.Event) Reason {
	var c chunk
	offset, err := strconv.ParseUint(e.LastEventID, 10, 64)
	if err != nil || json.Unmarshal([]byte(e.Data), &c) != nil {
		return ReasonMalformed
	}
	if c.RequestID != s.answer.call.RequestID {
		return ReasonWrongID
	}
	n := c.tokens()
	if offset > s.next {
		return ReasonTruncated
	}
	if offset+n <= s.next && s.seen(&c, n) {
		s.answer.client.count.duplicates.Inc(1)
		return ReasonNone
	}
	if offset < s.next {
		return ReasonMalformed
	}
	if n > 0 {
		x.flowing()
	}
	reason := ReasonNone
	x.watch.pause(func() { reason = s.relay(&c, n, e.Data) })
	return reason
}

// seen says whether an event that ends at or before the next token is a duplicate.
func (s *stream) seen(c *chunk, n uint64) bool {
	switch {
	case n > 0:
		return true
	case c.Usage != nil:
		return s.usage.Known
	}
	return s.finished
}

func (s *stream) relay(c *chunk, n uint64, data string) Reason {
	limit := s.answer.call.CapTokens
	if limit > 0 && s.next+n > limit {
		return ReasonOverCap
	}
	if n > 0 {
		s.answer.noteFirst()
		s.idle = 0
	}
	if err := s.sink(Piece{Offset: s.next, Data: []byte(data), Usage: n == 0 && len(c.Choices) == 0}); err != nil {
		return ReasonCallerGone
	}
	s.next += n
	s.finished = s.finished || c.finished()
	if c.Usage != nil {
		s.usage = c.Usage.known()
	}
	return ReasonNone
}

func (s *stream) complete() Result {
	r := s.end(Complete, ReasonNone)
	r.Usage = s.usage
	r.HTTPStatus = http.StatusOK
	return r
}

func (s *stream) end(status Status, reason Reason) Result {
	return Result{Status: status, Reason: reason, FirstToken: s.answer.first, Resumes: s.resumes}
}
