package objectstore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
	"pumiceshelf/objectstore"
)

// Guards against a malformed response of the object API that counts as an object, a listing, or as the result of a write.
func TestMalformedStoreResponses(t *testing.T) {
	synctest.Test(t, testMalformedStoreResponses)
}

func testMalformedStoreResponses(t *testing.T) {
	const fields, body = "ETag: \"12\"\r\n", `{"objects":[{"key":"a/b","version":12,"value":"YWE="}]}`
	responses := rawhttp.MalformedStatuses(fields, body)
	maps.Copy(responses, rawhttp.MalformedFields(fields, body))
	maps.Copy(responses, rawhttp.MalformedTrailers(fields, body))
	for name, raw := range responses {
		Convey(fmt.Sprintf("a response %s is an outage: %q", name, raw), t, func() {
			ctx, network := context.Background(), new(memorynet.Network)
			server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, raw, false) }))
			Reset(server.Close)
			s := objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
				URL: server.URL, Name: "muscat-1", CallTimeout: 5 * time.Second, WatchTimeout: 20 * time.Second,
				Client: &http.Client{Transport: &http.Transport{DialContext: network.DialContext}},
			})
			_, err := s.Get(ctx, "a/b")
			So(objectstore.IsOutage(err), ShouldBeTrue)
			_, err = s.List(ctx, "a/", "", 10)
			So(objectstore.IsOutage(err), ShouldBeTrue)
			_, err = s.Put(ctx, "a/b", []byte("value"), 11)
			So(errors.Is(err, objectstore.ErrAmbiguous), ShouldBeTrue)
			So(errors.Is(s.Delete(ctx, "a/b", 11), objectstore.ErrAmbiguous), ShouldBeTrue)
		})
	}
}
