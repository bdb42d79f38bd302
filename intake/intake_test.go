package intake

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stalled body that keeps the memory which others need.
func TestStalledBodyGivesWay(t *testing.T) {
	Convey("Given a full budget and a body that stops short of its end", t, func() {
		clock := clockwork.NewFakeClock()
		b := NewBudget(maxAheadBytes, clock.Now, metrics.NewRegistry())
		reader, writer := io.Pipe()
		stalled := b.begin(func(time.Duration) { _ = reader.CloseWithError(errors.New("aborted")) })
		result := make(chan error, 1)
		go func() {
			_, err := stalled.read(reader, maxAheadBytes-1)
			result <- err
		}()
		// It goes on one byte at a time, which is no progress.
		_, err := io.WriteString(writer, strings.Repeat("a", 100))
		So(err, ShouldBeNil)

		Convey("another body is refused at first, and gets its memory once it has stalled", func() {
			_, err := b.begin(func(time.Duration) {}).read(strings.NewReader("other"), 5)
			So(err, ShouldEqual, ErrFull)
			clock.Advance(stallTime)
			_, err = io.WriteString(writer, "a")
			So(err, ShouldBeNil)
			other := b.begin(func(time.Duration) {})
			body, err := other.read(strings.NewReader("other"), 5)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "other")
			So(<-result, ShouldEqual, ErrYielded)
			other.Release()
			So(b.Used(), ShouldEqual, 0)
		})
	})
}

// Guards against bodies that hold much more memory than has arrived of them.
func TestMemoryFollowsArrival(t *testing.T) {
	Convey("a body holds at most maxAheadBytes more than has arrived, also if it announces more", t, func() {
		for _, length := range []int64{-1, 1 << 20} {
			b := NewBudget(8<<20, time.Now, metrics.NewRegistry())
			u := b.begin(func(time.Duration) {})
			in := strings.NewReader(strings.Repeat("a", 1<<20))
			body, err := u.read(readerFunc(func(p []byte) (int, error) {
				if arrived := int64(1<<20 - in.Len()); b.Used() > arrived+maxAheadBytes {
					t.Errorf("%d bytes held after %d have arrived", b.Used(), arrived)
				}
				return in.Read(p[:min(len(p), 1000)])
			}), length)
			So(err, ShouldBeNil)
			So(len(body), ShouldEqual, 1<<20)
			So(b.Used(), ShouldEqual, 1<<20)
			u.Release()
			So(b.Used(), ShouldEqual, 0)
		}
	})
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a crowd of connections without a request that keeps others out, and against the close of a connection in use.
func TestIdleConnectionsGiveWay(t *testing.T) {
	Convey("Given a listener with as many connections as it may have", t, func() {
		clock := clockwork.NewFakeClock()
		l := NewListener(nil, ListenerConfig{
			Name: "callers", MaxConnections: 3, Tracked: true, Now: clock.Now, Log: &log.Logger{Handler: discard.New()}, Metrics: metrics.NewRegistry(),
		})
		add := func() (c, victim *Conn) {
			raw, _ := net.Pipe()
			c = &Conn{Conn: raw, listener: l, since: clock.Now()}
			victim = l.add(c)
			clock.Advance(time.Millisecond)
			return c, victim
		}
		serving, _ := add()
		So(serving.enter(phaseServing), ShouldBeTrue)
		silent, _ := add()
		idle, _ := add()
		So(idle.enter(phaseIdle), ShouldBeTrue)

		Convey("one without a head gives way first, then an idle one, and then the new one", func() {
			clock.Advance(headTime)
			first, victim := add()
			So(victim, ShouldEqual, silent)
			So(silent.enter(phaseServing), ShouldBeFalse)
			So(first.enter(phaseServing), ShouldBeTrue)
			second, victim := add()
			So(victim, ShouldEqual, idle)
			So(second.enter(phaseServing), ShouldBeTrue)
			third, victim := add()
			So(victim, ShouldEqual, third)
			So(len(l.conns), ShouldEqual, 3)
		})
	})
}
