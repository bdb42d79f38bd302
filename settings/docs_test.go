package settings_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/internal/doctable"
	"pumiceshelf/settings"
)

func TestPageListsEveryField(t *testing.T) {
	Convey("docs/settings.md lists exactly the fields of the settings, each with its default and a description", t, func() {
		rows, err := doctable.Read("../docs/settings.md")
		So(err, ShouldBeNil)
		defaults := settings.Default().ProtoReflect()
		paths := doctable.FieldPaths(defaults.Descriptor())
		for _, path := range paths {
			row, ok := rows[path]
			if !ok {
				t.Errorf("docs/settings.md does not list %s", path)
				continue
			}
			if len(row.Cells) != 3 || row.Cells[2] == "" {
				t.Errorf("%s needs a unit, a default and a description", path)
				continue
			}
			if want := defaultText(defaults, path); row.Cells[1] != want {
				t.Errorf("%s has the default %s in docs/settings.md, but %s in the code", path, row.Cells[1], want)
			}
		}
		So(len(rows), ShouldEqual, len(paths))
	})
}

// defaultText returns the default of a field as docs/settings.md shows it, or "" if the field has none.
func defaultText(m protoreflect.Message, path string) string {
	name, rest, isNested := strings.Cut(path, ".")
	f := m.Descriptor().Fields().ByJSONName(name)
	if !m.Has(f) || f.IsList() {
		return ""
	}
	if isNested {
		return defaultText(m.Get(f).Message(), rest)
	}
	if f.Message() != nil {
		return m.Get(f).Message().Interface().(*durationpb.Duration).AsDuration().String()
	}
	return fmt.Sprint(m.Get(f).Interface())
}
