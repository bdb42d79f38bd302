package responsecheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
)

// exchangeRaw sends a request to a server that responds with raw bytes, and returns the response with its body.
func exchangeRaw(raw string) (*http.Response, string, error) {
	network := new(memorynet.Network)
	server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, false) }))
	defer server.Close()
	transport := NewTransport(&http.Transport{DialContext: network.DialContext})
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader("b"))
	if err != nil {
		panic(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// Guards against any byte in a name of a field that other recipients may read in another way.
func TestNamesOfFields(t *testing.T) { synctest.Test(t, testNamesOfFields) }

func testNamesOfFields(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	const begin, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 4\r\n\r\nbody"
	for where, format := range map[string]string{
		"header":               begin + "%s: 1\r\n" + end,
		"informational header": "HTTP/1.1 103 Early Hints\r\n%s: 1\r\n\r\n" + begin + end,
		"trailer":              begin + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s: 1\r\n\r\n",
	} {
		Convey("a name of a field in the "+where+" is a token", t, func() {
			for c := range 256 {
				if c == '\n' || c == ':' {
					// These end the line and the name.
					continue
				}
				name := "X" + string([]byte{byte(c)}) + "Foo"
				resp, body, err := exchangeRaw(fmt.Sprintf(format, name))
				SoMsg(fmt.Sprintf("%q", name), err == nil, ShouldEqual, strings.IndexByte(token, byte(c)) >= 0)
				if err == nil {
					So(body, ShouldEqual, "body")
					So(resp.StatusCode, ShouldEqual, 200)
					continue
				}
				SoMsg(fmt.Sprintf("%q", name), errors.Is(err, ErrMalformed), ShouldBeTrue)
			}
			_, _, err := exchangeRaw(fmt.Sprintf(format, "X-Foo "))
			So(err.Error(), ShouldEndWith, fmt.Sprintf(`responsecheck: malformed response: name of the %s field "X-Foo " has the byte 0x20 at index 5`, where))
		})
	}
	Convey("errors have a bounded text", t, func() {
		for _, fill := range []string{" ", "\x01"} {
			_, _, err := exchangeRaw(begin + "X" + fill + strings.Repeat("x", 10_000) + ": 1\r\n" + end)
			So(errors.Is(err, ErrMalformed), ShouldBeTrue)
			So(err.Error(), ShouldContainSubstring, "xxx")
			So(len(err.Error()), ShouldBeLessThan, 300)
		}
	})
	Convey("fields that the rule must not touch pass", t, func() {
		resp, body, err := exchangeRaw(begin + "x-foo:1\r\nX-Folded: a\r\n b: c\r\nX-Empty:\r\nTrailer: X Foo\r\n" + end)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "body")
		So(resp.Header.Get("X-Folded"), ShouldEqual, "a b: c")
	})
	Convey("informational responses are bounded", t, func() {
		const hint = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
		_, body, err := exchangeRaw(strings.Repeat(hint, 1000) + begin + end)
		So(err, ShouldBeNil)
		So(body, ShouldEqual, "body")
		_, _, err = exchangeRaw(strings.Repeat(hint, 10_000) + begin + end)
		So(errors.Is(err, ErrMalformed), ShouldBeTrue)
	})
}

// Guards against a request that is sent on the connection of a malformed response, on which other bytes may follow.
func TestConnectionOfMalformedResponse(t *testing.T) {
	synctest.Test(t, testConnectionOfMalformedResponse)
}

func testConnectionOfMalformedResponse(t *testing.T) {
	Convey("the connection of a malformed response serves no other request", t, func() {
		network := new(memorynet.Network)
		addresses := make(map[string]bool)
		server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			addresses[r.RemoteAddr] = true
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				panic(err)
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}))
		defer server.Close()
		transport := NewTransport(&http.Transport{DialContext: network.DialContext})
		defer transport.CloseIdleConnections()
		for range 3 {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
			So(err, ShouldBeNil)
			_, err = transport.RoundTrip(req)
			cancel()
			So(errors.Is(err, ErrMalformed), ShouldBeTrue)
			synctest.Wait()
		}
		So(addresses, ShouldHaveLength, 3)
	})
}
