package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// member is one member of a JSON object and its position in the text.
type member struct {
	name  string
	value json.RawMessage
	// start and end are the offsets of the value in the text.
	start, end int
}

var (
	errNotObject    = errors.New("must be an object")
	errTrailingData = errors.New("has data after its end")
)

// parseObject returns the members of the JSON object in text. Names are case-sensitive and must be unique: if the
// engine's parser used another of two members with the same name, the bound of the charge would be wrong.
func parseObject(text []byte) ([]member, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	first, err := dec.Token()
	if err != nil {
		return nil, describeSyntaxError(err)
	}
	if first != json.Delim('{') {
		return nil, errNotObject
	}
	var out []member
	for dec.More() {
		f, err := readMember(dec)
		if err != nil {
			return nil, err
		}
		for _, earlier := range out {
			if earlier.name == f.name {
				return nil, fmt.Errorf("has field %q twice", f.name)
			}
		}
		out = append(out, f)
	}
	if _, err := dec.Token(); err != nil {
		return nil, describeSyntaxError(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errTrailingData
	}
	return out, nil
}

func readMember(dec *json.Decoder) (member, error) {
	name, err := dec.Token()
	if err != nil {
		return member{}, describeSyntaxError(err)
	}
	var f member
	f.name, _ = name.(string)
	if err := dec.Decode(&f.value); err != nil {
		return member{}, describeSyntaxError(err)
	}
	f.end = int(dec.InputOffset())
	f.start = f.end - len(f.value)
	return f, nil
}

// describeSyntaxError turns an error of the decoder into a detail for callers.
func describeSyntaxError(err error) error {
	var s *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("is not JSON: it ends too early")
	case errors.As(err, &s):
		return fmt.Errorf("is not JSON: %s at byte %d", s.Error(), s.Offset)
	}
	return fmt.Errorf("is not JSON: %w", err)
}

// jsonType returns the type of a JSON value, determined by its first byte.
func jsonType(v json.RawMessage) string {
	if len(v) == 0 {
		return "nothing"
	}
	switch v[0] {
	case '{':
		return "object"
	case '[':
		return "array"
	case '"':
		return "string"
	case 't', 'f':
		return "boolean"
	case 'n':
		return "null"
	}
	return "number"
}
