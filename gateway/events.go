package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 1 << 20

// errEventTooLarge is returned for an event of more than maxEventBytes.
var errEventTooLarge = errors.New("gateway: event exceeds the size limit")

// event is one unmodified event of a stream.
type event struct {
	raw []byte
	// id is the numeric ID of the event. It is valid only if hasID is set.
	id    int64
	hasID bool
	// hasFields is set if there is anything but comments, malformed if a line is no field.
	hasFields, malformed bool
}

// eventReader splits a text/event-stream into events without changing a byte. An empty line ends an event; an event
// without that line is incomplete and never returned.
type eventReader struct {
	in     *bufio.Reader
	budget *byteBudget
	// taken is what the present event holds of the budget.
	taken int64
	// begun is set once a line was read.
	begun bool
}

// byteOrderMark may begin a stream and is not part of its first line.
var byteOrderMark = []byte("\ufeff")

func newEventReader(r io.Reader, b *byteBudget) *eventReader {
	return &eventReader{in: bufio.NewReader(r), budget: b}
}

// release gives back what the present event holds of the budget.
func (e *eventReader) release() {
	e.budget.release(e.taken)
	e.taken = 0
}

// append adds a piece to an event. Only the memory beyond minBufferBytes counts, which few events need.
func (e *eventReader) append(raw, piece []byte) ([]byte, error) {
	before := max(cap(raw), minBufferBytes)
	raw = append(raw, piece...)
	if grown := int64(max(cap(raw), minBufferBytes) - before); grown > 0 {
		if !e.budget.take(grown) {
			return raw, errBufferFull
		}
		e.taken += grown
	}
	return raw, nil
}

// next returns the next complete event. It returns io.EOF if the stream ends after a complete event and
// io.ErrUnexpectedEOF if it ends within one.
func (e *eventReader) next() (event, error) {
	var ev event
	lineStart := 0
	e.release()
	for {
		// A line that is longer than the buffer arrives in pieces.
		piece, err := e.in.ReadSlice('\n')
		var full error
		ev.raw, full = e.append(ev.raw, piece)
		switch {
		case full != nil:
			return event{}, full
		case len(ev.raw) > maxEventBytes:
			return event{}, errEventTooLarge
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line := ev.raw[lineStart:]
		lineStart = len(ev.raw)
		text := bytes.TrimRight(line, "\r\n")
		if !e.begun {
			e.begun, text = true, bytes.TrimPrefix(text, byteOrderMark)
		}
		if len(text) == 0 {
			return ev, nil
		}
		if text[0] != ':' {
			ev.hasFields, ev.malformed = true, ev.malformed || !isField(text)
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("gateway: event id %q is not a number", bytes.TrimSpace(value))
			}
			ev.id, ev.hasID = id, true
		}
	}
}

// isField reports whether a line begins with the name of a field. Names are lower-case words, unlike those of header lines, and what follows
// them is not checked.
func isField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return len(name) > 0
}
