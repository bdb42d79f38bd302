// Package fieldcheck collects validation problems of the fields of settings and bundles.
package fieldcheck

import (
	"fmt"
	"strings"
)

// Problem is a field with an invalid value.
type Problem struct {
	// Path is the path of the field, such as customers[alwusta].budgets[main].grants[2].tokens.
	Path string
	// Value is the invalid value in readable form.
	Value string
	// Requirement describes the valid values.
	Requirement string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s is %s, must be %s", p.Path, p.Value, p.Requirement)
}

// Problems are all problems of one file or bundle. Err returns a non-empty list as an error.
type Problems []Problem

// Error implements error. It returns one problem per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Checker collects problems.
type Checker struct {
	problems Problems
}

// Problems returns the collected problems in the order of the checks.
func (c *Checker) Problems() Problems { return c.problems }

// Fail adds a problem for the field at path.
func (c *Checker) Fail(path string, value any, requirement string) {
	c.problems = append(c.problems, Problem{Path: path, Value: formatValue(value), Requirement: requirement})
}

// Add adds an existing problem.
func (c *Checker) Add(p Problem) { c.problems = append(c.problems, p) }

// Require adds a problem for the field at path unless ok is true.
func (c *Checker) Require(ok bool, path string, value any, requirement string) {
	if !ok {
		c.Fail(path, value, requirement)
	}
}

// maxValueLength bounds the formatted value in bytes; longer ones are truncated.
const maxValueLength = 80

// formatValue returns a value in readable form, with strings in quotes.
func formatValue(v any) string {
	text := fmt.Sprint(v)
	if s, ok := v.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxValueLength {
		text = text[:maxValueLength] + "..."
	}
	return text
}
