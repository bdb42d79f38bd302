package rawhttp

import (
	"fmt"
	"strings"
)

// MalformedStatuses returns responses with statuses that are not those of a response, by status. Fields are header lines, each with its end.
func MalformedStatuses(fields, body string) map[string]string {
	out := make(map[string]string)
	for _, status := range []string{"000", "001", "020", "099", "+20", "+99", "-20", "101", "", "2", "20", "2000", "2x0", "0x2", "OK"} {
		out["with the status "+status] = fmt.Sprintf("HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	}
	return out
}

// MalformedFields returns responses with the status 200 whose head has a field with an invalid name, by what is wrong.
func MalformedFields(fields, body string) map[string]string {
	const begin = "HTTP/1.1 200 OK\r\n"
	length, chunk := fmt.Sprintf("Content-Length: %d\r\n", len(body)), fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	out := map[string]string{
		"with a blank before the colon of the length":                begin + fields + strings.Replace(length, ":", " :", 1) + "\r\n" + body,
		"with a blank before the colon of the length, in the middle": begin + strings.Replace(length, ":", " :", 1) + fields + "\r\n" + body,
		"with a blank before the colon of the encoding":              begin + fields + "Transfer-Encoding : chunked\r\n\r\n" + chunk,
		"with a length, and a blank before the colon of the encoding": begin + fields + fmt.Sprintf("Transfer-Encoding : chunked\r\nContent-Length: %d\r\n\r\n",
			len(chunk)) + chunk,
		"after an informational response with a blank in a name": "HTTP/1.1 103 Early Hints\r\nX Foo: 1\r\n\r\n" + begin + fields + length + "\r\n" + body,
	}
	for _, name := range []string{"X Foo", "X-Foo ", " X-Foo", "X\tFoo", "X-Foo\t", "X\x00Foo", "X\x01Foo", "X\x1fFoo", "X\x7fFoo", "X\rFoo", "X\u00e9", "X/Foo", ""} {
		if !strings.HasPrefix(name, " ") {
			// After another field, a line that begins with a blank continues it.
			out[fmt.Sprintf("with the name %q", name)] = begin + fields + name + ": 1\r\n" + length + "\r\n" + body
		}
		out[fmt.Sprintf("with the name %q first", name)] = begin + name + ": 1\r\n" + fields + length + "\r\n" + body
	}
	return out
}

// MalformedTrailers returns responses with the status 200 whose trailer has a field with an invalid name, by that name.
func MalformedTrailers(fields, body string) map[string]string {
	out := make(map[string]string)
	for _, name := range []string{"X Foo", "X-Foo ", "X\x01Foo"} {
		out[fmt.Sprintf("with the name %q in its trailer", name)] = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s: 1\r\n\r\n",
			fields, len(body), body, name)
	}
	return out
}
