// Package commentjson reads protobuf messages from JSON with comments and trailing commas.
package commentjson

import (
	"fmt"
	"os"

	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// ReadFile reads a message from a file in the same way as Unmarshal.
func ReadFile(path string, m proto.Message) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("commentjson: %w", err)
	}
	if err := Unmarshal(text, m); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// Unmarshal reads a message from JSON with comments. Fields that the message does not have are an error.
func Unmarshal(text []byte, m proto.Message) error {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return fmt.Errorf("not JSON with comments: %w", err)
	}
	if err := protojson.Unmarshal(plain, m); err != nil {
		return fmt.Errorf("does not match the schema: %w", err)
	}
	return nil
}
