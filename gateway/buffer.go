package gateway

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// defaultMaxBufferedBytes is the default of Config.MaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
	// minBufferBytes is the size with which the buffer of a response begins. It doubles as the response grows.
	minBufferBytes = 4 << 10
)

// errBufferFull is returned for a response that is cut off because all together hold too much memory.
var errBufferFull = errors.New("gateway: responses that are not complete hold too much memory")

// byteBudget bounds the memory of responses that are held until they are complete. It is safe for concurrent use.
type byteBudget struct {
	max  int64
	used atomic.Int64
}

// take reserves bytes, or returns false if there are too many.
func (b *byteBudget) take(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// readAll reads to the end, but at most limit bytes and one more. It also returns the bytes that it has taken from the budget.
func (b *byteBudget) readAll(r io.Reader, limit int) (body []byte, taken int64, err error) {
	for {
		if len(body) == cap(body) {
			grown := max(2*cap(body), minBufferBytes)
			if !b.take(int64(grown - cap(body))) {
				return body, taken, errBufferFull
			}
			taken += int64(grown - cap(body))
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):min(cap(body), limit+1)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, taken, nil
		}
		if err != nil || len(body) > limit {
			return body, taken, err
		}
	}
}
