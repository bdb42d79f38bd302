package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// naive answers a request as the simplest router would: it sends the body to an engine and returns what comes back.
func naive(r *rig, engine, id string, body []byte) (string, error) {
	req, err := http.NewRequest("POST", engine+chatPath, strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	req.Header.Set(headerRequestID, id)
	res, err := r.caller.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// events returns the data of a stream's events, or the one whole answer, decoded.
func events(text string) []any {
	var out []any
	for line := range strings.SplitSeq(text, "\n") {
		var v any
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &v) == nil {
			if _, number := v.(float64); !number {
				out = append(out, v)
			}
		}
	}
	return out
}

// TestNaive compares answers with those of the naive router while all is well.
func TestNaive(t *testing.T) {
	r := newRig()
	defer r.close()
	engine := r.admit.source.snapshot.Endpoint("engine-1").URL
	count := 0
	rapid.Check(t, func(rt *rapid.T) {
		count++
		body := map[string]any{
			"model":      rapid.SampledFrom([]string{"price", "dose"}).Draw(rt, "model"),
			"max_tokens": rapid.IntRange(1, 5).Draw(rt, "cap"),
			"messages":   []any{map[string]any{"role": "user", "content": fmt.Sprint(count, rapid.String().Draw(rt, "text"))}},
		}
		stream := rapid.Bool().Draw(rt, "stream")
		if stream {
			body["stream"], body["stream_options"] = true, map[string]any{"include_usage": true}
		}
		text, _ := json.Marshal(body)
		a := attempt{raw: string(text)}
		if rapid.Bool().Draw(rt, "keyed") {
			a.key = fmt.Sprint("key-", count)
		}
		a.send(r)
		if a.got.err != nil || a.got.status != http.StatusOK {
			rt.Fatalf("refused: %+v", a.got)
		}
		want, err := naive(r, engine, a.got.header.Get(headerRequestID), text)
		if err != nil {
			rt.Fatal(err)
		}
		got, plain := fmt.Sprint(events(a.got.body)), fmt.Sprint(events(want))
		if got != plain || strings.HasSuffix(a.got.body, "[DONE]\n\n") != stream {
			rt.Fatalf("got %s\nwant %s", got, plain)
		}
	})
}
