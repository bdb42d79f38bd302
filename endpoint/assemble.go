package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// errUnfit means that the pieces of a stream are not those of one answer.
var errUnfit = errors.New("endpoint: answer cannot be assembled")

// wholeAnswer is an answer in one piece.
type wholeAnswer struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	Created   int64           `json:"created,omitempty"`
	Model     string          `json:"model"`
	RequestID string          `json:"request_id"`
	Choices   []wholeChoice   `json:"choices"`
	Usage     json.RawMessage `json:"usage"`
}

type wholeChoice struct {
	Index        int            `json:"index"`
	Message      map[string]any `json:"message"`
	Logprobs     any            `json:"logprobs,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

// eventAnswer is an event of a streamed answer.
type eventAnswer struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	Created   int64           `json:"created,omitempty"`
	Model     string          `json:"model"`
	RequestID string          `json:"request_id"`
	Choices   []eventChoice   `json:"choices"`
	Usage     json.RawMessage `json:"usage,omitempty"`
}

type eventChoice struct {
	Index        int            `json:"index"`
	Delta        map[string]any `json:"delta"`
	Logprobs     any            `json:"logprobs,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

// Assembler puts a whole answer together from the pieces of a stream. The zero value is empty.
type Assembler struct {
	last     eventAnswer
	message  *merger
	logprobs any
	usage    json.RawMessage
	end      string
	size     int
}

// Add takes the next piece.
func (b *Assembler) Add(p Piece) error {
	b.size += len(p.Data)
	b.last = eventAnswer{}
	if err := json.Unmarshal(p.Data, &b.last); err != nil {
		return fmt.Errorf("%w: %w", errUnfit, err)
	}
	if b.message == nil {
		b.message = newMerger()
	}
	if b.last.Usage != nil {
		b.usage = b.last.Usage
	}
	for _, c := range b.last.Choices {
		if c.Index != 0 {
			return errUnfit
		}
		b.message.add(c.Delta)
		b.logprobs = mergeLogprobs(b.logprobs, c.Logprobs)
		if c.FinishReason != nil {
			b.end = *c.FinishReason
		}
	}
	return nil
}

// Size returns the bytes of the pieces taken so far.
func (b *Assembler) Size() int { return b.size }

// Whole returns the answer.
func (b *Assembler) Whole(requestID string) ([]byte, error) {
	if b.message == nil {
		return nil, errUnfit
	}
	message := b.message.value()
	message["role"] = "assistant"
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	return json.Marshal(wholeAnswer{
		ID: b.last.ID, Object: "chat.completion", Created: b.last.Created, Model: b.last.Model, RequestID: requestID, Usage: b.usage,
		Choices: []wholeChoice{{Message: message, Logprobs: b.logprobs, FinishReason: b.end}},
	})
}

// assemble obtains a whole answer that broke by streaming it from the engine.
func (a *answer) assemble(ctx context.Context, reason Reason) Result {
	var b Assembler
	unfit := false
	res := newStream(a, func(p Piece) error {
		err := b.Add(p)
		unfit = unfit || err != nil
		return err
	}).pickUp(ctx, reason)
	if unfit {
		res.Status, res.Reason = Broken, ReasonMalformed
	}
	if res.Status != Complete {
		return res
	}
	data, err := b.Whole(a.call.RequestID)
	if err != nil {
		return Result{Status: Broken, Reason: ReasonMalformed}
	}
	res.Body = data
	res.Header = http.Header{"Content-Type": {"application/json"}}
	return res
}

// Split turns a whole answer into the events that a streamed one has: message, end and usage.
func Split(whole []byte) ([]Piece, error) {
	var a wholeAnswer
	if err := json.Unmarshal(whole, &a); err != nil {
		return nil, fmt.Errorf("split answer: %w", err)
	}
	event := eventAnswer{ID: a.ID, Object: "chat.completion.chunk", Created: a.Created, Model: a.Model, RequestID: a.RequestID}
	var out []Piece
	for _, c := range a.Choices {
		numberCalls(c.Message)
		event.Choices = []eventChoice{{Index: c.Index, Delta: c.Message, Logprobs: c.Logprobs}}
		out = append(out, event.piece(false))
		event.Choices = []eventChoice{{Index: c.Index, Delta: map[string]any{}, FinishReason: &c.FinishReason}}
		out = append(out, event.piece(false))
	}
	event.Choices, event.Usage = []eventChoice{}, a.Usage
	return append(out, event.piece(true)), nil
}

func (e *eventAnswer) piece(usage bool) Piece {
	data, _ := json.Marshal(e)
	return Piece{Data: data, Usage: usage}
}
