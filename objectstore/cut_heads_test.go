package objectstore_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/internal/memorynet"
	"pumiceshelf/internal/rawhttp"
	"pumiceshelf/objectstore"
)

// Guards against a response of the object API that breaks off and counts as a shorter or empty listing, as another object, or as a write that
// took no effect.
func TestStoreResponsesCutAnywhere(t *testing.T) {
	synctest.Test(t, testStoreResponsesCutAnywhere)
}

func testStoreResponsesCutAnywhere(t *testing.T) {
	ctx := context.Background()
	const value = "twelve bytes"
	for name, c := range map[string]struct {
		body string
		// send makes the call and returns its error, and whether its result is that of the whole response.
		send func(s *objectstore.HTTPStore) (bool, error)
		// headOnly is set if the head alone tells the result, ambiguous if the call may have taken effect without it.
		headOnly, ambiguous bool
		// unsafe is set if the end of the body does not show that it is whole.
		unsafe bool
	}{
		"object": {body: value, unsafe: true, send: func(s *objectstore.HTTPStore) (bool, error) {
			o, err := s.Get(ctx, "a/b")
			return string(o.Value) == value && o.Version == 12, err
		}},
		"watch": {body: value, unsafe: true, send: func(s *objectstore.HTTPStore) (bool, error) {
			o, err := s.Watch(ctx, "a/b", 4)
			return string(o.Value) == value && o.Version == 12, err
		}},
		"list": {body: `{"objects":[{"key":"a/b","version":12,"value":"YWE="}]}`, send: func(s *objectstore.HTTPStore) (bool, error) {
			l, err := s.List(ctx, "a/", "", 10)
			return len(l) == 1 && l[0].Version == 12 && string(l[0].Value) == "aa", err
		}},
		"instances": {body: `{"instances":[{"name":"muscat-1"}]}`, send: func(s *objectstore.HTTPStore) (bool, error) {
			l, err := s.Instances(ctx)
			return len(l.GetInstances()) == 1, err
		}},
		"write": {headOnly: true, ambiguous: true, send: func(s *objectstore.HTTPStore) (bool, error) {
			v, err := s.Put(ctx, "a/b", []byte(value), 11)
			return v == 12, err
		}},
		"deletion": {headOnly: true, ambiguous: true, send: func(s *objectstore.HTTPStore) (bool, error) {
			return true, s.Delete(ctx, "a/b", 11)
		}},
	} {
		for _, f := range rawhttp.Framings() {
			for ending, reset := range rawhttp.Endings() {
				Convey(fmt.Sprintf("a response with a %s %s that the store %s at any byte is whole or an error", name, f.Name, ending), t, func() {
					r := f.Response("ETag: \"12\"\r\n", c.body)
					for _, cut := range r.Cuts() {
						network := new(memorynet.Network)
						server := network.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { rawhttp.WriteAndEnd(w, r.Raw[:cut], reset) }))
						transport := &http.Transport{DialContext: network.DialContext}
						whole, err := c.send(objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
							URL: server.URL, Name: "muscat-1", Client: &http.Client{Transport: transport}, CallTimeout: 5 * time.Second, WatchTimeout: 20 * time.Second,
						}))
						transport.CloseIdleConnections()
						server.Close()
						complete := cut == len(r.Raw) && (!f.Unframed || !reset && !c.unsafe)
						if c.headOnly && f.Unframed && !reset {
							complete = cut >= r.Head
						}
						SoMsg(strconv.Quote(r.Raw[:cut]), err == nil, ShouldEqual, complete)
						if err == nil {
							SoMsg(strconv.Quote(r.Raw[:cut]), whole, ShouldBeTrue)
							continue
						}
						SoMsg(strconv.Quote(r.Raw[:cut]), objectstore.IsOutage(err), ShouldBeTrue)
						SoMsg(strconv.Quote(r.Raw[:cut]), errors.Is(err, objectstore.ErrAmbiguous), ShouldEqual, c.ambiguous)
					}
				})
			}
		}
	}
}
