package server

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// read takes the body in, within its bounds of size and time.
func (j *job) read() *refusal {
	limit := int64(j.server.cfg.Settings.BodyLimitBytes)
	if j.r.ContentLength > limit {
		return j.tooLarge()
	}
	if !j.hold(max(j.r.ContentLength, 0)) {
		return refuse(ReasonTooMany, "requests in progress hold as many bytes as they may")
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Now().Add(j.server.cfg.Settings.ReadTimeout.AsDuration()))
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return j.tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.w.Header().Set("Connection", "close")
		return refuse(ReasonSlowBody, "the body did not arrive in time")
	case err != nil:
		return badField("body", "ended before its length")
	}
	if !j.hold(int64(len(body)) - max(j.r.ContentLength, 0)) {
		return refuse(ReasonTooMany, "requests in progress hold as many bytes as they may")
	}
	_ = http.NewResponseController(j.w).SetReadDeadline(time.Time{})
	j.body = body
	return nil
}

func (j *job) tooLarge() *refusal {
	j.w.Header().Set("Connection", "close")
	return refuse(ReasonTooLarge, "the body is over the limit of this fleet")
}

// hold counts body bytes against the instance's bound.
func (j *job) hold(n int64) bool {
	j.held += n
	total := j.server.bodyBytes.Add(n)
	j.server.meters.bodyBytes.Update(total)
	return total <= bodyShare*int64(j.server.cfg.Admission.QueueBytes)
}

func (j *job) releaseBody() {
	j.server.meters.bodyBytes.Update(j.server.bodyBytes.Add(-j.held))
}
