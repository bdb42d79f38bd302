package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one client attempt.
type call struct {
	id, method, host, path, key, tokens, prefix string
	body                                        string
	header                                      map[string]string
	timeout                                     time.Duration
}

// answer is what a client attempt got.
type answer struct {
	status int
	header http.Header
	body   string
	// complete is set if the whole answer came.
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d complete %t reason %q after %d ms err %v", a.status, a.complete, a.reason(), a.took.Milliseconds(), a.err)
}

// reason is the reason of a refusal of an instance.
func (a answer) reason() string {
	_, rest, ok := strings.Cut(a.body, `"title":"`)
	if !ok || a.header.Get("X-Server-Stamp") != "" {
		return ""
	}
	title, _, _ := strings.Cut(rest, `"`)
	return title
}

// send sends a request on a new channel.
func (c call) send(in *instance) answer {
	began := time.Now()
	a := c.exchange(in.front)
	a.took = time.Since(began)
	return a
}

func (c call) exchange(address string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	if _, err := io.WriteString(conn, c.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), c.method)
}

// text is the request as it is sent.
func (c call) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.timeout.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", c.key)
	}
	if c.tokens != "" {
		fmt.Fprintf(&b, "X-Model: m\r\nX-Token-Counts: %s\r\nX-Prefix-Hash: %s\r\n", c.tokens, c.prefix)
	}
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	b.WriteString(c.body)
	return b.String()
}

func readAnswer(in *bufio.Reader, method string) answer {
	resp, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), complete: err == nil, err: err}
}
