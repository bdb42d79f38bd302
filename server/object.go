package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// field is one member of a JSON object and its place in the text.
type field struct {
	name  string
	value json.RawMessage
	// start and end of the value in the text.
	start, end int
}

var (
	errNotObject = errors.New("must be an object")
	errTrailing  = errors.New("has data after its end")
)

// fields returns the members of the JSON object in text. Names are taken exactly and must not repeat: two parsers that
// disagree on which of two members counts would disagree on what a request may cost.
func fields(text []byte) ([]field, error) {
	dec := json.NewDecoder(bytes.NewReader(text))
	open, err := dec.Token()
	if err != nil {
		return nil, syntax(err)
	}
	if open != json.Delim('{') {
		return nil, errNotObject
	}
	var out []field
	for dec.More() {
		f, err := member(dec)
		if err != nil {
			return nil, err
		}
		for _, o := range out {
			if o.name == f.name {
				return nil, fmt.Errorf("has field %q twice", f.name)
			}
		}
		out = append(out, f)
	}
	if _, err := dec.Token(); err != nil {
		return nil, syntax(err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, errTrailing
	}
	return out, nil
}

func member(dec *json.Decoder) (field, error) {
	name, err := dec.Token()
	if err != nil {
		return field{}, syntax(err)
	}
	var f field
	f.name, _ = name.(string)
	if err := dec.Decode(&f.value); err != nil {
		return field{}, syntax(err)
	}
	f.end = int(dec.InputOffset())
	f.start = f.end - len(f.value)
	return f, nil
}

// syntax words an error of the decoder for callers.
func syntax(err error) error {
	var s *json.SyntaxError
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errors.New("is not JSON: it ends too early")
	case errors.As(err, &s):
		return fmt.Errorf("is not JSON: %s at byte %d", s.Error(), s.Offset)
	}
	return fmt.Errorf("is not JSON: %w", err)
}

// kind of a JSON value, by its first byte.
func kind(v json.RawMessage) string {
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
