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

// Bounds of a model request.
const (
	maxMessages = 4096
	// prefixBytes of a prompt decide which endpoint may have it cached.
	prefixBytes = 256
)

// missing words the lack of a field.
const missing = "is missing"

// chat is a checked model request.
type chat struct {
	model  *bundle.Model
	stream bool
	// wantsUsage says that the caller asked for the usage event.
	wantsUsage bool
	// capTokens is the most tokens that may be generated, promptBound the most that the prompt can have.
	capTokens   uint64
	promptBound uint64
	prefix      uint64
	// forward is the body for the engine.
	forward []byte
}

// bound is the most that the request can be charged, in tokens.
func (c *chat) bound() uint64 { return c.promptBound + c.capTokens }

// allowed holds the fields that a request may have and the kind each must be of. Fields that could make an engine
// read or generate more than the bound are not among them.
var allowed = map[string]string{
	"model": "string", "messages": "array", "stream": "boolean", "stream_options": "object", "n": "number",
	"max_tokens": "number", "max_completion_tokens": "number", "temperature": "number", "top_p": "number",
	"stop": "", "seed": "number", "presence_penalty": "number", "frequency_penalty": "number", "logit_bias": "object",
	"logprobs": "boolean", "top_logprobs": "number", "user": "string", "response_format": "object", "tools": "array",
	"tool_choice": "", "parallel_tool_calls": "boolean", "metadata": "object",
}

// chatParser gathers what a body says.
type chatParser struct {
	snapshot *bundle.Snapshot
	body     []byte
	chat     chat
	text     uint64
	images   uint64
	messages int
	tools    int
	caps     []uint64
	capNamed bool
	options  *field
	prefix   []byte
}

// parseChat checks a body and bounds its tokens.
func parseChat(snapshot *bundle.Snapshot, body []byte) (*chat, *refusal) {
	if !utf8.Valid(body) {
		return nil, badField("body", "must be UTF-8")
	}
	members, err := fields(body)
	if err != nil {
		return nil, badField("body", err.Error())
	}
	p := &chatParser{snapshot: snapshot, body: body}
	for i := range members {
		if f := p.field(&members[i]); f != nil {
			return nil, f
		}
	}
	return p.finish()
}

func (p *chatParser) field(f *field) *refusal {
	want, ok := allowed[f.name]
	if !ok {
		return badField(f.name, "is not a known field")
	}
	got := kind(f.value)
	if got == "null" {
		return badField(f.name, "must not be null; leave it out")
	}
	if want != "" && got != want {
		return badField(f.name, fmt.Sprintf("is a %s, must be a %s", got, want))
	}
	switch f.name {
	case "model":
		return p.model(f)
	case "messages":
		return p.allMessages(f)
	case "stream":
		p.chat.stream = string(f.value) == "true"
	case "stream_options":
		p.options = f
		return p.streamOptions(f)
	case "n":
		if string(f.value) != "1" {
			return badField("n", "must be 1")
		}
	case "max_tokens", "max_completion_tokens":
		return p.limit(f)
	case "tools":
		return p.toolList(f)
	default:
		p.other(f)
	}
	return nil
}

// other counts fields that may enter the prompt by their bytes; numbers and booleans do not.
func (p *chatParser) other(f *field) {
	switch kind(f.value) {
	case "string", "object", "array":
		p.text += uint64(len(f.value))
	}
}

func (p *chatParser) model(f *field) *refusal {
	var name string
	_ = json.Unmarshal(f.value, &name)
	if p.chat.model = p.snapshot.Model(name); p.chat.model == nil {
		return &refusal{reason: ReasonUnknownModel, field: "model", detail: fmt.Sprintf("no model %q in the bundle in force", clip(name))}
	}
	return nil
}

// clip bounds what a refusal repeats of a request.
func clip(s string) string {
	const limit = 256
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "..."
}

func (p *chatParser) limit(f *field) *refusal {
	n, err := strconv.ParseUint(string(f.value), 10, 32)
	if err != nil || n == 0 {
		return badField(f.name, fmt.Sprintf("is %s, must be a whole number from 1", clip(string(f.value))))
	}
	p.capNamed = p.capNamed || f.name == "max_tokens"
	p.caps = append(p.caps, n)
	return nil
}

func (p *chatParser) streamOptions(f *field) *refusal {
	options, err := fields(f.value)
	if err != nil {
		return badField(f.name, err.Error())
	}
	for _, o := range options {
		if o.name != "include_usage" || kind(o.value) != "boolean" {
			return badField(f.name+"."+o.name, "only include_usage, true or false, is known")
		}
		p.chat.wantsUsage = string(o.value) == "true"
	}
	return nil
}

func (p *chatParser) toolList(f *field) *refusal {
	var list []json.RawMessage
	if err := json.Unmarshal(f.value, &list); err != nil {
		return badField(f.name, "must be an array")
	}
	p.tools = len(list)
	p.text += uint64(len(f.value))
	return nil
}

func (p *chatParser) finish() (*chat, *refusal) {
	c := &p.chat
	if c.model == nil {
		return nil, badField("model", missing)
	}
	if p.messages == 0 {
		return nil, badField("messages", missing)
	}
	if p.options != nil && !c.stream {
		return nil, badField("stream_options", "needs stream to be true")
	}
	if p.images > 0 && c.model.ImageBound == 0 {
		return nil, badField("messages", "has images, which the model does not take")
	}
	if f := p.cap(); f != nil {
		return nil, f
	}
	// One more template part opens the answer.
	parts := uint64(p.messages + p.tools + 1)
	c.promptBound = p.text + p.images*c.model.ImageBound + parts*c.model.TemplateBound
	if len(p.prefix) > 0 {
		c.prefix = xxhash.Sum64(p.prefix)
	}
	c.forward = p.rewrite()
	return c, nil
}

func (p *chatParser) cap() *refusal {
	c := &p.chat
	c.capTokens = c.model.DefaultCap
	for i, n := range p.caps {
		if i > 0 && n != c.capTokens {
			return badField("max_tokens", "differs from max_completion_tokens")
		}
		c.capTokens = n
	}
	if c.capTokens > c.model.MaxCap {
		return badField("max_tokens", fmt.Sprintf("is %d, must be at most %d for model %s", c.capTokens, c.model.MaxCap, c.model.ID))
	}
	return nil
}

// rewrite returns the body with the cap and the wish for usage in it. All other bytes stay as the caller sent them.
func (p *chatParser) rewrite() []byte {
	open := bytes.IndexByte(p.body, '{') + 1
	out := make([]byte, 0, len(p.body)+96)
	out = append(out, '{')
	if !p.capNamed {
		out = fmt.Appendf(out, `"max_tokens":%d,`, p.chat.capTokens)
	}
	const options = `{"include_usage":true}`
	if p.options != nil {
		out = append(out, p.body[open:p.options.start]...)
		out = append(out, options...)
		return append(out, p.body[p.options.end:]...)
	}
	if p.chat.stream {
		out = append(out, `"stream_options":`+options+`,`...)
	}
	return append(out, p.body[open:]...)
}
