package router_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/router"
)

var errAcceptFailed = errors.New("accept failed")

// failingListener is a listener whose Accept fails once it is closed.
type failingListener struct{ net.Listener }

func (l failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, errAcceptFailed
	}
	return conn, nil
}

func TestRunEndsWithItsBackgroundParts(t *testing.T) {
	Convey("an instance that can no longer serve other instances answers the requests in progress and ends with the error", t, func() {
		store, service := newMemoryStore(), newPlainService()
		Reset(service.server.Close)
		store.set("config/main", configuration(1, "key"))
		store.set("servers/i-1", service.entry())
		peers := make(chan net.Listener, 1)
		f := startRouterWith(store, clockwork.NewFakeClock(), "muscat-1", func(c *router.Config) {
			address := c.Settings.PeerAddress
			c.Listen = func(ctx context.Context, network, at string) (net.Listener, error) {
				l, err := new(net.ListenConfig).Listen(ctx, network, at)
				if err == nil && at == address {
					peers <- l
					l = failingListener{l}
				}
				return l, err
			}
		})
		f.advanceUntil(f.isReady)
		c := f.connect()
		c.send("slow", "key")
		<-service.arrived
		So((<-peers).Close(), ShouldBeNil)
		f.advanceUntil(func() bool { return !f.isReady() })
		close(service.release)
		status, body, _, err := c.receive()
		So([]any{status, body, err}, ShouldResemble, []any{200, "served", nil})
		const steps = 3_000
		for range steps {
			if len(f.ended) > 0 {
				break
			}
			f.clock.Advance(100 * time.Millisecond)
			time.Sleep(time.Millisecond)
		}
		So(f.ended, ShouldHaveLength, 1)
		So(errors.Is(<-f.ended, errAcceptFailed), ShouldBeTrue)
	})
}
