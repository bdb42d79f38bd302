package endpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// errCannotAssemble means that the events of a stream do not form one response.
var errCannotAssemble = errors.New("endpoint: stream events do not form one response")

// completion is a non-streaming response.
type completion struct {
	ID        string             `json:"id"`
	Object    string             `json:"object"`
	Created   int64              `json:"created,omitempty"`
	Model     string             `json:"model"`
	RequestID string             `json:"request_id"`
	Choices   []completionChoice `json:"choices"`
	Usage     json.RawMessage    `json:"usage"`
}

type completionChoice struct {
	Index        int            `json:"index"`
	Message      map[string]any `json:"message"`
	Logprobs     any            `json:"logprobs,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

// completionChunk is an event of a streaming response.
type completionChunk struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	Created   int64           `json:"created,omitempty"`
	Model     string          `json:"model"`
	RequestID string          `json:"request_id"`
	Choices   []chunkChoice   `json:"choices"`
	Usage     json.RawMessage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int            `json:"index"`
	Delta        map[string]any `json:"delta"`
	Logprobs     any            `json:"logprobs,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// Assembler builds a completion from the events of a stream. The zero value is ready to use.
type Assembler struct {
	lastChunk    completionChunk
	message      *deltaMerger
	logprobs     any
	usage        json.RawMessage
	finishReason string
	size         int
}

// Add adds the next event.
func (b *Assembler) Add(e StreamEvent) error {
	b.size += len(e.Data)
	b.lastChunk = completionChunk{}
	if err := json.Unmarshal(e.Data, &b.lastChunk); err != nil {
		return fmt.Errorf("%w: %w", errCannotAssemble, err)
	}
	if b.message == nil {
		b.message = newDeltaMerger()
	}
	if b.lastChunk.Usage != nil {
		b.usage = b.lastChunk.Usage
	}
	for _, c := range b.lastChunk.Choices {
		if c.Index != 0 {
			return errCannotAssemble
		}
		b.message.add(c.Delta)
		b.logprobs = mergeLogprobs(b.logprobs, c.Logprobs)
		if c.FinishReason != nil {
			b.finishReason = *c.FinishReason
		}
	}
	return nil
}

// Size returns the total size of the added events in bytes.
func (b *Assembler) Size() int { return b.size }

// Completion returns the JSON encoding of the completion.
func (b *Assembler) Completion(requestID string) ([]byte, error) {
	if b.message == nil {
		return nil, errCannotAssemble
	}
	message := b.message.merged()
	message["role"] = "assistant"
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	return json.Marshal(completion{
		ID: b.lastChunk.ID, Object: "chat.completion", Created: b.lastChunk.Created, Model: b.lastChunk.Model, RequestID: requestID, Usage: b.usage,
		Choices: []completionChoice{{Message: message, Logprobs: b.logprobs, FinishReason: b.finishReason}},
	})
}

// assembleFromStream obtains a completion whose response was lost, invalid or overdue by streaming it from the engine. read reads
// the stream.
func (a *callRunner) assembleFromStream(read func(*stream) Result) Result {
	var b Assembler
	invalid := false
	res := read(newStream(a, func(e StreamEvent) error {
		err := b.Add(e)
		invalid = invalid || err != nil
		return err
	}))
	if invalid {
		res.Status, res.Reason = Incomplete, ReasonMalformed
	}
	if res.Status != Complete {
		return res
	}
	data, err := b.Completion(a.call.RequestID)
	if err != nil {
		return Result{Status: Incomplete, Reason: ReasonMalformed}
	}
	res.Body = data
	res.Header = http.Header{"Content-Type": {"application/json"}}
	return res
}

// SplitCompletion converts a completion into the events of a streaming response: message, finish reason and usage.
func SplitCompletion(body []byte) ([]StreamEvent, error) {
	var a completion
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("decode completion: %w", err)
	}
	event := completionChunk{ID: a.ID, Object: "chat.completion.chunk", Created: a.Created, Model: a.Model, RequestID: a.RequestID}
	var out []StreamEvent
	for _, c := range a.Choices {
		addToolCallIndexes(c.Message)
		event.Choices = []chunkChoice{{Index: c.Index, Delta: c.Message, Logprobs: c.Logprobs}}
		out = append(out, event.streamEvent(false))
		event.Choices = []chunkChoice{{Index: c.Index, Delta: map[string]any{}, FinishReason: &c.FinishReason}}
		out = append(out, event.streamEvent(false))
	}
	event.Choices, event.Usage = []chunkChoice{}, a.Usage
	return append(out, event.streamEvent(true)), nil
}

func (e *completionChunk) streamEvent(usage bool) StreamEvent {
	data, _ := json.Marshal(e)
	return StreamEvent{Data: data, Usage: usage}
}
