package logsink_test

import (
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/logsink"
)

// Guards against endpoints that fill standard error, which has no rate limit: net/http prints bytes there that follow a response.
func TestBytesAfterAResponseAreLoggedWithinABound(t *testing.T) {
	Convey("Given an endpoint that sends bytes after its response", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"+strings.Repeat("x", 4096))
		}()
		entries := make(chan *log.Entry, 16)
		out, flags := stdlog.Writer(), stdlog.Flags()
		defer func() {
			stdlog.SetOutput(out)
			stdlog.SetFlags(flags)
		}()
		logsink.CaptureStandard(&log.Logger{Level: log.WarnLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
			entries <- e
			return nil
		})})
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		resp, err := (&http.Client{Transport: transport}).Get("http://" + listener.Addr().String())
		So(err, ShouldBeNil)
		_, err = io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		select {
		case e := <-entries:
			So(e.Level, ShouldEqual, log.WarnLevel)
			So(e.Fields["text"], ShouldContainSubstring, "Unsolicited response")
			So(len(e.Fields["text"].(string)), ShouldBeLessThanOrEqualTo, 256)
		case <-time.After(10 * time.Second):
			So("no log line within 10 s", ShouldBeEmpty)
		}
	})
}
