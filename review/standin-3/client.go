package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// reply is what a client got for one attempt.
type reply struct {
	id     string
	status int
	err    error
	events int
	body   []byte
	header http.Header
	took   time.Duration
}

// request is what a client sends in one attempt.
type request struct {
	to, method, host, path, key string
	tokens                      string
	prefix                      string
	lastEvent                   string
	resumes                     string
	body                        []byte
	deadline                    time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

var clientTransport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends one attempt on a new channel and reads the whole answer.
func (q request) send() reply {
	id := newID()
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.to+q.path, bytes.NewReader(q.body))
	if err != nil {
		return reply{id: id, err: err}
	}
	r.Host = q.host
	for name, value := range map[string]string{
		"X-Request-Id": id, "Api-Key": q.key, "X-Token-Counts": q.tokens, "X-Prefix-Hash": q.prefix, "Last-Event-Id": q.lastEvent, "Resumes": q.resumes,
		"X-Deadline-Ms": fmt.Sprint(q.deadline.Milliseconds()),
	} {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	if q.tokens != "" {
		r.Header.Set("X-Model", "m")
	}
	resp, err := clientTransport.RoundTrip(r)
	if err != nil {
		return reply{id: id, err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	out := reply{id: id, status: resp.StatusCode, header: resp.Header}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		out.events, out.err = countEvents(resp.Body)
	} else {
		out.body, out.err = io.ReadAll(resp.Body)
	}
	out.took = time.Since(begun)
	return out
}

// countEvents returns the number of whole events.
func countEvents(r io.Reader) (n int, err error) {
	in, data := bufio.NewReader(r), false
	for {
		line, err := in.ReadString('\n')
		switch {
		case err == io.EOF:
			return n, nil
		case err != nil:
			return n, err
		case line == "\n" && data:
			n, data = n+1, false
		case strings.HasPrefix(line, "data:"):
			data = true
		}
	}
}
