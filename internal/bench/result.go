// Package bench runs the experiments of pumicebench: it starts a few real instances on loopback, applies load and faults,
// and checks the results against the logs of the stand-ins.
package bench

import (
	"encoding/json"
	"fmt"
	"strings"
)

// Result is the result of an experiment. Every field is always printed.
type Result struct {
	Experiment        string  `json:"experiment"`
	Seed              uint64  `json:"seed"`
	Policy            string  `json:"policy"`
	Requests          int     `json:"requests"`
	Answered          int     `json:"answered"`
	NotRun            int     `json:"not_run"`
	Unknown           int     `json:"unknown"`
	FalseRefusals     int     `json:"false_refusals"`
	OverspendTokens   uint64  `json:"overspend_tokens"`
	DoubleRuns        int     `json:"double_runs"`
	DoubleCharges     int     `json:"double_bills"`
	Uncharged         int     `json:"unbilled"`
	WrongAnswers      int     `json:"wrong_answers"`
	PartialAnswers    int     `json:"partial_answers"`
	NotRunButRan      int     `json:"not_run_but_ran"`
	ParkedTokens      uint64  `json:"parked_tokens"`
	PlatformCallsPerS float64 `json:"platform_calls_per_s"`
	P50Ms             float64 `json:"p50_ms"`
	P99Ms             float64 `json:"p99_ms"`
	// Extra holds figures specific to the experiment. Violations lists the guarantees that did not hold.
	Extra      map[string]float64 `json:"extra"`
	Violations []string           `json:"broken"`
	// Refusals counts refusals by reason.
	Refusals map[string]int `json:"refusals"`
}

// checkGuarantees adds the guarantees that the shared figures show as violated.
func (r *Result) checkGuarantees() {
	for _, p := range []struct {
		violated bool
		text     string
	}{
		{r.OverspendTokens > 0, "a budget was overspent"},
		{r.DoubleRuns > 0, "a non-idempotent request ran twice"},
		{r.DoubleCharges > 0, "a request was charged twice"},
		{r.Uncharged > 0, "a request that ran was not charged"},
		{r.WrongAnswers > 0, "a caller got the answer to another request"},
		{r.PartialAnswers > 0, "a truncated answer was reported as complete"},
		{r.NotRunButRan > 0, "a request reported as not run did run"},
	} {
		if p.violated {
			r.Violations = append(r.Violations, p.text)
		}
	}
}

// Err returns an error that names the violated guarantees, or nil.
func (r *Result) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("bench: %s seed %d: %s", r.Experiment, r.Seed, strings.Join(r.Violations, "; "))
}

// JSON returns the result as one line of JSON.
func (r *Result) JSON() string {
	out, err := json.Marshal(r)
	if err != nil {
		return err.Error()
	}
	return string(out)
}
