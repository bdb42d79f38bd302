package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"pumiceshelf/bundle"
)

// Limits of a model request.
const (
	maxMessages = 4096
	// maxPrefixBytes is the length of the prompt's prefix, by which requests are assigned to endpoints that may have it cached.
	maxPrefixBytes = 256
)

// missingDetail is the detail of a refusal for a required field that is missing.
const missingDetail = "is missing"

// chatRequest is a validated model request.
type chatRequest struct {
	model  *bundle.Model
	stream bool
	// wantsUsage is true if the caller requested the usage event.
	wantsUsage bool
	// capTokens limits the generated tokens. promptBound is an upper bound of the prompt's tokens.
	capTokens   uint64
	promptBound uint64
	// prefixHash identifies the start of the prompt for cache affinity; zero if the prompt has no text.
	prefixHash uint64
	// forwardBody is the rewritten body that is sent to the engine.
	forwardBody []byte
}

// bound returns the maximum charge of the request in tokens.
func (c *chatRequest) bound() uint64 { return c.promptBound + c.capTokens }

// allowedFields maps the fields that a request may have to their JSON types; an empty type accepts any. Fields that
// could make an engine process or generate more tokens than the bound are not allowed.
var allowedFields = map[string]string{
	"model": "string", "messages": "array", "stream": "boolean", "stream_options": "object", "n": "number",
	"max_tokens": "number", "max_completion_tokens": "number", "temperature": "number", "top_p": "number",
	"stop": "", "seed": "number", "presence_penalty": "number", "frequency_penalty": "number", "logit_bias": "object",
	"logprobs": "boolean", "top_logprobs": "number", "user": "string", "response_format": "object", "tools": "array",
	"tool_choice": "", "parallel_tool_calls": "boolean", "metadata": "object",
}

// chatParser holds the state of parsing one request body.
type chatParser struct {
	snapshot     *bundle.Snapshot
	body         []byte
	chat         chatRequest
	textBytes    uint64
	imageCount   uint64
	messageCount int
	toolCount    int
	// requestedCaps holds the values of max_tokens and max_completion_tokens.
	requestedCaps []uint64
	// hasMaxTokens is true if max_tokens itself is set.
	hasMaxTokens       bool
	streamOptionsField *member
	// prefix is the start of the prompt's text, up to maxPrefixBytes.
	prefix []byte
}

// parseChatRequest validates a body and computes the bound of its tokens.
func parseChatRequest(snapshot *bundle.Snapshot, body []byte) (*chatRequest, *refusal) {
	if !utf8.Valid(body) {
		return nil, invalidField("body", "must be UTF-8")
	}
	members, err := parseObject(body)
	if err != nil {
		return nil, invalidField("body", err.Error())
	}
	p := &chatParser{snapshot: snapshot, body: body}
	for i := range members {
		if f := p.parseField(&members[i]); f != nil {
			return nil, f
		}
	}
	return p.finish()
}

func (p *chatParser) parseField(f *member) *refusal {
	want, ok := allowedFields[f.name]
	if !ok {
		return invalidField(f.name, "is not a known field")
	}
	got := jsonType(f.value)
	if got == "null" {
		return invalidField(f.name, "must not be null; leave it out")
	}
	if want != "" && got != want {
		return invalidField(f.name, fmt.Sprintf("is a %s, must be a %s", got, want))
	}
	switch f.name {
	case "model":
		return p.parseModel(f)
	case "messages":
		return p.parseMessages(f)
	case "stream":
		p.chat.stream = string(f.value) == "true"
	case "stream_options":
		p.streamOptionsField = f
		return p.parseStreamOptions(f)
	case "n":
		if string(f.value) != "1" {
			return invalidField("n", "must be 1")
		}
	case "max_tokens", "max_completion_tokens":
		return p.parseCap(f)
	case "tools":
		return p.parseTools(f)
	default:
		p.countPromptBytes(f)
	}
	return nil
}

// countPromptBytes adds the bytes of a field that an engine may insert into the prompt. Numbers and booleans are never
// inserted.
func (p *chatParser) countPromptBytes(f *member) {
	switch jsonType(f.value) {
	case "string", "object", "array":
		p.textBytes += uint64(len(f.value))
	}
}

func (p *chatParser) parseModel(f *member) *refusal {
	var name string
	_ = json.Unmarshal(f.value, &name)
	if p.chat.model = p.snapshot.Model(name); p.chat.model == nil {
		return &refusal{reason: ReasonUnknownModel, field: "model", detail: fmt.Sprintf("no model %q in the bundle in force", truncateText(name))}
	}
	return nil
}

// truncateText shortens text of a request or an engine that a refusal quotes.
func truncateText(s string) string {
	const limit = 256
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

func (p *chatParser) parseCap(f *member) *refusal {
	tokens, err := strconv.ParseUint(string(f.value), 10, 32)
	if err != nil || tokens == 0 {
		return invalidField(f.name, fmt.Sprintf("is %s, must be a whole number from 1", truncateText(string(f.value))))
	}
	p.hasMaxTokens = p.hasMaxTokens || f.name == "max_tokens"
	p.requestedCaps = append(p.requestedCaps, tokens)
	return nil
}

func (p *chatParser) parseStreamOptions(f *member) *refusal {
	options, err := parseObject(f.value)
	if err != nil {
		return invalidField(f.name, err.Error())
	}
	for _, o := range options {
		if o.name != "include_usage" || jsonType(o.value) != "boolean" {
			return invalidField(f.name+"."+o.name, "only include_usage, true or false, is known")
		}
		p.chat.wantsUsage = string(o.value) == "true"
	}
	return nil
}

func (p *chatParser) parseTools(f *member) *refusal {
	var list []json.RawMessage
	if err := json.Unmarshal(f.value, &list); err != nil {
		return invalidField(f.name, "must be an array")
	}
	p.toolCount = len(list)
	p.textBytes += uint64(len(f.value))
	return nil
}

// finish validates the fields in combination, computes the bounds and builds the body for the engine.
func (p *chatParser) finish() (*chatRequest, *refusal) {
	c := &p.chat
	if c.model == nil {
		return nil, invalidField("model", missingDetail)
	}
	if p.messageCount == 0 {
		return nil, invalidField("messages", missingDetail)
	}
	if p.streamOptionsField != nil && !c.stream {
		return nil, invalidField("stream_options", "needs stream to be true")
	}
	if p.imageCount > 0 && c.model.ImageBound == 0 {
		return nil, invalidField("messages", "has images, which the model does not take")
	}
	if f := p.resolveCap(); f != nil {
		return nil, f
	}
	// The template adds tokens to each message and tool, and once more before the response.
	templateCount := uint64(p.messageCount + p.toolCount + 1)
	c.promptBound = p.textBytes + p.imageCount*c.model.ImageBound + templateCount*c.model.TemplateBound
	if len(p.prefix) > 0 {
		c.prefixHash = xxhash.Sum64(p.prefix)
	}
	c.forwardBody = p.rewriteBody()
	return c, nil
}

// resolveCap sets the token cap from the request or the model's default and checks it against the model's maximum.
func (p *chatParser) resolveCap() *refusal {
	c := &p.chat
	c.capTokens = c.model.DefaultCap
	for i, tokens := range p.requestedCaps {
		if i > 0 && tokens != c.capTokens {
			return invalidField("max_tokens", "differs from max_completion_tokens")
		}
		c.capTokens = tokens
	}
	if c.capTokens > c.model.MaxCap {
		return invalidField("max_tokens", fmt.Sprintf("is %d, must be at most %d for model %s", c.capTokens, c.model.MaxCap, c.model.ID))
	}
	return nil
}

// rewriteBody returns the body with the token cap set and, for a stream, the usage event requested. All other bytes
// stay as the caller sent them.
func (p *chatParser) rewriteBody() []byte {
	start := bytes.IndexByte(p.body, '{') + 1
	out := make([]byte, 0, len(p.body)+96)
	out = append(out, '{')
	if !p.hasMaxTokens {
		out = fmt.Appendf(out, `"max_tokens":%d,`, p.chat.capTokens)
	}
	const includeUsage = `{"include_usage":true}`
	if p.streamOptionsField != nil {
		out = append(out, p.body[start:p.streamOptionsField.start]...)
		out = append(out, includeUsage...)
		return append(out, p.body[p.streamOptionsField.end:]...)
	}
	if p.chat.stream {
		out = append(out, `"stream_options":`+includeUsage+`,`...)
	}
	return append(out, p.body[start:]...)
}
