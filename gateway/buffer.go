package gateway

import (
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// defaultMaxBufferedBytes is the default of Config.MaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
	// minBufferBytes is the size with which the buffer of a response begins. It doubles as the response grows.
	minBufferBytes = 4 << 10
	// minWriteTime is how long a caller may take to read a complete response in any case: one of maxResponseBytes at 134 Mbit/s.
	minWriteTime = time.Second
)

// errBufferFull is returned for a response that is cut off because all together hold too much memory.
var errBufferFull = errors.New("gateway: bodies hold too much memory")

// byteBudget bounds the memory of responses that are held until they are complete. It is safe for concurrent use.
type byteBudget struct {
	max  int64
	used atomic.Int64
	now  func() time.Time

	mu sync.Mutex
	// writes are the complete responses that callers are reading, the oldest first.
	writes []*responseWrite
}

// responseWrite is a complete response that a caller is reading.
type responseWrite struct {
	bytes int64
	begun time.Time
	abort func()
	// aborted is set once the bytes were given to another response.
	aborted bool
}

// take reserves bytes, or returns false if there are too many. Callers who read their responses slowly give way to others.
func (b *byteBudget) take(n int64) bool {
	for b.used.Add(n) > b.max {
		b.used.Add(-n)
		if !b.abortSlowest() {
			return false
		}
	}
	return true
}

// abortSlowest ends the response that a caller has been reading for longest, if that is for longer than minWriteTime.
func (b *byteBudget) abortSlowest() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.writes) == 0 || b.now().Sub(b.writes[0].begun) < minWriteTime {
		return false
	}
	w := b.writes[0]
	b.writes = b.writes[1:]
	w.aborted = true
	b.release(w.bytes)
	w.abort()
	return true
}

// beginWrite records that a caller begins to read a complete response that holds some bytes. abort ends that.
func (b *byteBudget) beginWrite(bytes int64, abort func()) *responseWrite {
	w := &responseWrite{bytes: bytes, begun: b.now(), abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes = append(b.writes, w)
	return w
}

// endWrite records that a caller has read a response, or has left. It returns false if the response was aborted: its bytes are released.
func (b *byteBudget) endWrite(w *responseWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes = slices.DeleteFunc(b.writes, func(o *responseWrite) bool { return o == w })
	return !w.aborted
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
