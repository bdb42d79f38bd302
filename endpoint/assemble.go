package endpoint

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// errUnfit means that a streamed answer has parts that a whole one cannot be put together from.
var errUnfit = errors.New("endpoint: answer cannot be assembled")

// assembled is a whole answer that was put together from a stream.
type assembled struct {
	ID        string            `json:"id"`
	Object    string            `json:"object"`
	Created   int64             `json:"created,omitempty"`
	Model     string            `json:"model"`
	RequestID string            `json:"request_id"`
	Choices   []assembledChoice `json:"choices"`
	Usage     json.RawMessage   `json:"usage"`
}

type assembledChoice struct {
	Index        int              `json:"index"`
	Message      assembledMessage `json:"message"`
	FinishReason string           `json:"finish_reason"`
}

type assembledMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// streamedPart is what assembling reads of an event.
type streamedPart struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Usage   json.RawMessage `json:"usage"`
	Choices []struct {
		Index        int                        `json:"index"`
		Delta        map[string]json.RawMessage `json:"delta"`
		FinishReason *string                    `json:"finish_reason"`
	} `json:"choices"`
}

// Assembler puts a whole answer together from the pieces of a stream.
type Assembler struct {
	out  assembled
	text strings.Builder
	end  string
}

// Add takes the next piece.
func (b *Assembler) Add(p Piece) error {
	var part streamedPart
	if err := json.Unmarshal(p.Data, &part); err != nil {
		return errUnfit
	}
	b.out.ID, b.out.Model, b.out.Created = part.ID, part.Model, part.Created
	if part.Usage != nil {
		b.out.Usage = part.Usage
	}
	for _, c := range part.Choices {
		if c.Index != 0 {
			return errUnfit
		}
		if err := b.delta(c.Delta); err != nil {
			return err
		}
		if c.FinishReason != nil {
			b.end = *c.FinishReason
		}
	}
	return nil
}

// delta takes text; tool calls and the like are not assembled.
func (b *Assembler) delta(d map[string]json.RawMessage) error {
	for field, value := range d {
		switch field {
		case "role":
		case "content":
			var text *string
			if err := json.Unmarshal(value, &text); err != nil {
				return errUnfit
			}
			if text != nil {
				b.text.WriteString(*text)
			}
		default:
			return errUnfit
		}
	}
	return nil
}

// Size returns the bytes of text taken so far.
func (b *Assembler) Size() int { return b.text.Len() }

// Whole returns the answer.
func (b *Assembler) Whole(requestID string) ([]byte, error) {
	b.out.Object, b.out.RequestID = "chat.completion", requestID
	b.out.Choices = []assembledChoice{{Message: assembledMessage{Role: "assistant", Content: b.text.String()}, FinishReason: b.end}}
	return json.Marshal(b.out)
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

// splitEvent is an event of a streamed answer.
type splitEvent struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	Created   int64           `json:"created,omitempty"`
	Model     string          `json:"model"`
	RequestID string          `json:"request_id"`
	Choices   []splitChoice   `json:"choices"`
	Usage     json.RawMessage `json:"usage,omitempty"`
}

type splitChoice struct {
	Index        int     `json:"index"`
	Delta        any     `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Split turns a whole answer into the events that a streamed one has: text, end and usage.
func Split(whole []byte) ([]Piece, error) {
	var a assembled
	if err := json.Unmarshal(whole, &a); err != nil {
		return nil, fmt.Errorf("split answer: %w", err)
	}
	event := splitEvent{ID: a.ID, Object: "chat.completion.chunk", Created: a.Created, Model: a.Model, RequestID: a.RequestID}
	var out []Piece
	for _, c := range a.Choices {
		event.Choices = []splitChoice{{Index: c.Index, Delta: c.Message}}
		out = append(out, piece(event, false))
		event.Choices = []splitChoice{{Index: c.Index, Delta: struct{}{}, FinishReason: &c.FinishReason}}
		out = append(out, piece(event, false))
	}
	event.Choices, event.Usage = []splitChoice{}, a.Usage
	return append(out, piece(event, true)), nil
}

func piece(e splitEvent, usage bool) Piece {
	data, _ := json.Marshal(e)
	return Piece{Data: data, Usage: usage}
}
