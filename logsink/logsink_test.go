package logsink_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/logsink"
)

func TestSink(t *testing.T) {
	Convey("lines are written as JSON, complete and in order", t, func() {
		var out bytes.Buffer
		s := logsink.New(&out, "json", metrics.NewRegistry())
		logger := &log.Logger{Handler: s, Level: log.InfoLevel}
		logger.WithField("request_id", "9c41").Info("gateway: one")
		logger.Warn("gateway: two")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Run(ctx)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		So(lines, ShouldHaveLength, 2)
		So(lines[0], ShouldContainSubstring, `"request_id":"9c41"`)
		So(lines[1], ShouldContainSubstring, "gateway: two")
	})
	Convey("lines beyond the rate limit are dropped, counted and reported without blocking, except errors", t, func() {
		var out bytes.Buffer
		registry := metrics.NewRegistry()
		s := logsink.New(&out, "json", registry)
		logger := &log.Logger{Handler: s, Level: log.InfoLevel}
		const lineCount = 20_000
		for range lineCount {
			logger.Info("gateway: line")
		}
		logger.Error("gateway: an error is exempt from the rate limit")
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		s.Run(ctx)
		dropped := registry.Get("log.dropped").(metrics.Counter).Count()
		written := strings.Count(out.String(), "gateway: line")
		So(dropped, ShouldBeGreaterThan, int64(lineCount/2))
		So(int64(written)+dropped, ShouldEqual, int64(lineCount))
		So(out.String(), ShouldContainSubstring, "an error is exempt")
		So(out.String(), ShouldContainSubstring, "log: lines dropped")
	})
}
