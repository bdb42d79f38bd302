package server

import (
	"errors"
	"os"
	"time"

	"pumiceshelf/intake"
)

// readBody reads the request body within the limits for its size, its duration and all bodies in progress.
func (j *job) readBody() *refusal {
	s := j.server
	body, upload, err := s.bodies.ReadBody(j.w, j.r, int64(s.cfg.Settings.BodyLimitBytes), time.Now().Add(s.cfg.Settings.ReadTimeout.AsDuration()))
	j.upload = upload
	s.metrics.bodyBytes.Update(s.bodies.Used())
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return newRefusal(ReasonBodyTooLarge, "the body is over the limit of this fleet")
	case errors.Is(err, intake.ErrFull):
		return newRefusal(ReasonTooManyRequests, "requests in progress hold as many bytes as they may")
	case errors.Is(err, intake.ErrYielded):
		return newRefusal(ReasonTooManyRequests, "the body did not arrive while others needed its memory")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(ReasonBodyTooSlow, "the body did not arrive in time")
	case err != nil:
		return invalidField("body", "ended before its length")
	}
	j.body = body
	return nil
}

// releaseBody frees the memory of the body.
func (j *job) releaseBody() {
	j.upload.Release()
	j.server.metrics.bodyBytes.Update(j.server.bodies.Used())
}
