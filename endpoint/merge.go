package endpoint

import (
	"cmp"
	"slices"
	"strings"
)

// merger joins the deltas of a streamed message. Text is appended; names and kinds come once.
type merger struct {
	texts map[string]*strings.Builder
	other map[string]any
	calls map[int]*merger
}

// onceFields of a delta are not appended to.
var onceFields = map[string]bool{"role": true, "id": true, "type": true, "name": true}

const (
	fieldCalls = "tool_calls"
	fieldIndex = "index"
)

func newMerger() *merger {
	return &merger{texts: make(map[string]*strings.Builder), other: make(map[string]any), calls: make(map[int]*merger)}
}

func (m *merger) add(delta map[string]any) {
	for name, value := range delta {
		switch v := value.(type) {
		case string:
			m.addText(name, v)
		case []any:
			m.addList(name, v)
		case map[string]any:
			m.sub(name).add(v)
		case nil:
		default:
			m.other[name] = v
		}
	}
}

func (m *merger) addText(name, text string) {
	if onceFields[name] {
		m.other[name] = text
		return
	}
	b := m.texts[name]
	if b == nil {
		b = new(strings.Builder)
		m.texts[name] = b
	}
	b.WriteString(text)
}

// sub returns the merger of an object within the message.
func (m *merger) sub(name string) *merger {
	s, ok := m.other[name].(*merger)
	if !ok {
		s = newMerger()
		m.other[name] = s
	}
	return s
}

// addList joins parts of tool calls by their index and appends other lists.
func (m *merger) addList(name string, list []any) {
	if name != fieldCalls {
		old, _ := m.other[name].([]any)
		m.other[name] = append(old, list...)
		return
	}
	for _, item := range list {
		part, ok := item.(map[string]any)
		if !ok {
			continue
		}
		index, _ := part[fieldIndex].(float64)
		delete(part, fieldIndex)
		call := m.calls[int(index)]
		if call == nil {
			call = newMerger()
			m.calls[int(index)] = call
		}
		call.add(part)
	}
}

func (m *merger) value() map[string]any {
	out := make(map[string]any)
	for name, v := range m.other {
		if s, ok := v.(*merger); ok {
			v = s.value()
		}
		out[name] = v
	}
	for name, b := range m.texts {
		out[name] = b.String()
	}
	if len(m.calls) > 0 {
		out[fieldCalls] = m.callList()
	}
	return out
}

func (m *merger) callList() []any {
	var indexes []int
	for i := range m.calls {
		indexes = append(indexes, i)
	}
	slices.SortFunc(indexes, cmp.Compare[int])
	var out []any
	for _, i := range indexes {
		out = append(out, m.calls[i].value())
	}
	return out
}

// numberCalls gives the tool calls of a whole message the index that they have in a stream.
func numberCalls(message map[string]any) {
	calls, _ := message[fieldCalls].([]any)
	for i, c := range calls {
		if call, ok := c.(map[string]any); ok {
			call[fieldIndex] = i
		}
	}
}

// mergeLogprobs appends the lists of token probabilities of two events.
func mergeLogprobs(old, next any) any {
	n, ok := next.(map[string]any)
	if !ok {
		return old
	}
	o, ok := old.(map[string]any)
	if !ok {
		return n
	}
	for name, value := range n {
		list, ok := value.([]any)
		if !ok {
			continue
		}
		before, _ := o[name].([]any)
		o[name] = append(before, list...)
	}
	return o
}
