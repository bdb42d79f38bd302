package responsecheck

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// newConns returns both ends of a connection over loopback.
func newConns() (*Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		panic(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		panic(err)
	}
	return &Conn{Conn: dialed}, accepted.(*net.TCPConn)
}

// writeUntilFailure writes until a write fails, and returns its error.
func writeUntilFailure(conn net.Conn) error {
	for {
		if _, err := conn.Write(make([]byte, 32<<10)); err != nil {
			return err
		}
	}
}

func TestConn(t *testing.T) {
	Convey("Given a connection with a server that has sent a part of a response", t, func() {
		conn, server := newConns()
		Reset(func() {
			_ = conn.Close()
			_ = server.Close()
		})
		_, err := io.WriteString(server, "a part")
		So(err, ShouldBeNil)
		Convey("reads fail after a write got the reset of the connection", func() {
			So(server.SetLinger(0), ShouldBeNil)
			So(server.Close(), ShouldBeNil)
			So(writeUntilFailure(conn), ShouldNotBeNil)
			_, err := io.ReadAll(conn)
			So(errors.Is(err, ErrIncomplete), ShouldBeTrue)
		})
		Convey("reads fail if the server closes while a write waits, which ends, and is no timeout", func() {
			written := make(chan error, 1)
			go func() { written <- writeUntilFailure(conn) }()
			// The buffers are full after that time, or else the write ends at its next call.
			time.Sleep(20 * time.Millisecond)
			So(server.CloseWrite(), ShouldBeNil)
			_, err := io.ReadAll(conn)
			err = errors.Join(err, <-written)
			So(errors.Is(err, errServerClosed), ShouldBeTrue)
			var timeout net.Error
			So(errors.As(err, &timeout) && timeout.Timeout(), ShouldBeFalse)
		})
		Convey("reads end in order if the server closes in order", func() {
			_, err := io.WriteString(conn, "a request")
			So(err, ShouldBeNil)
			_, err = io.ReadFull(server, make([]byte, len("a request")))
			So(err, ShouldBeNil)
			So(server.Close(), ShouldBeNil)
			body, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "a part")
		})
	})
}
