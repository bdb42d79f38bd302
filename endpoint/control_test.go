package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestControlReadError(t *testing.T) {
	Convey("a control call whose response is truncated returns the error of reading it", t, func() {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "99")
			_, _ = w.Write([]byte(`{"capacity":3`))
		}))
		client := New(Config{Log: discardLogger()})
		Reset(func() { client.Close(); s.Close() })
		_, err := client.Load(context.Background(), s.URL, true)
		So(errors.Is(err, io.ErrUnexpectedEOF), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, string(ReasonTruncated))
	})
}
