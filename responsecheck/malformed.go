package responsecheck

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed is returned for a response whose head violates HTTP. Nothing that it says counts.
var ErrMalformed = errors.New("responsecheck: malformed response")

// checkHead returns ErrMalformed for the head of a final response that net/http accepts although it is not valid.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK {
		// No request asks for another protocol, so 101 is not valid either.
		return fmt.Errorf("%w: its status is %03d", ErrMalformed, r.StatusCode)
	}
	return nil
}
