// Package fieldcheck collects what is wrong with the fields of settings and bundles.
package fieldcheck

import (
	"fmt"
	"strings"
)

// Problem is one field with a wrong value.
type Problem struct {
	// Path of the field, such as customers[alwusta].budgets[main].grants[2].tokens.
	Path string
	// Has is the value of the field, for people.
	Has string
	// Must says what the value must be.
	Must string
}

// String returns the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s is %s, must be %s", p.Path, p.Has, p.Must)
}

// Problems are all that is wrong with one file or bundle. It is an error when it is not empty.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
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

// Problems returns what was collected, in order of the checks.
func (c *Checker) Problems() Problems { return c.problems }

// Wrong adds a problem.
func (c *Checker) Wrong(path string, has any, must string) {
	c.problems = append(c.problems, Problem{Path: path, Has: show(has), Must: must})
}

// Add adds a problem found elsewhere.
func (c *Checker) Add(p Problem) { c.problems = append(c.problems, p) }

// Require adds a problem unless ok holds.
func (c *Checker) Require(ok bool, path string, has any, must string) {
	if !ok {
		c.Wrong(path, has, must)
	}
}

// hasLimit bounds the characters of a value shown.
const hasLimit = 80

func show(v any) string {
	text := fmt.Sprint(v)
	if s, ok := v.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > hasLimit {
		text = text[:hasLimit] + "..."
	}
	return text
}
