package server

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// allMessages checks the messages and bounds their tokens.
func (p *chatParser) allMessages(f *field) *refusal {
	var list []json.RawMessage
	if err := json.Unmarshal(f.value, &list); err != nil {
		return badField(f.name, "must be an array")
	}
	if len(list) == 0 || len(list) > maxMessages {
		return badField(f.name, fmt.Sprintf("has %d messages, must have 1 to %d", len(list), maxMessages))
	}
	p.messages = len(list)
	for i, m := range list {
		if f := p.message(fmt.Sprintf("messages[%d]", i), m); f != nil {
			return f
		}
	}
	return nil
}

func (p *chatParser) message(path string, text json.RawMessage) *refusal {
	members, err := fields(text)
	if err != nil {
		return badField(path, err.Error())
	}
	role := false
	for _, f := range members {
		switch f.name {
		case "role":
			role = kind(f.value) == "string"
			p.text += uint64(len(f.value))
		case "content":
			if f := p.content(path+".content", f.value); f != nil {
				return f
			}
		case "name", "tool_calls", "tool_call_id", "refusal":
			p.text += uint64(len(f.value))
		default:
			return badField(path+"."+f.name, "is not a known field")
		}
	}
	if !role {
		return badField(path+".role", "must be a string")
	}
	return nil
}

func (p *chatParser) content(path string, value json.RawMessage) *refusal {
	switch kind(value) {
	case "null":
		return nil
	case "string":
		return p.string(path, value)
	case "array":
	default:
		return badField(path, fmt.Sprintf("is a %s, must be a string or an array of parts", kind(value)))
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(value, &parts); err != nil {
		return badField(path, "must be an array")
	}
	for i, part := range parts {
		if f := p.part(fmt.Sprintf("%s[%d]", path, i), part); f != nil {
			return f
		}
	}
	return nil
}

// string counts a string by the bytes of its text.
func (p *chatParser) string(path string, value json.RawMessage) *refusal {
	var s string
	if err := json.Unmarshal(value, &s); err != nil {
		return badField(path, "must be a string")
	}
	p.text += uint64(len(s))
	if room := prefixBytes - len(p.prefix); room > 0 {
		p.prefix = append(p.prefix, s[:min(len(s), room)]...)
	}
	return nil
}

func (p *chatParser) part(path string, text json.RawMessage) *refusal {
	members, err := fields(text)
	if err != nil {
		return badField(path, err.Error())
	}
	var typ string
	var body *field
	for i, f := range members {
		switch f.name {
		case "type":
			_ = json.Unmarshal(f.value, &typ)
		case "text", "image_url":
			if body != nil {
				return badField(path, "must have one of text and image_url")
			}
			body = &members[i]
		default:
			return badField(path+"."+f.name, "is not a known field")
		}
	}
	if body == nil || body.name != typ {
		return badField(path+".type", "must be text or image_url, with the field of that name")
	}
	if typ == "text" {
		return p.string(path+".text", body.value)
	}
	return p.image(path+".image_url", body.value)
}

// image counts an image at the model's bound, whatever the size of its data.
func (p *chatParser) image(path string, value json.RawMessage) *refusal {
	members, err := fields(value)
	if err != nil {
		return badField(path, err.Error())
	}
	found := false
	for _, f := range members {
		switch f.name {
		case "url":
			found = bytes.HasPrefix(f.value, []byte(`"data:image/`))
		case "detail":
			p.text += uint64(len(f.value))
		default:
			return badField(path+"."+f.name, "is not a known field")
		}
	}
	if !found {
		return badField(path+".url", "must be a data URL of an image")
	}
	p.images++
	return nil
}
