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
		return fmt.Errorf("ctl: encode JSON output: %w", err)
	}
	_, err = fmt.Fprintln(a.stdout, string(text))
	return err
}

// printTable prints rows in aligned columns. The first row is the heading.
func (a *app) printTable(rows [][]string) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// formatAge returns the time elapsed since unixMs, or "never" if unixMs is zero.
func formatAge(unixMs int64, now time.Time) string {
	if unixMs == 0 {
		return "never"
	}
	return now.Sub(time.UnixMilli(unixMs)).Round(time.Millisecond).String()
}

func yesNo(b bool) string {
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
