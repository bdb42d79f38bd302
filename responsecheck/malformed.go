package responsecheck

import (
	"errors"
	"fmt"
	"net/http"
	"net/textproto"
	"strings"
)

// ErrMalformed is returned for a response whose head or trailer violates HTTP. Nothing that it says counts.
var ErrMalformed = errors.New("responsecheck: malformed response")

// maxErrorBytes bounds the text of an error. Those of net/http may quote a whole line of a response.
const maxErrorBytes = 256

// checkHead returns ErrMalformed for the head of a final response that net/http accepts although it is not valid.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusOK {
		// No request asks for another protocol, so 101 is not valid either.
		return fmt.Errorf("%w: its status is %03d", ErrMalformed, r.StatusCode)
	}
	return checkNames("header", r.Header)
}

// checkNames returns ErrMalformed if a name of a field is not a token. net/http accepts blanks in names, which other recipients may drop and
// then see another field. Part says where the fields are.
func checkNames(part string, fields map[string][]string) error {
	invalid, at := "", -1
	for name, values := range fields {
		// Names that only the field Trailer announces have no values.
		if i := strings.IndexFunc(name, isNotTokenCharacter); i >= 0 && len(values) > 0 && (at < 0 || name < invalid) {
			invalid, at = name, i
		}
	}
	if at < 0 {
		return nil
	}
	return fmt.Errorf("%w: name of the %s field %.64q has the byte 0x%02x at index %d", ErrMalformed, part, invalid, invalid[at], at)
}

// isNotTokenCharacter reports whether a character must not be in the name of a field. See RFC 9110, section 5.6.2.
func isNotTokenCharacter(c rune) bool {
	isAlphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
	return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// boundedError is an error with a shorter text.
type boundedError struct{ error }

// Error implements error.
func (e boundedError) Error() string {
	return strings.ToValidUTF8(e.error.Error()[:maxErrorBytes], "") + "..."
}

// Unwrap returns the error with its whole text.
func (e boundedError) Unwrap() error { return e.error }

// readError returns an error of net/http with a bounded text, and as ErrMalformed if it is about a field.
func readError(err error) error {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		err = fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if err == nil || len(err.Error()) <= maxErrorBytes {
		return err
	}
	return boundedError{err}
}
