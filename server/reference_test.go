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

// sendDirect is the reference model of the router: it sends the body to an engine and returns the response unchanged.
func sendDirect(r *harness, engine, id string, body []byte) (string, error) {
	req, err := http.NewRequest("POST", engine+chatPath, strings.NewReader(string(body)))
	if err != nil {
		return "", err
	}
	req.Header.Set(headerRequestID, id)
	res, err := r.callerTransport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// decodeEvents returns the decoded data of a stream's events, or the decoded body of a response that is not a stream.
func decodeEvents(text string) []any {
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

// TestMatchesReferenceModel compares responses with those of the reference model when there are no faults.
func TestMatchesReferenceModel(t *testing.T) {
	r := newHarness()
	defer r.close()
	engine := r.admitter.source.snapshot.Endpoint("engine-1").URL
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
		a := callerRequest{rawBody: string(text)}
		if rapid.Bool().Draw(rt, "keyed") {
			a.key = fmt.Sprint("key-", count)
		}
		a.send(r)
		if a.response.err != nil || a.response.status != http.StatusOK {
			rt.Fatalf("refused: %+v", a.response)
		}
		direct, err := sendDirect(r, engine, a.response.header.Get(headerRequestID), text)
		if err != nil {
			rt.Fatal(err)
		}
		actual, expected := fmt.Sprint(decodeEvents(a.response.body)), fmt.Sprint(decodeEvents(direct))
		if actual != expected || strings.HasSuffix(a.response.body, "[DONE]\n\n") != stream {
			rt.Fatalf("got %s\nwant %s", actual, expected)
		}
	})
}
