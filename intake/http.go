package intake

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	// idleTime is the time without a byte of a body after which it is refused, whether memory is full or not. It is the default time limit of
	// a request.
	idleTime = 30 * time.Second
	// extendInterval is the least time between two changes of the read deadline of a body.
	extendInterval = time.Second
	// discardTime bounds reading the rest of a body that is refused, so that the refusal is not lost with the connection. A body of the
	// default limit of 4 MiB takes as long at 34 Mbit/s.
	discardTime = time.Second
)

// ReadBody reads the whole body of a request, of at most limit bytes and until a deadline. Unless it returns an error, the caller must
// release the upload, which is nil for a request without a body. Errors are ErrTooLong, ErrFull, ErrYielded and those of the connection.
// After an error the connection closes with the response.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, u *Upload, err error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil, nil
	}
	control := http.NewResponseController(w)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		_ = control.SetReadDeadline(time.Now().Add(discardTime))
		return nil, nil, ErrTooLong
	}
	// Errors of the deadlines mean that the connection has ended, or that a test has none.
	_ = control.SetReadDeadline(earlier(deadline, time.Now().Add(idleTime)))
	in := http.MaxBytesReader(w, r.Body, limit)
	u = b.begin(func(after time.Duration) { _ = control.SetReadDeadline(time.Now().Add(after)) })
	u.attach(r.Context())
	body, err = u.read(&extendingReader{upload: u, in: in, control: control, deadline: deadline, extendedAt: time.Now()}, r.ContentLength)
	var tooLong *http.MaxBytesError
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		return body, u, nil
	case errors.As(err, &tooLong):
		err = ErrTooLong
	case errors.Is(err, ErrFull) || errors.Is(err, ErrYielded):
		_ = control.SetReadDeadline(time.Now().Add(discardTime))
		// What is not read in time is lost with the connection.
		_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit))
	}
	w.Header().Set("Connection", "close")
	return nil, nil, err
}

// extendingReader moves the read deadline on as bytes of a body arrive.
type extendingReader struct {
	upload               *Upload
	in                   io.Reader
	control              *http.ResponseController
	deadline, extendedAt time.Time
}

// Read implements io.Reader.
func (e *extendingReader) Read(p []byte) (int, error) {
	if now := time.Now(); now.Sub(e.extendedAt) >= extendInterval {
		e.extendedAt = now
		e.upload.unlessYielded(func() { _ = e.control.SetReadDeadline(earlier(e.deadline, now.Add(idleTime))) })
	}
	return e.in.Read(p)
}

// unlessYielded calls a function unless the body was told to give way, which the function would undo.
func (u *Upload) unlessYielded(f func()) {
	u.budget.mu.Lock()
	defer u.budget.mu.Unlock()
	if !u.yielded {
		f()
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
