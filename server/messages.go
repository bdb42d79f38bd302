package server

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// parseMessages validates the messages and adds their text and images to the prompt's bound.
func (p *chatParser) parseMessages(f *member) *refusal {
	var list []json.RawMessage
	if err := json.Unmarshal(f.value, &list); err != nil {
		return invalidField(f.name, "must be an array")
	}
	if len(list) == 0 || len(list) > maxMessages {
		return invalidField(f.name, fmt.Sprintf("has %d messages, must have 1 to %d", len(list), maxMessages))
	}
	p.messageCount = len(list)
	for i, m := range list {
		if f := p.parseMessage(fmt.Sprintf("messages[%d]", i), m); f != nil {
			return f
		}
	}
	return nil
}

func (p *chatParser) parseMessage(path string, text json.RawMessage) *refusal {
	members, err := parseObject(text)
	if err != nil {
		return invalidField(path, err.Error())
	}
	hasRole := false
	for _, f := range members {
		switch f.name {
		case "role":
			hasRole = jsonType(f.value) == "string"
			p.textBytes += uint64(len(f.value))
		case "content":
			if f := p.parseContent(path+".content", f.value); f != nil {
				return f
			}
		case "name", "tool_calls", "tool_call_id", "refusal":
			p.textBytes += uint64(len(f.value))
		default:
			return invalidField(path+"."+f.name, "is not a known field")
		}
	}
	if !hasRole {
		return invalidField(path+".role", "must be a string")
	}
	return nil
}

func (p *chatParser) parseContent(path string, value json.RawMessage) *refusal {
	switch jsonType(value) {
	case "null":
		return nil
	case "string":
		return p.addText(path, value)
	case "array":
	default:
		return invalidField(path, fmt.Sprintf("is a %s, must be a string or an array of parts", jsonType(value)))
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(value, &parts); err != nil {
		return invalidField(path, "must be an array")
	}
	for i, part := range parts {
		if f := p.parseContentPart(fmt.Sprintf("%s[%d]", path, i), part); f != nil {
			return f
		}
	}
	return nil
}

// addText adds the bytes of a decoded string to the prompt's bound and extends the prompt's prefix.
func (p *chatParser) addText(path string, value json.RawMessage) *refusal {
	var s string
	if err := json.Unmarshal(value, &s); err != nil {
		return invalidField(path, "must be a string")
	}
	p.textBytes += uint64(len(s))
	if remaining := maxPrefixBytes - len(p.prefix); remaining > 0 {
		p.prefix = append(p.prefix, s[:min(len(s), remaining)]...)
	}
	return nil
}

// parseContentPart validates one part of a message's content: a text or an image.
func (p *chatParser) parseContentPart(path string, text json.RawMessage) *refusal {
	members, err := parseObject(text)
	if err != nil {
		return invalidField(path, err.Error())
	}
	var typ string
	var body *member
	for i, f := range members {
		switch f.name {
		case "type":
			_ = json.Unmarshal(f.value, &typ)
		case "text", "image_url":
			if body != nil {
				return invalidField(path, "must have one of text and image_url")
			}
			body = &members[i]
		default:
			return invalidField(path+"."+f.name, "is not a known field")
		}
	}
	if body == nil || body.name != typ {
		return invalidField(path+".type", "must be text or image_url, with the field of that name")
	}
	if typ == "text" {
		return p.addText(path+".text", body.value)
	}
	return p.parseImage(path+".image_url", body.value)
}

// parseImage counts an image. Its bound is the model's fixed ImageBound, whatever the size of its data.
func (p *chatParser) parseImage(path string, value json.RawMessage) *refusal {
	members, err := parseObject(value)
	if err != nil {
		return invalidField(path, err.Error())
	}
	hasImageData := false
	for _, f := range members {
		switch f.name {
		case "url":
			hasImageData = bytes.HasPrefix(f.value, []byte(`"data:image/`))
		case "detail":
			p.textBytes += uint64(len(f.value))
		default:
			return invalidField(path+"."+f.name, "is not a known field")
		}
	}
	if !hasImageData {
		return invalidField(path+".url", "must be a data URL of an image")
	}
	p.imageCount++
	return nil
}
