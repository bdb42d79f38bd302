package endpoint

import (
	"cmp"
	"slices"
	"strings"
)

// deltaMerger merges the deltas of a streamed message. Text is appended; fields in replacedFields are not.
type deltaMerger struct {
	texts     map[string]*strings.Builder
	values    map[string]any
	toolCalls map[int]*deltaMerger
}

// replacedFields are the text fields of a delta that replace earlier values instead of being appended.
var replacedFields = map[string]bool{"role": true, "id": true, "type": true, "name": true}

const (
	fieldToolCalls = "tool_calls"
	fieldIndex     = "index"
)

func newDeltaMerger() *deltaMerger {
	return &deltaMerger{texts: make(map[string]*strings.Builder), values: make(map[string]any), toolCalls: make(map[int]*deltaMerger)}
}

func (m *deltaMerger) add(delta map[string]any) {
	for name, value := range delta {
		switch v := value.(type) {
		case string:
			m.addText(name, v)
		case []any:
			m.addList(name, v)
		case map[string]any:
			m.objectMerger(name).add(v)
		case nil:
		default:
			m.values[name] = v
		}
	}
}

func (m *deltaMerger) addText(name, text string) {
	if replacedFields[name] {
		m.values[name] = text
		return
	}
	b := m.texts[name]
	if b == nil {
		b = new(strings.Builder)
		m.texts[name] = b
	}
	b.WriteString(text)
}

// objectMerger returns the merger of a nested object of the message.
func (m *deltaMerger) objectMerger(name string) *deltaMerger {
	s, ok := m.values[name].(*deltaMerger)
	if !ok {
		s = newDeltaMerger()
		m.values[name] = s
	}
	return s
}

// addList merges the deltas of tool calls by index and appends other lists.
func (m *deltaMerger) addList(name string, list []any) {
	if name != fieldToolCalls {
		old, _ := m.values[name].([]any)
		m.values[name] = append(old, list...)
		return
	}
	for _, item := range list {
		part, ok := item.(map[string]any)
		if !ok {
			continue
		}
		index, _ := part[fieldIndex].(float64)
		delete(part, fieldIndex)
		call := m.toolCalls[int(index)]
		if call == nil {
			call = newDeltaMerger()
			m.toolCalls[int(index)] = call
		}
		call.add(part)
	}
}

func (m *deltaMerger) merged() map[string]any {
	out := make(map[string]any)
	for name, v := range m.values {
		if s, ok := v.(*deltaMerger); ok {
			v = s.merged()
		}
		out[name] = v
	}
	for name, b := range m.texts {
		out[name] = b.String()
	}
	if len(m.toolCalls) > 0 {
		out[fieldToolCalls] = m.toolCallList()
	}
	return out
}

func (m *deltaMerger) toolCallList() []any {
	var indexes []int
	for i := range m.toolCalls {
		indexes = append(indexes, i)
	}
	slices.SortFunc(indexes, cmp.Compare[int])
	var out []any
	for _, i := range indexes {
		out = append(out, m.toolCalls[i].merged())
	}
	return out
}

// addToolCallIndexes sets the index of each tool call of a message, as streaming responses have it.
func addToolCallIndexes(message map[string]any) {
	calls, _ := message[fieldToolCalls].([]any)
	for i, c := range calls {
		if call, ok := c.(map[string]any); ok {
			call[fieldIndex] = i
		}
	}
}

// mergeLogprobs appends the lists of token log probabilities in next to those in old.
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
