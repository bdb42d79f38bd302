package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pumiceshelf/internal/standin"
)

// Outcome is the outcome of a request as reported to its caller.
type Outcome string

// Outcomes of requests.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	// NoOutcome means that the caller received no outcome because the connection failed or the response could not be read.
	// The caller may retry.
	NoOutcome Outcome = "broken"
)

// Request is one request of a caller.
type Request struct {
	Customer       string
	Model          string
	Prompt         string
	CapTokens      int
	Stream         bool
	IdempotencyKey string
	// Idempotent is what the caller declares; if nil, the model's setting applies.
	Idempotent   *bool
	FirstAttempt bool
	Priority     string
	Deadline     time.Duration
}

// Reply is the response that the caller received.
type Reply struct {
	Outcome Outcome
	Status  int
	Reason  string
	// RequestID is the ID that the router returned.
	RequestID string
	// Text is the text of the answer. Raw is the body or error if there was no complete answer.
	Text           string
	Raw            string
	RetryAfter     time.Duration
	FirstTokenTime time.Duration
	TotalTime      time.Duration
	// Wrong is set if the text is not the answer to this request, Partial if an answer reported as complete is truncated.
	Wrong   bool
	Partial bool
}

// Caller sends requests as a client device does.
type Caller struct {
	Client *http.Client
}

// NewCaller returns a caller whose connections the fleet's network can block.
func (f *Fleet) NewCaller() *Caller {
	return &Caller{Client: &http.Client{Transport: &http.Transport{
		DialContext:         f.Network.Dialer(CallerSite),
		MaxIdleConnsPerHost: 256,
	}}}
}

// Body returns the HTTP body of the request.
func (a Request) Body() []byte {
	body := map[string]any{
		"model":    a.Model,
		"messages": []map[string]string{{"role": "user", "content": a.Prompt}},
	}
	if a.CapTokens > 0 {
		body["max_tokens"] = a.CapTokens
	}
	if a.Stream {
		body["stream"] = true
	}
	out, _ := json.Marshal(body)
	return out
}

// Send sends a model request to an instance, reads the entire reply and verifies the answer.
func (c *Caller) Send(ctx context.Context, address string, a Request) Reply {
	body := a.Body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Reply{Outcome: NoOutcome, Raw: err.Error()}
	}
	a.setHeaders(req.Header)
	start := time.Now()
	reply := c.roundTrip(req, start, a.Stream)
	reply.TotalTime = time.Since(start)
	if reply.Outcome == Answered {
		reply.verify(body, a.CapTokens)
	}
	return reply
}

// RequestIssuedKey requests an idempotency key from an instance. It returns an empty string on failure.
func (c *Caller) RequestIssuedKey(ctx context.Context, address, customer string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/idempotency-keys", nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+APIKey(customer))
	resp, err := c.Client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var issued struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(resp.Body).Decode(&issued) != nil || len(issued.Keys) == 0 {
		return ""
	}
	return issued.Keys[0]
}

func (a Request) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+APIKey(a.Customer))
	h.Set("Content-Type", "application/json")
	if a.IdempotencyKey != "" {
		h.Set("Idempotency-Key", a.IdempotencyKey)
	}
	if a.Idempotent != nil {
		h.Set("X-Idempotent", strconv.FormatBool(*a.Idempotent))
	}
	if a.FirstAttempt {
		h.Set("X-First-Attempt", "true")
	}
	if a.Priority != "" {
		h.Set("X-Priority", a.Priority)
	}
	if a.Deadline > 0 {
		h.Set("X-Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	}
}

func (c *Caller) roundTrip(req *http.Request, start time.Time, stream bool) Reply {
	resp, err := c.Client.Do(req)
	if err != nil {
		return Reply{Outcome: NoOutcome, Raw: err.Error()}
	}
	defer resp.Body.Close()
	reply := Reply{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id")}
	switch {
	case resp.StatusCode != http.StatusOK:
		reply.readProblem(resp)
	case stream:
		reply.readStream(resp.Body, start)
	default:
		reply.readWhole(resp.Body)
	}
	return reply
}

// problem is the body of a refusal.
type problem struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

func (r *Reply) readProblem(resp *http.Response) {
	body, err := io.ReadAll(resp.Body)
	r.Raw = string(body)
	var p problem
	if err != nil || json.Unmarshal(body, &p) != nil || p.Outcome == "" {
		r.Outcome = NoOutcome
		return
	}
	r.Outcome, r.Reason = p.Outcome, p.Reason
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// completion holds the fields of an answer or chunk that a caller reads.
type completion struct {
	Choices []struct {
		Message struct{ Content string } `json:"message"`
		Delta   struct{ Content string } `json:"delta"`
	} `json:"choices"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
}

func (r *Reply) readWhole(body io.Reader) {
	data, err := io.ReadAll(body)
	var c completion
	if err != nil || json.Unmarshal(data, &c) != nil || len(c.Choices) == 0 {
		r.Outcome, r.Raw = NoOutcome, string(data)
		return
	}
	r.Outcome, r.Text = Answered, c.Choices[0].Message.Content
}

func (r *Reply) readStream(body io.Reader, start time.Time) {
	r.Outcome = NoOutcome
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			r.Outcome = Answered
			return
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil {
			return
		}
		if c.Outcome != "" {
			r.Outcome, r.Reason, r.Raw = c.Outcome, c.Reason, data
			return
		}
		for _, choice := range c.Choices {
			if r.Text == "" && choice.Delta.Content != "" {
				r.FirstTokenTime = time.Since(start)
			}
			r.Text += choice.Delta.Content
		}
	}
}

// verify compares an answer with the one that every engine gives to the request.
func (r *Reply) verify(body []byte, capTokens int) {
	model, prompt, _, err := standin.ParsePrompt(body)
	if err != nil {
		r.Wrong = true
		return
	}
	gotTokens := len(strings.Fields(r.Text))
	r.Wrong = standin.Answer(model, prompt, gotTokens) != r.Text
	wantTokens := standin.AnswerLength(model, prompt)
	if capTokens > 0 {
		wantTokens = min(wantTokens, capTokens)
	}
	r.Partial = gotTokens < wantTokens
}
