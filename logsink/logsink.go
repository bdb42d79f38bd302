// Package logsink writes structured logs without blocking requests: lines go through a bounded queue, and lines beyond the
// queue's capacity or the rate limit are dropped and counted.
package logsink

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	logjson "github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"pumiceshelf/telemetry"
)

const (
	// maxQueuedLines bounds the lines that are queued for writing: a few seconds' worth at linesPerSecond.
	maxQueuedLines = 2048
	// linesPerSecond and burstLines limit the log rate. They allow about four lines per request at three times the usual
	// traffic of one instance.
	linesPerSecond = 400
	burstLines     = 1200
	// flushInterval bounds how long a line stays in the buffer.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 32 << 10
)

var descDropped = telemetry.Describe("log.dropped", "lines", "Lines of the log that were dropped, for lack of room or over the rate.")

// Sink is a log.Handler with a bounded queue. Lines at error level and above are exempt from the rate limit.
type Sink struct {
	queue           chan *log.Entry
	limiter         *rate.Limiter
	dropped         metrics.Counter
	unreportedDrops atomic.Int64
	out             *bufio.Writer
	handler         log.Handler
}

// New returns a sink that writes to out in the "json" or "text" format. Nothing is written until Run is called.
func New(out io.Writer, format string, registry metrics.Registry) *Sink {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	s := &Sink{
		queue:   make(chan *log.Entry, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, burstLines),
		dropped: descDropped.Counter(registry),
		out:     buffered,
		handler: logjson.New(buffered),
	}
	if format == "text" {
		s.handler = text.New(buffered)
	}
	return s
}

// HandleLog implements log.Handler. It never blocks.
func (s *Sink) HandleLog(e *log.Entry) error {
	if e.Level >= log.ErrorLevel || s.limiter.Allow() {
		select {
		case s.queue <- e:
			return nil
		default:
		}
	}
	s.dropped.Inc(1)
	s.unreportedDrops.Add(1)
	return nil
}

// Run writes lines until the context ends, then writes the remaining queued lines and returns.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-s.queue:
			s.write(e)
		case <-ticker.C:
			s.reportDropped()
			_ = s.out.Flush() // A failure to write the log cannot be logged.
		case <-ctx.Done():
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case e := <-s.queue:
			s.write(e)
		default:
			s.reportDropped()
			_ = s.out.Flush()
			return
		}
	}
}

func (s *Sink) write(e *log.Entry) { _ = s.handler.HandleLog(e) }

func (s *Sink) reportDropped() {
	n := s.unreportedDrops.Swap(0)
	if n == 0 {
		return
	}
	entry := log.NewEntry(&log.Logger{Handler: s.handler, Level: log.InfoLevel}).WithField("lines", n)
	entry.Warn("log: lines dropped")
}
