package server

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// readBody reads the request body within the limits for its size, its duration and all bodies in progress.
func (j *job) readBody() *refusal {
	limit := int64(j.server.cfg.Settings.BodyLimitBytes)
	if j.r.ContentLength > limit {
		return j.bodyTooLarge()
	}
	if !j.holdBodyBytes(max(j.r.ContentLength, 0)) {
		return newRefusal(ReasonTooManyRequests, "requests in progress hold as many bytes as they may")
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(j.server.cfg.Settings.ReadTimeout.AsDuration()))
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return j.bodyTooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.w.Header().Set("Connection", "close")
		return newRefusal(ReasonBodyTooSlow, "the body did not arrive in time")
	case err != nil:
		return invalidField("body", "ended before its length")
	}
	if !j.holdBodyBytes(int64(len(body)) - max(j.r.ContentLength, 0)) {
		return newRefusal(ReasonTooManyRequests, "requests in progress hold as many bytes as they may")
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	j.body = body
	return nil
}

func (j *job) bodyTooLarge() *refusal {
	j.w.Header().Set("Connection", "close")
	return newRefusal(ReasonBodyTooLarge, "the body is over the limit of this fleet")
}

// holdBodyBytes adds n to the body bytes that the instance holds and reports whether the total is within the limit.
func (j *job) holdBodyBytes(n int64) bool {
	j.heldBodyBytes += n
	total := j.server.bodyBytes.Add(n)
	j.server.metrics.bodyBytes.Update(total)
	return total <= bodyBytesFactor*int64(j.server.cfg.Admission.QueueBytes)
}

// releaseBodyBytes subtracts the bytes that the request added with holdBodyBytes.
func (j *job) releaseBodyBytes() {
	j.server.metrics.bodyBytes.Update(j.server.bodyBytes.Add(-j.heldBodyBytes))
}
