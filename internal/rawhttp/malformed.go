package rawhttp

import "fmt"

// MalformedStatuses returns responses with statuses that are not those of a response, by status. Fields are header lines, each with its end.
func MalformedStatuses(fields, body string) map[string]string {
	out := make(map[string]string)
	for _, status := range []string{"000", "001", "020", "099", "+20", "+99", "-20", "101", "", "2", "20", "2000", "2x0", "0x2", "OK"} {
		out["with the status "+status] = fmt.Sprintf("HTTP/1.1 %s OK\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
	}
	return out
}
