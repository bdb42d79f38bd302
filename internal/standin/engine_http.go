package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Headers of the engine protocol.
const (
	headerRequestID = "X-Request-Id"
	headerPriority  = "X-Priority"
	headerNotRun    = "X-Not-Run"
)

var priorities = map[string]int{"interactive": 0, "standard": 1, "": 1, "batch": 2}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// chunk is an event of a streamed answer or a complete answer.
type chunk struct {
	ID        string   `json:"id"`
	Object    string   `json:"object"`
	Model     string   `json:"model"`
	RequestID string   `json:"request_id"`
	Choices   []choice `json:"choices"`
	// Tokens is the number of tokens in an event.
	Tokens *int   `json:"tokens,omitempty"`
	Usage  *usage `json:"usage,omitempty"`
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	f := e.faultsFor(id)
	if f.Busy {
		writeNotRun(w)
		return
	}
	if f.Error {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(r.Body)
	var req chatRequest
	if err != nil || f.Reject || json.Unmarshal(body, &req) != nil {
		w.Header().Set(headerRequestID, id)
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	if !e.hasLoaded(req.Model) {
		writeNotRun(w)
		return
	}
	j := e.newJob(id, r.Header.Get(headerPriority), &req, f)
	e.submit(j)
	if !e.awaitFaults(r, f) {
		return
	}
	if req.Stream {
		e.stream(w, r, j, f, 0)
		return
	}
	e.serveWhole(w, r, j, f)
}

// writeNotRun responds that the request did not run.
func writeNotRun(w http.ResponseWriter) {
	w.Header().Set(headerNotRun, "1")
	http.Error(w, "not run", http.StatusServiceUnavailable)
}

func (e *Engine) newJob(id, priority string, req *chatRequest, f EngineFaults) *job {
	prompt, promptTokens := req.promptAndTokens()
	targetTokens := AnswerLength(req.Model, prompt)
	if e.cfg.AnswerTokens > 0 {
		targetTokens = e.cfg.AnswerTokens
	}
	if req.MaxTokens > 0 {
		targetTokens = min(targetTokens, req.MaxTokens)
	}
	if f.TokensOverCap > 0 {
		targetTokens = req.MaxTokens + f.TokensOverCap
	}
	return &job{
		id: id, model: req.Model, prompt: prompt, promptTokens: promptTokens, capTokens: req.MaxTokens, targetTokens: targetTokens,
		priority: priorities[priority], seed: answerSeed(req.Model, prompt), changed: make(chan struct{}),
	}
}

// awaitFaults applies the Unresponsive and Delay faults. It returns false if the client disconnected.
func (e *Engine) awaitFaults(r *http.Request, f EngineFaults) bool {
	if f.Unresponsive {
		<-r.Context().Done()
		return false
	}
	if f.Delay == 0 {
		return true
	}
	select {
	case <-time.After(f.Delay):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	j, f := e.findJob(id), e.faultsFor(id)
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if j == nil || f.ForgetRequests || err != nil || offset < 0 {
		http.NotFound(w, r)
		return
	}
	if !e.awaitFaults(r, f) {
		return
	}
	if !f.AbortResumed {
		f.AbortAfter = 0
	}
	f.SkipEvent = 0
	e.stream(w, r, j, f, offset)
}

// stream sends a job's tokens, starting at an offset.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, f EngineFaults, offset int) {
	source := e.responseJob(j, f)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequestID, j.id)
	if f.SwapResponse {
		w.Header().Set(headerRequestID, source.id)
	}
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	sent := offset
	for {
		v := e.progressOf(j)
		for ; sent < v.generated; sent++ {
			if f.AbortAfter > 0 && sent-offset >= f.AbortAfter {
				_ = flusher.Flush()
				panic(http.ErrAbortHandler)
			}
			if f.SkipEvent > 0 && sent == f.SkipEvent {
				continue
			}
			e.sendToken(w, source, sent, f.DuplicateEvents)
		}
		_ = flusher.Flush()
		if v.finished {
			e.sendEnd(w, source, j, f)
			return
		}
		if v.canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// responseJob returns the job whose ID and text are sent; with SwapResponse or SwapBody this is another job.
func (e *Engine) responseJob(j *job, f EngineFaults) *job {
	if !f.SwapResponse && !f.SwapBody {
		return j
	}
	if o := e.otherJob(j.id); o != nil {
		return o
	}
	return &job{id: "other-" + j.id, model: j.model, seed: j.seed + 1}
}

func (e *Engine) sendToken(w io.Writer, j *job, i int, duplicate bool) {
	one := 1
	c := chunk{ID: "chatcmpl-" + j.id, Object: "chat.completion.chunk", Model: j.model, RequestID: j.id, Tokens: &one}
	c.Choices = []choice{{Delta: &message{Content: tokenText(j.seed, i)}}}
	sendEvent(w, i, c)
	if duplicate {
		sendEvent(w, i, c)
	}
}

func (e *Engine) sendEnd(w io.Writer, source, j *job, f EngineFaults) {
	zero, reason := 0, j.finishReason()
	c := chunk{ID: "chatcmpl-" + source.id, Object: "chat.completion.chunk", Model: j.model, RequestID: source.id, Tokens: &zero}
	c.Choices = []choice{{Delta: &message{}, FinishReason: &reason}}
	sendEvent(w, j.generated, c)
	if !f.OmitUsage {
		c.Choices, c.Usage = []choice{}, j.usage()
		sendEvent(w, j.generated, c)
	}
	if !f.OmitEnd {
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func sendEvent(w io.Writer, offset int, c chunk) {
	data, err := json.Marshal(c)
	if err == nil {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", offset, data)
	}
}

func (j *job) finishReason() string {
	if j.capTokens > 0 && j.generated >= j.capTokens {
		return "length"
	}
	return "stop"
}

func (j *job) usage() *usage {
	return &usage{Prompt: j.promptTokens, Completion: j.generated, Total: j.promptTokens + j.generated}
}

// serveWhole waits until a job is finished and sends the complete answer.
func (e *Engine) serveWhole(w http.ResponseWriter, r *http.Request, j *job, f EngineFaults) {
	for {
		v := e.progressOf(j)
		if v.canceled {
			panic(http.ErrAbortHandler)
		}
		if v.finished {
			break
		}
		select {
		case <-v.changed:
		case <-r.Context().Done():
			return
		}
	}
	e.sendWhole(w, j, f)
}

func (e *Engine) sendWhole(w http.ResponseWriter, j *job, f EngineFaults) {
	source, reason := e.responseJob(j, f), j.finishReason()
	c := chunk{ID: "chatcmpl-" + source.id, Object: "chat.completion", Model: j.model, RequestID: source.id, Usage: j.usage()}
	c.Choices = []choice{{Message: &message{Role: "assistant", Content: answerText(source.seed, j.generated)}, FinishReason: &reason}}
	data, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if f.TruncateSilently {
		data = data[:len(data)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.Header().Set(headerRequestID, j.id)
	if f.SwapResponse {
		w.Header().Set(headerRequestID, source.id)
	}
	if f.Truncate {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	j := e.findJob(r.PathValue("id"))
	if j == nil || e.faultsFor(j.id).ForgetRequests {
		http.NotFound(w, r)
		return
	}
	v := e.cancelJob(j)
	u := usage{Prompt: j.promptTokens, Completion: v.generated, Total: j.promptTokens + v.generated}
	if !e.hasStarted(j) {
		u = usage{}
	}
	sendJSON(w, http.StatusOK, struct {
		RequestID string `json:"request_id"`
		Usage     usage  `json:"usage"`
		Finished  bool   `json:"finished"`
	}{j.id, u, v.finished})
}

func (e *Engine) hasStarted(j *job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.started
}

func sendJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
