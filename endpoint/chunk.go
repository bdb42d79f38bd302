package endpoint

import (
	"bytes"
	"encoding/json"
)

// chunk is what the client reads of an event or a whole answer of an engine.
type chunk struct {
	RequestID string `json:"request_id"`
	// Tokens in the event; one if absent.
	Tokens  *uint64  `json:"tokens"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

type choice struct {
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	Prompt    uint64 `json:"prompt_tokens"`
	Generated uint64 `json:"completion_tokens"`
}

func (u *usage) known() Usage { return Usage{Prompt: u.Prompt, Generated: u.Generated, Known: true} }

func (c *chunk) finished() bool { return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil }

// tokens returns how many tokens an event carries.
func (c *chunk) tokens() uint64 {
	if c.Tokens != nil {
		return *c.Tokens
	}
	if len(c.Choices) == 0 {
		return 0
	}
	return 1
}

// checkWhole checks a whole answer and returns its usage.
func checkWhole(data []byte, requestID string) (Usage, Reason) {
	var c chunk
	dec := json.NewDecoder(bytes.NewReader(data))
	if err := dec.Decode(&c); err != nil {
		return Usage{}, ReasonTruncated
	}
	if dec.More() {
		return Usage{}, ReasonMalformed
	}
	if c.RequestID != requestID {
		return Usage{}, ReasonWrongID
	}
	if c.Usage == nil || !c.finished() {
		return Usage{}, ReasonTruncated
	}
	return c.Usage.known(), ReasonNone
}
