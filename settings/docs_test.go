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
	Convey("docs/settings.md has each field once, with its default and a meaning, and no other", t, func() {
		rows, err := doctable.Read("../docs/settings.md")
		So(err, ShouldBeNil)
		defaults := settings.Default().ProtoReflect()
		leaves := doctable.Leaves(defaults.Descriptor())
		for _, path := range leaves {
			row, ok := rows[path]
			if !ok {
				t.Errorf("%s is not on the page", path)
				continue
			}
			if len(row.Cells) != 3 || row.Cells[2] == "" {
				t.Errorf("%s needs a unit, a default and a meaning", path)
				continue
			}
			if want := defaultText(defaults, path); row.Cells[1] != want {
				t.Errorf("%s has the default %s on the page, %s in the code", path, row.Cells[1], want)
			}
		}
		So(len(rows), ShouldEqual, len(leaves))
	})
}

// defaultText returns the default of a field as the page shows it, empty for none.
func defaultText(m protoreflect.Message, path string) string {
	name, rest, nested := strings.Cut(path, ".")
	f := m.Descriptor().Fields().ByJSONName(name)
	if !m.Has(f) || f.IsList() {
		return ""
	}
	if nested {
		return defaultText(m.Get(f).Message(), rest)
	}
	if f.Message() != nil {
		return m.Get(f).Message().Interface().(*durationpb.Duration).AsDuration().String()
	}
	return fmt.Sprint(m.Get(f).Interface())
}
