package settings

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/reflect/protoreflect"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/internal/commentjson"
)

// Problems are all that is wrong with the settings.
type Problems = fieldcheck.Problems

// Load reads settings from a file of JSON with comments, fills in the defaults and checks every field. What is wrong
// with fields comes back as Problems, all at once.
func Load(path string) (*api.Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}
	return s, nil
}

// Parse reads settings from JSON with comments, like Load.
func Parse(text []byte) (*api.Settings, error) {
	given := &api.Settings{}
	if err := commentjson.Unmarshal(text, given); err != nil {
		return nil, err
	}
	s := Default()
	overlay(s.ProtoReflect(), given.ProtoReflect())
	if err := Check(s).Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// overlay sets in dst the fields that are set in src, message by message. Lists and durations are replaced whole.
func overlay(dst, src protoreflect.Message) {
	src.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		if nested(f) && dst.Has(f) {
			overlay(dst.Mutable(f).Message(), v.Message())
		} else {
			dst.Set(f, v)
		}
		return true
	})
}

func nested(f protoreflect.FieldDescriptor) bool {
	return f.Message() != nil && !f.IsList() && !f.IsMap() && f.Message().FullName() != durationName
}

// durationName is the message of a time span.
const durationName = "google.protobuf.Duration"
