package endpoint

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSilentEngineKeepsItsCall guards against a call that is canceled because its engine answers nobody for a moment, and which
// the engine drops then.
func TestSilentEngineKeepsItsCall(t *testing.T) {
	const stallTimeout, silence = 200 * time.Millisecond, 300 * time.Millisecond
	for _, stream := range []bool{false, true} {
		Convey("a call to an engine that is silent for longer than StallTimeout gets its response, "+map[bool]string{false: "complete", true: "as a stream"}[stream], t, func() {
			r := newFixture(time.Hour, nil)
			Reset(r.close)
			r.client.cfg.ProgressTimeout, r.client.cfg.StallTimeout = time.Hour, stallTimeout
			goesOn := time.Now().Add(silence)
			r.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				// net/http notices that the client has left once the body is read.
				body, _ := io.ReadAll(req.Body)
				req.Body = io.NopCloser(bytes.NewReader(body))
				time.Sleep(time.Until(goesOn))
				if req.Context().Err() == nil {
					r.engine.ServeHTTP(w, req)
				}
			})
			res := r.do("a", stream)
			So(res.Status, ShouldEqual, Complete)
			So(res.Reason, ShouldEqual, ReasonNone)
		})
	}
}
