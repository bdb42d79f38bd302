package gateway

import (
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestContentID(t *testing.T) {
	Convey("requests have the same content ID only if method, host, path, query, customer and body are the same", t, func() {
		request := func(method, host, uri string) *http.Request {
			return &http.Request{Method: method, Host: host, RequestURI: uri}
		}
		id := contentID(request("POST", "a.example", "/x?q=1"), "customer", []byte("body"))
		So(contentID(request("POST", "a.example", "/x?q=1"), "customer", []byte("body")), ShouldEqual, id)
		for _, other := range []string{
			contentID(request("GET", "a.example", "/x?q=1"), "customer", []byte("body")),
			contentID(request("POST", "b.example", "/x?q=1"), "customer", []byte("body")),
			contentID(request("POST", "a.example", "/x?q=2"), "customer", []byte("body")),
			contentID(request("POST", "a.example", "/x?q=1"), "other", []byte("body")),
			contentID(request("POST", "a.example", "/x?q=1"), "customer", []byte("bodies")),
			contentID(request("POST", "a.example", "/x?q=1"), "customerb", []byte("ody")),
		} {
			So(other, ShouldNotEqual, id)
		}
	})
}
