// Package rawhttp sends HTTP responses byte by byte, for tests that break them off.
package rawhttp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Framing is a way to send a response with the status 200.
type Framing struct {
	Name string
	// Unframed is set if the response has neither a length nor chunks and ends with its connection.
	Unframed bool
	// HeadOnly is set if the framing differs from another one only in the lines of the head.
	HeadOnly bool
	chunked  bool
	// before and after are lines of the head before the status line and after the fields, trailer those of the trailer.
	before, after, trailer string
	lengthFirst            bool
	bareLineFeeds          bool
}

// Framings returns all framings.
func Framings() []Framing {
	return []Framing{
		{Name: "with a length"},
		{Name: "with a length first", lengthFirst: true, HeadOnly: true},
		{Name: "with a length and a folded line", after: "X-Folded: a\r\n b\r\n", HeadOnly: true},
		{Name: "with a length and bare line feeds", bareLineFeeds: true, HeadOnly: true},
		{Name: "in chunks", chunked: true},
		{Name: "in chunks with a trailer", chunked: true, after: "Trailer: X-Check\r\n", trailer: "X-Check: 12\r\n"},
		{Name: "in chunks with a trailer that is not announced", chunked: true, trailer: "X-Request-Id: other\r\n"},
		{Name: "after informational responses", before: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"},
		{Name: "without a length", Unframed: true},
	}
}

// Response is a response as it is on the wire.
type Response struct {
	Raw string
	// Head is the length of the head, with the empty line.
	Head int
	// begin and end are where the body is, without what belongs to its chunks.
	begin, end int
}

// Response returns a response with header lines, each with its end, and a body.
func (f Framing) Response(fields, body string) Response {
	length, chunk, last := fmt.Sprintf("Content-Length: %d\r\n", len(body)), "", ""
	switch {
	case f.Unframed:
		length = ""
	case f.chunked && body == "":
		length, last = "Transfer-Encoding: chunked\r\n", "0\r\n"+f.trailer+"\r\n"
	case f.chunked:
		length, chunk, last = "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n", len(body)), "\r\n0\r\n"+f.trailer+"\r\n"
	}
	lines := fields + f.after + length
	if f.lengthFirst {
		lines = length + fields + f.after
	}
	head := f.before + "HTTP/1.1 200 OK\r\n" + lines + "\r\n"
	if f.bareLineFeeds {
		head = strings.ReplaceAll(head, "\r", "")
	}
	begin := len(head) + len(chunk)
	return Response{Raw: head + chunk + body + last, Head: len(head), begin: begin, end: begin + len(body)}
}

// Body returns what a client that gets the first bytes of the response has of its body.
func (r Response) Body(cut int) string { return r.Raw[r.begin:max(r.begin, min(cut, r.end))] }

// bodyCutInterval is the distance in bytes between two cuts within a line of a body.
const bodyCutInterval = 7

// Cuts returns the lengths to cut the response to: all within its head and after its body, some within its body, and its whole length.
func (r Response) Cuts() (cuts []int) {
	for cut := range len(r.Raw) + 1 {
		if cut > r.begin && cut < r.end && cut%bodyCutInterval != 0 && r.Raw[cut-1] != '\n' {
			continue
		}
		cuts = append(cuts, cut)
	}
	return cuts
}

// Endings maps the ways in which a connection can end to whether it is reset.
func Endings() map[string]bool { return map[string]bool{"closes": false, "resets": true} }

// WriteAndEnd writes bytes to the connection of a request, and then closes or resets it.
func WriteAndEnd(w http.ResponseWriter, raw string, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, raw)
	if reset {
		// Without a linger time, closing resets the connection.
		_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
	}
	_ = conn.Close()
}
