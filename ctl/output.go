package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"
)

// printJSON prints a value as indented JSON.
func (a *app) printJSON(v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("ctl: %w", err)
	}
	_, err = fmt.Fprintln(a.out, string(text))
	return err
}

// table prints rows in columns, the first row as the heading.
func (a *app) table(rows [][]string) error {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// age returns the time since a moment in Unix milliseconds, for people.
func age(unixMs int64, now time.Time) string {
	if unixMs == 0 {
		return "never"
	}
	return now.Sub(time.UnixMilli(unixMs)).Round(time.Millisecond).String()
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
