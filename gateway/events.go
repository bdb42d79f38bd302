package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// eventLimit bounds one event of a stream in bytes.
const eventLimit = 1 << 20

// errEventTooLarge means that an event is over eventLimit.
var errEventTooLarge = errors.New("gateway: event over the limit")

// event is one event of a stream as it came.
type event struct {
	raw []byte
	// id is the event's number; numbered is false when it has none.
	id       int64
	numbered bool
}

// eventReader cuts a stream into events without changing a byte. The text/event-stream format ends an event with an
// empty line; a part that is not ended is never handed out.
type eventReader struct{ in *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{in: bufio.NewReader(r)} }

// next returns the next whole event. It returns io.EOF at a clean end, io.ErrUnexpectedEOF if the stream ends in the
// middle of an event.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.in.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) && len(ev.raw) <= eventLimit {
			continue
		}
		if err == io.EOF && len(ev.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return event{}, err
		}
		if len(ev.raw) > eventLimit {
			return event{}, errEventTooLarge
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return ev, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("gateway: event id %q is not a number", bytes.TrimSpace(value))
			}
			ev.id, ev.numbered = id, true
		}
	}
}
