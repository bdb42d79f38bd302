package intake

import (
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// maxAheadBytes is how much memory a body may hold ahead of the bytes that have arrived. minChunkBytes is the first chunk of a body of
	// unknown length; further ones double.
	maxAheadBytes, minChunkBytes = 64 << 10, 4 << 10
	// stallTime is the time without progress after which a body gives way while memory is full. It covers one retransmission of a lost
	// packet on a link of a few milliseconds: the shortest time-out of TCP is 200 ms.
	stallTime = 250 * time.Millisecond
	// minProgressBytes must arrive within stallTime: 16 KiB/s, at which a body of the default limit of 4 MiB would take over four minutes.
	minProgressBytes = 4 << 10
)

// Errors of ReadBody.
var (
	// ErrTooLong means that the body is over its limit.
	ErrTooLong = errors.New("intake: body is over the limit")
	// ErrFull means that bodies hold as much memory as they may.
	ErrFull = errors.New("intake: bodies hold as much memory as they may")
	// ErrYielded means that the body gave its memory to another one.
	ErrYielded = errors.New("intake: body gave way to another one")
)

// NewBudget returns a budget of so many bytes.
func NewBudget(maxBytes int64, now func() time.Time, r metrics.Registry) *Budget {
	return &Budget{max: maxBytes, now: now, metrics: newBodyMetrics(r), uploads: make(map[*Upload]struct{})}
}

// Budget bounds the memory of the bodies of all requests. When it is full, bodies that have stalled give way, and then those of which least
// has arrived. Complete bodies stay. It is safe for concurrent use.
type Budget struct {
	max     int64
	now     func() time.Time
	metrics bodyMetrics

	mu   sync.Mutex
	used int64
	// uploads are the bodies that are arriving.
	uploads map[*Upload]struct{}
}

// Used returns the bytes that bodies hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Upload is the body of one request, which holds memory until Release.
type Upload struct {
	budget *Budget
	// abort ends the read in progress after a time. It must not block.
	abort func(after time.Duration)

	// The budget's mutex guards the following fields.
	held, arrived int64
	// progressAt is when minProgressBytes more had arrived last, and recent are the bytes since then.
	progressAt time.Time
	recent     int64
	yielded    bool
	// yield is closed when the body must give way, released when its memory is free.
	yield, released chan struct{}
	isReleased      bool
}

// begin begins to read a body. abort makes a read of it that is in progress return after a time, and must not block.
func (b *Budget) begin(abort func(after time.Duration)) *Upload {
	u := &Upload{budget: b, abort: abort, progressAt: b.now(), yield: make(chan struct{}), released: make(chan struct{})}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.uploads[u] = struct{}{}
	return u
}

// Held returns the bytes of memory that the body holds. It is zero for a nil upload.
func (u *Upload) Held() int64 {
	if u == nil {
		return 0
	}
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	return u.held
}

// Release frees the memory of the body. Further calls do nothing, nor do those on a nil upload.
func (u *Upload) Release() {
	if u == nil {
		return
	}
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.uploads, u)
	if u.isReleased {
		return
	}
	u.isReleased = true
	b.used -= u.held
	b.metrics.bytes.Update(b.used)
	close(u.released)
}

// read reads a body whose length is announced, or negative if it is not known. After an error the memory is free.
func (u *Upload) read(r io.Reader, length int64) ([]byte, error) {
	body, err := u.readAll(r, length)
	if err != nil {
		u.budget.mu.Lock()
		if u.yielded {
			err = ErrYielded
		}
		u.budget.mu.Unlock()
		u.Release()
		return nil, err
	}
	return body, nil
}

func (u *Upload) readAll(r io.Reader, length int64) ([]byte, error) {
	var chunks [][]byte
	defer func() {
		for _, c := range chunks {
			putChunk(c)
		}
	}()
	total := int64(0)
	for size := int64(minChunkBytes); ; size = min(2*size, maxAheadBytes) {
		if length >= 0 {
			// One byte more lets the last read find the end.
			size = min(length-total+1, maxAheadBytes)
		}
		if err := u.take(size); err != nil {
			return nil, err
		}
		chunk := getChunk(size)
		n, err := u.fill(r, chunk)
		total += int64(n)
		if errors.Is(err, io.EOF) && len(chunks) == 0 {
			return chunk[:n:n], u.finish(size)
		}
		chunks = append(chunks, chunk[:n])
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if err := u.take(total); err != nil {
		return nil, err
	}
	body := make([]byte, 0, total)
	for _, c := range chunks {
		body = append(body, c...)
	}
	return body, u.finish(total)
}

// fill reads until the chunk is full.
func (u *Upload) fill(r io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var more int
		more, err = r.Read(chunk[n:])
		n += more
		if more > 0 && !u.recordArrival(more) {
			return n, ErrYielded
		}
	}
	return n, err
}

// recordArrival counts bytes that have arrived. It returns false if the body must give way.
func (u *Upload) recordArrival(n int) bool {
	now := u.budget.now()
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	u.arrived += int64(n)
	if u.recent += int64(n); u.recent >= minProgressBytes {
		u.progressAt, u.recent = now, 0
	}
	return !u.yielded
}

// finish records that the body is complete and keeps only so many bytes. A body that was told to give way before has done so.
func (u *Upload) finish(keep int64) error {
	b := u.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.yielded {
		return ErrYielded
	}
	delete(b.uploads, u)
	b.used -= u.held - keep
	u.held = keep
	b.metrics.bytes.Update(b.used)
	return nil
}

// take reserves memory. Other bodies give way to this one, or this one does.
func (u *Upload) take(n int64) error {
	for {
		victim, err := u.tryTake(n)
		if victim == nil {
			return err
		}
		select {
		case <-victim.released:
		case <-u.yield:
			return ErrYielded
		}
	}
}

// tryTake reserves memory, or returns the body that gives way.
func (u *Upload) tryTake(n int64) (victim *Upload, err error) {
	b := u.budget
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if u.yielded {
		return nil, ErrYielded
	}
	if b.used+n <= b.max {
		b.used += n
		u.held += n
		b.metrics.bytes.Update(b.used)
		return nil, nil
	}
	// A body that asks for memory has not stalled: its next bytes may be waiting.
	u.progressAt = now
	if victim = b.leastLocked(u, now); victim == nil {
		b.metrics.refused.Inc(1)
		return nil, ErrFull
	}
	victim.yieldLocked(now)
	return victim, nil
}

// leastLocked returns the body that gives way to another one, or nil. The caller holds the mutex.
func (b *Budget) leastLocked(to *Upload, now time.Time) *Upload {
	var stalled, smallest *Upload
	for u := range b.uploads {
		switch {
		case u == to || u.held == 0:
		case now.Sub(u.progressAt) >= stallTime:
			if stalled == nil || u.progressAt.Before(stalled.progressAt) {
				stalled = u
			}
		case u.arrived < to.arrived && (smallest == nil || u.arrived < smallest.arrived):
			smallest = u
		}
	}
	if stalled != nil {
		return stalled
	}
	return smallest
}

// yieldLocked makes the body give way. The caller holds the mutex.
func (u *Upload) yieldLocked(now time.Time) {
	delete(u.budget.uploads, u)
	u.yielded = true
	u.budget.metrics.yielded.Inc(1)
	close(u.yield)
	// A body that still arrives gives way at its next byte. The rest of it can then be read before the refusal.
	u.abort(max(0, stallTime-now.Sub(u.progressAt)))
}

// chunkPool holds chunks of maxAheadBytes.
var chunkPool = sync.Pool{New: func() any { return new([maxAheadBytes]byte) }}

func getChunk(size int64) []byte {
	if size < maxAheadBytes {
		return make([]byte, size)
	}
	return chunkPool.Get().(*[maxAheadBytes]byte)[:]
}

func putChunk(c []byte) {
	if cap(c) == maxAheadBytes {
		chunkPool.Put((*[maxAheadBytes]byte)(c[:maxAheadBytes]))
	}
}
