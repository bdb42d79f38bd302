package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/endpoint"
)

// respondRaw makes all endpoints of the harness respond with fixed bytes and then close or, if reset is set, reset the
// connection. The response has the ID of the request.
func (r *harness) respondRaw(statusLine, rest string, reset bool) {
	raw := r.startHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, statusLine+"\r\n"+headerRequestID+": "+req.Header.Get(headerRequestID)+"\r\n"+rest)
		if reset {
			// Without a linger time, closing resets the connection.
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}))
	client := endpoint.New(endpoint.Config{
		ProgressTimeout: time.Minute, Log: discardLogger(),
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, network, raw.Listener.Addr().String())
		},
	})
	r.server.cfg.Endpoints = client
	r.cleanups = append(r.cleanups, client.Close)
}

func TestUnframedResponses(t *testing.T) {
	Convey("Given a server whose endpoints end their responses with the connection", t, func() {
		r := newHarness()
		Reset(r.close)
		Convey("a sound response of a plain service is delivered", func() {
			r.respondRaw("HTTP/1.1 200 OK", "\r\nthe body", false)
			got := r.send("POST", "/plans/7", "x")
			So([]any{got.status, got.body, got.err}, ShouldResemble, []any{200, "the body", nil})
		})
		Convey("a response of a plain service that is reset does not look complete", func() {
			r.respondRaw("HTTP/1.1 200 OK", "\r\nthe body", true)
			So(decodeProblem(r.send("POST", "/plans/7", "x")).Outcome, ShouldEqual, outcomeUnknown)
		})
		Convey("a stream that breaks off within an event does not look complete", func() {
			r.respondRaw("HTTP/1.1 200 OK", "\r\nid: 0\ndata: {\"request", false)
			So(decodeProblem(r.sendChat("dose", true)).Outcome, ShouldEqual, outcomeUnknown)
		})
		for _, c := range []struct {
			method, status, header string
			want                   int
		}{
			{"HEAD", "200 OK", "", 200}, {"HEAD", "200 OK", "Content-Length: 5\r\n", 200},
			{"POST", "204 No Content", "", 204}, {"GET", "304 Not Modified", "", 304},
		} {
			Convey("a response without a body is delivered: "+c.method+" "+c.status+" "+c.header, func() {
				r.respondRaw("HTTP/1.1 "+c.status, c.header+"\r\n", false)
				got := r.send(c.method, "/plans/7", "")
				So([]any{got.status, got.body, got.err}, ShouldResemble, []any{c.want, "", nil})
				So(got.header.Get("Content-Length"), ShouldNotEqual, "0")
			})
		}
		for what, raw := range map[string]string{
			"a status below 100":                          "HTTP/1.1 000 OK",
			"a blank before the colon of the length":      "HTTP/1.1 200 OK\r\nContent-Length : 2",
			"a control byte in the name of a field":       "HTTP/1.1 200 OK\r\nX\x01Foo: 1",
			"a blank in the name of the first field":      "HTTP/1.1 200 OK\r\nX Foo: 1",
			"an informational response with such a blank": "HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\nHTTP/1.1 200 OK",
		} {
			Convey("a response with "+what+" is no response", func() {
				r.respondRaw(raw, "\r\nthe body", false)
				So(decodeProblem(r.send("POST", "/plans/7", "x")).Outcome, ShouldEqual, outcomeUnknown)
			})
		}
		Convey("a response that switches protocols is no response", func() {
			r.respondRaw("HTTP/1.1 101 Switching Protocols", "Connection: upgrade\r\nUpgrade: x\r\n\r\nbytes", false)
			So(decodeProblem(r.send("POST", "/plans/7", "x")).Outcome, ShouldEqual, outcomeUnknown)
		})
	})
}
