// Package doctable reads tables in documentation pages, so that tests can compare them with the code.
package doctable

import (
	"fmt"
	"os"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Row is a table row whose first cell is a name in backquotes.
type Row struct {
	Name  string
	Cells []string
}

// Read returns the rows of all tables in a page by name. A name that appears twice is an error.
func Read(file string) (map[string]Row, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("doctable: %w", err)
	}
	rows := make(map[string]Row)
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.Trim(cells[i], " `")
		}
		if _, duplicate := rows[cells[0]]; duplicate {
			return nil, fmt.Errorf("doctable: %s: %s appears twice", file, cells[0])
		}
		rows[cells[0]] = Row{Name: cells[0], Cells: cells[1:]}
	}
	return rows, nil
}

// FieldPaths returns the dotted JSON paths of all fields of a message that hold values and not messages. Durations count as
// values; the fields of list items are included.
func FieldPaths(m protoreflect.MessageDescriptor) []string {
	var out []string
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		if f.Message() == nil || f.Message().FullName() == "google.protobuf.Duration" {
			out = append(out, f.JSONName())
			continue
		}
		for _, path := range FieldPaths(f.Message()) {
			out = append(out, f.JSONName()+"."+path)
		}
	}
	return out
}
