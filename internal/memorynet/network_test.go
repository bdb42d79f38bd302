package memorynet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns both ends of a connection of a new network.
func connect() (client, server net.Conn) {
	n := new(Network)
	l := n.Listen()
	accepted := make(chan net.Conn)
	go func() {
		c, err := l.Accept()
		if err != nil {
			panic(err)
		}
		accepted <- c
	}()
	client, err := n.DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	server = <-accepted
	_ = l.Close()
	return client, server
}

// TestMemoryConnections guards against connections that differ from TCP where the tests of others depend on it.
func TestMemoryConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		check func(client, server net.Conn)
	}{
		{"what was sent before closing arrives, and then the end", func(client, server net.Conn) {
			_, err := io.WriteString(client, "ab")
			So(err, ShouldBeNil)
			So(client.Close(), ShouldBeNil)
			data, err := io.ReadAll(server)
			So(err, ShouldBeNil)
			So(string(data), ShouldEqual, "ab")
		}},
		{"what was sent before a reset arrives, and then an error", func(client, server net.Conn) {
			_, err := io.WriteString(client, "ab")
			So(err, ShouldBeNil)
			So(client.(interface{ SetLinger(int) error }).SetLinger(0), ShouldBeNil)
			So(client.Close(), ShouldBeNil)
			data, err := io.ReadAll(server)
			So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
			So(string(data), ShouldEqual, "ab")
		}},
		{"sending more than the buffer waits for the reader", func(client, server net.Conn) {
			go func() {
				time.Sleep(time.Second)
				_, _ = io.CopyN(io.Discard, server, 1)
			}()
			start := time.Now()
			n, err := io.WriteString(client, strings.Repeat("a", bufferBytes))
			So(n, ShouldEqual, bufferBytes)
			So(err, ShouldBeNil)
			So(time.Since(start), ShouldEqual, 0)
			_, err = io.WriteString(client, "a")
			So(err, ShouldBeNil)
			So(time.Since(start), ShouldEqual, time.Second)
		}},
		{"sending to a closed end fails, also if it has waited", func(client, server net.Conn) {
			time.AfterFunc(time.Second, func() { _ = server.Close() })
			n, err := io.WriteString(client, strings.Repeat("a", 2*bufferBytes))
			So(n, ShouldEqual, bufferBytes)
			So(errors.Is(err, syscall.EPIPE), ShouldBeTrue)
			_, err = io.WriteString(client, "a")
			So(errors.Is(err, syscall.EPIPE), ShouldBeTrue)
		}},
		{"a closed end fails, also if it has waited", func(client, _ net.Conn) {
			time.AfterFunc(time.Second, func() { _ = client.Close() })
			_, err := client.Read(make([]byte, 1))
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
			_, err = io.WriteString(client, "a")
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		}},
		{"deadlines end operations that wait, and can be lifted", func(client, server net.Conn) {
			start := time.Now()
			So(client.SetDeadline(start.Add(time.Second)), ShouldBeNil)
			_, err := client.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(time.Since(start), ShouldEqual, time.Second)
			_, err = io.WriteString(client, "a")
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
			So(client.SetDeadline(time.Time{}), ShouldBeNil)
			_, err = io.WriteString(client, "a")
			So(err, ShouldBeNil)
			So(server.SetReadDeadline(time.Now().Add(-time.Second)), ShouldBeNil)
			_, err = server.Read(make([]byte, 1))
			So(errors.Is(err, os.ErrDeadlineExceeded), ShouldBeTrue)
		}},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				client, server := connect()
				Reset(func() {
					_ = client.Close()
					_ = server.Close()
				})
				c.check(client, server)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		Convey("dialing an address without a listener is refused, and one that nobody accepts waits", t, func() {
			n := new(Network)
			l := n.Listen()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := n.DialContext(ctx, "tcp", l.Addr().String())
			So(errors.Is(err, context.DeadlineExceeded), ShouldBeTrue)
			So(l.Close(), ShouldBeNil)
			_, err = n.DialContext(context.Background(), "tcp", l.Addr().String())
			So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeTrue)
			_, err = l.Accept()
			So(errors.Is(err, net.ErrClosed), ShouldBeTrue)
		})
	})
}
