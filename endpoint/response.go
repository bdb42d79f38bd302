package endpoint

import (
	"bytes"
	"encoding/json"
)

// parsedResponse holds the fields that the client uses of an engine's stream event or non-streaming response.
type parsedResponse struct {
	RequestID string `json:"request_id"`
	// Tokens is the number of tokens in the event; one if absent.
	Tokens  *uint64        `json:"tokens"`
	Choices []parsedChoice `json:"choices"`
	Usage   *parsedUsage   `json:"usage"`
}

type parsedChoice struct {
	FinishReason *string `json:"finish_reason"`
}

type parsedUsage struct {
	Prompt    uint64 `json:"prompt_tokens"`
	Generated uint64 `json:"completion_tokens"`
}

func (u *parsedUsage) toUsage() Usage {
	return Usage{PromptTokens: u.Prompt, GeneratedTokens: u.Generated, Known: true}
}

func (c *parsedResponse) isFinished() bool {
	return len(c.Choices) > 0 && c.Choices[0].FinishReason != nil
}

// tokenCount returns the number of tokens in an event.
func (c *parsedResponse) tokenCount() uint64 {
	if c.Tokens != nil {
		return *c.Tokens
	}
	if len(c.Choices) == 0 {
		return 0
	}
	return 1
}

// checkCompletion checks a non-streaming response and returns its usage.
func checkCompletion(data []byte, requestID string) (Usage, Reason) {
	var c parsedResponse
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
	if c.Usage == nil || !c.isFinished() {
		return Usage{}, ReasonTruncated
	}
	return c.Usage.toUsage(), ReasonNone
}
