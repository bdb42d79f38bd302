package settings

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/reflect/protoreflect"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/internal/commentjson"
)

// Problems lists the invalid fields of the settings.
type Problems = fieldcheck.Problems

// Load reads settings from a file of JSON with comments, fills in the defaults and checks every field. If fields are
// invalid, the error wraps Problems with all of them.
func Load(path string) (*api.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: file %s: %w", path, err)
	}
	return s, nil
}

// Parse is like Load for settings that are already in memory.
func Parse(text []byte) (*api.Settings, error) {
	parsed := &api.Settings{}
	if err := commentjson.Unmarshal(text, parsed); err != nil {
		return nil, err
	}
	s := Default()
	mergeFields(s.ProtoReflect(), parsed.ProtoReflect())
	if err := Check(s).Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// mergeFields copies the fields that are set in src to dst. It merges nested messages and replaces lists and durations.
func mergeFields(dst, src protoreflect.Message) {
	src.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if isNestedMessage(f) && dst.Has(f) {
			mergeFields(dst.Mutable(f).Message(), v.Message())
		} else {
			dst.Set(f, v)
		}
		return true
	})
}

// isNestedMessage reports whether mergeFields merges f instead of replacing it.
func isNestedMessage(f protoreflect.FieldDescriptor) bool {
	return f.Message() != nil && !f.IsList() && !f.IsMap() && f.Message().FullName() != durationMessageName
}

// durationMessageName is the full name of the protobuf message for durations.
const durationMessageName = "google.protobuf.Duration"
