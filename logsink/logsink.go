// Package logsink writes structured logs without ever making a request wait: lines go through a bounded queue, and what
// does not fit in the queue or in the rate is dropped and counted.
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
	// queueLines bounds the lines that wait to be written: a few seconds of the rate.
	queueLines = 2048
	// linesPerSecond and burstLines bound the volume: about four lines for each of the requests that one instance takes
	// at three times its usual traffic.
	linesPerSecond = 400
	burstLines     = 1200
	// flushInterval is the longest time that a line stays in the buffer.
	flushInterval = 100 * time.Millisecond
	bufferBytes   = 32 << 10
)

var descDropped = telemetry.Describe("log.dropped", "lines", "Lines of the log that were dropped, for lack of room or over the rate.")

// Sink is a log.Handler with a bounded queue. Lines at error level are not held back by the rate.
type Sink struct {
	queue   chan *log.Entry
	limiter *rate.Limiter
	dropped metrics.Counter
	unsaid  atomic.Int64
	out     *bufio.Writer
	handler log.Handler
}

// New returns a sink that writes to out, as "json" or as "text". Run must be called for it to write.
func New(out io.Writer, format string, registry metrics.Registry) *Sink {
	buffered := bufio.NewWriterSize(out, bufferBytes)
	s := &Sink{
		queue:   make(chan *log.Entry, queueLines),
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
	s.unsaid.Add(1)
	return nil
}

// Run writes lines until the context ends, then those that are left.
func (s *Sink) Run(ctx context.Context) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-s.queue:
			s.write(e)
		case <-ticker.C:
			s.sayDropped()
			_ = s.out.Flush() // Nobody is left to tell if the log itself cannot be written.
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
			s.sayDropped()
			_ = s.out.Flush()
			return
		}
	}
}

func (s *Sink) write(e *log.Entry) { _ = s.handler.HandleLog(e) }

func (s *Sink) sayDropped() {
	n := s.unsaid.Swap(0)
	if n == 0 {
		return
	}
	entry := log.NewEntry(&log.Logger{Handler: s.handler, Level: log.InfoLevel}).WithField("lines", n)
	entry.Warn("log: lines dropped")
}
