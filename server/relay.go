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
	// recordLimit is the largest streamed answer that is put together for repeats, in bytes of text.
	recordLimit = 1 << 20
	endMarker   = "[DONE]"
	eventError  = "error"
)

var errCallerGone = errors.New("server: caller does not take the answer")

// relay passes an answer to the caller.
type relay struct {
	job *job
	rc  *http.ResponseController
	// started says that pieces have been passed to the caller.
	started bool
	// gone says that the caller does not take any more.
	gone bool
	// record puts a streamed answer of a keyed request together for repeats; nil when it is not kept.
	record *endpoint.Assembler
}

func newRelay(j *job) *relay {
	r := &relay{job: j, rc: http.NewResponseController(j.w)}
	r.reset()
	return r
}

// reset forgets the pieces of a run that was not passed on.
func (r *relay) reset() {
	r.record = nil
	if r.job.keyed && r.job.chat != nil && r.job.chat.stream {
		r.record = new(endpoint.Assembler)
	}
}

// piece passes one piece of a streamed answer on at once.
func (r *relay) piece(p endpoint.StreamEvent) error {
	r.keep(p)
	if p.Usage && !r.job.chat.wantsUsage {
		return nil
	}
	if !r.gone {
		r.gone = r.send(p) != nil
	}
	if r.gone && !r.job.detached() {
		return errCallerGone
	}
	return nil
}

func (r *relay) keep(p endpoint.StreamEvent) {
	if r.record == nil {
		return
	}
	if r.record.Add(p) != nil || r.record.Size() > recordLimit {
		r.record = nil
	}
}

func (r *relay) send(p endpoint.StreamEvent) error {
	if !r.started {
		r.job.server.meters.first.UpdateSince(r.job.start)
		r.open()
	}
	m := &sse.Message{ID: sse.ID(strconv.FormatUint(p.Offset, 10))}
	m.AppendData(string(p.Data))
	return r.event(m)
}

// open sends the header of a streamed answer.
func (r *relay) open() {
	r.started = true
	h := r.job.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(headerRequestID, r.job.id)
	r.job.w.WriteHeader(http.StatusOK)
}

func (r *relay) event(m *sse.Message) error {
	_ = r.rc.SetWriteDeadline(r.job.writeDeadline())
	if _, err := m.WriteTo(r.job.w); err != nil {
		return err
	}
	return r.rc.Flush()
}

// end sends the marker that the streamed answer is whole.
func (r *relay) end() {
	m := new(sse.Message)
	m.AppendData(endMarker)
	_ = r.event(m)
}

// abort sends a refusal as the last event.
func (r *relay) abort(f *refusal) {
	data, _ := json.Marshal(f.problem())
	m := &sse.Message{Type: sse.Type(eventError)}
	m.AppendData(string(data))
	_ = r.event(m)
}

// complete passes the rest of a whole answer on: the end marker of a stream, or all of it.
func (r *relay) complete(res *endpoint.Result) {
	if r.job.chat != nil && r.job.chat.stream {
		if !r.started {
			r.open()
		}
		if !r.gone {
			r.end()
		}
		return
	}
	header := r.job.w.Header()
	for k, v := range passedOn(res.Header, []string{headerRequestID}) {
		header[k] = v
	}
	r.whole(res.HTTPStatus, res.Body)
}

func (r *relay) whole(status int, body []byte) {
	h := r.job.w.Header()
	h.Set(headerRequestID, r.job.id)
	if r.job.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = r.rc.SetWriteDeadline(r.job.writeDeadline())
	r.job.w.WriteHeader(status)
	_, _ = r.job.w.Write(body)
}

// recorded returns the whole answer as it is kept for repeats, or that it is not kept.
func (r *relay) recorded(res *endpoint.Result) (body []byte, dropped bool) {
	if r.job.chat == nil || !r.job.chat.stream {
		return res.Body, false
	}
	if r.record == nil {
		return nil, true
	}
	body, err := r.record.Completion(r.job.id)
	return body, err != nil
}

// replay passes a recorded answer on, in the form that the caller asked for.
func (r *relay) replay(o idempotency.Outcome) {
	h := r.job.w.Header()
	h.Set(headerReplayed, "true")
	if r.job.chat == nil || !r.job.chat.stream {
		h.Set("Content-Type", o.ContentType)
		r.whole(o.Status, o.Body)
		return
	}
	pieces, err := endpoint.SplitCompletion(o.Body)
	if err != nil {
		r.job.refuse(refuse(ReasonAnswerNotKept, "the recorded answer cannot be streamed").mayHaveRun())
		return
	}
	for _, p := range pieces {
		if !p.Usage || r.job.chat.wantsUsage {
			_ = r.send(p)
		}
	}
	r.end()
}
