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

// Outcome is what a caller is told of its request.
type Outcome string

// Outcomes that callers see.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
	// Broken means that no final word came: the connection failed. The caller may ask again.
	Broken Outcome = "broken"
)

// Ask is one request of a caller.
type Ask struct {
	Customer string
	Model    string
	Prompt   string
	Cap      int
	Stream   bool
	Key      string
	// Idempotent is the caller's statement; nil leaves it to the model.
	Idempotent   *bool
	FirstAttempt bool
	Priority     string
	Deadline     time.Duration
}

// Reply is what the caller got.
type Reply struct {
	Outcome Outcome
	Status  int
	Reason  string
	// RequestID as the router returned it.
	RequestID string
	// Text is the answer's text, Raw what came with a refusal.
	Text       string
	Raw        string
	RetryAfter time.Duration
	FirstToken time.Duration
	Total      time.Duration
	// Wrong says that the text is not the answer to this request; Partial that an answer passed as whole is not.
	Wrong   bool
	Partial bool
}

// Caller sends requests as a client device does.
type Caller struct {
	Client *http.Client
}

// NewCaller returns a caller whose connections the network can block.
func (f *Fleet) NewCaller() *Caller {
	return &Caller{Client: &http.Client{Transport: &http.Transport{
		DialContext:         f.Network.Dialer(CallerSite),
		MaxIdleConnsPerHost: 256,
	}}}
}

// Body returns the request body of an ask.
func (a Ask) Body() []byte {
	body := map[string]any{
		"model":    a.Model,
		"messages": []map[string]string{{"role": "user", "content": a.Prompt}},
	}
	if a.Cap > 0 {
		body["max_tokens"] = a.Cap
	}
	if a.Stream {
		body["stream"] = true
	}
	out, _ := json.Marshal(body)
	return out
}

// Send sends a model request to an instance and reads the reply whole.
func (c *Caller) Send(ctx context.Context, address string, a Ask) Reply {
	body := a.Body()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Reply{Outcome: Broken, Raw: err.Error()}
	}
	a.setHeaders(req.Header)
	start := time.Now()
	reply := c.exchange(req, start, a.Stream)
	reply.Total = time.Since(start)
	if reply.Outcome == Answered {
		reply.judge(body, a.Cap)
	}
	return reply
}

// IssueKey asks an instance for an idempotency key. It returns an empty string when none came.
func (c *Caller) IssueKey(ctx context.Context, address, customer string) string {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/idempotency-keys", nil)
	if err != nil {
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+Key(customer))
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

func (a Ask) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+Key(a.Customer))
	h.Set("Content-Type", "application/json")
	if a.Key != "" {
		h.Set("Idempotency-Key", a.Key)
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

func (c *Caller) exchange(req *http.Request, start time.Time, stream bool) Reply {
	resp, err := c.Client.Do(req)
	if err != nil {
		return Reply{Outcome: Broken, Raw: err.Error()}
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
		r.Outcome = Broken
		return
	}
	r.Outcome, r.Reason = p.Outcome, p.Reason
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
}

// completion is the part of an answer or chunk that a caller reads.
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
		r.Outcome, r.Raw = Broken, string(data)
		return
	}
	r.Outcome, r.Text = Answered, c.Choices[0].Message.Content
}

func (r *Reply) readStream(body io.Reader, start time.Time) {
	r.Outcome = Broken
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
				r.FirstToken = time.Since(start)
			}
			r.Text += choice.Delta.Content
		}
	}
}

// judge compares an answer with the one that every engine gives to the request.
func (r *Reply) judge(body []byte, limit int) {
	model, prompt, _, err := standin.ParsePrompt(body)
	if err != nil {
		r.Wrong = true
		return
	}
	words := len(strings.Fields(r.Text))
	r.Wrong = standin.Answer(model, prompt, words) != r.Text
	want := standin.AnswerLength(model, prompt)
	if limit > 0 {
		want = min(want, limit)
	}
	r.Partial = words < want
}
