package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/quota"
)

const statusHelp = `Show every instance: its bundle, whether it reaches the platform, peers it does not reach, leases it holds, endpoints it ejected and what it repaired by itself.

Examples:
  pumicectl status --platform http://192.0.2.1:8000
  pumicectl status --admin 192.0.2.11:9443 --json`

type statusCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	list, err := c.app.fetchStatuses(admin.PathStatus)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(statusViews(list))
	}
	rows := [][]string{{"INSTANCE", "DOMAIN", "BUNDLE", "PLATFORM", "CUT FROM", "LEASES", "EJECTED", "IN PROGRESS", "REPAIRS", "NOTE"}}
	for _, s := range list {
		rows = append(rows, statusRow(s))
	}
	return c.app.printTable(rows)
}

func statusRow(s instanceResult) []string {
	if s.err != nil {
		return []string{s.name, "?", "?", "?", "?", "?", "?", "?", "?", s.err.Error()}
	}
	var unreachable []string
	for _, p := range s.status.Peers {
		if !p.Reachable {
			unreachable = append(unreachable, p.Instance.GetName())
		}
	}
	ejected := 0
	for _, e := range s.status.Endpoints {
		if e.Ejected {
			ejected++
		}
	}
	return []string{
		s.name, s.status.Instance.GetDomain(), fmt.Sprint(s.status.BundleNumber), yesNo(s.status.PlatformReachable),
		orDash(strings.Join(unreachable, ",")), fmt.Sprint(len(s.status.Leases)), fmt.Sprint(ejected),
		fmt.Sprint(s.status.RequestsInProgress), fmt.Sprint(len(s.status.Repairs)), statusNote(s.status),
	}
}

// statusNote returns the note column of the status table.
func statusNote(s *api.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.BundleError != "":
		return s.BundleError
	}
	return "-"
}

const endpointsHelp = `Show every endpoint as each instance sees it: requests in flight, limit, ejection, leaving, age of the last report.

Examples:
  pumicectl endpoints --platform http://192.0.2.1:8000
  pumicectl endpoints --admin 192.0.2.11:9443 --json`

type endpointsCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *endpointsCommand) Execute([]string) error {
	list, err := c.app.fetchStatuses(admin.PathEndpoints)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(statusViews(list))
	}
	now := time.Now()
	rows := [][]string{{"ENDPOINT", "DOMAIN", "SEEN BY", "IN FLIGHT", "LIMIT", "EJECTED", "LEAVING", "FAILURES", "LAST REPORT"}}
	for _, s := range list {
		if s.err != nil {
			rows = append(rows, []string{"?", "?", s.name, s.err.Error()})
		}
		for _, e := range s.status.GetEndpoints() {
			rows = append(rows, []string{
				e.Endpoint, e.Domain, s.name, fmt.Sprint(e.InFlight), fmt.Sprint(e.Limit), yesNo(e.Ejected), yesNo(e.Leaving),
				fmt.Sprint(e.ConsecutiveFailures), formatAge(e.LastReportUnixMs, now),
			})
		}
	}
	return c.app.printTable(rows)
}

const budgetHelp = `Show a customer's budgets from the platform's records: granted, spent, free, leases open and tokens parked.

Examples:
  pumicectl budget alwusta-dates --platform http://192.0.2.1:8000
  pumicectl budget alwusta-dates --json`

type budgetCommand struct {
	app  *app
	Args struct {
		Customer string `positional-arg-name:"CUSTOMER" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *budgetCommand) Execute([]string) error {
	store, err := c.app.newStore()
	if err != nil {
		return err
	}
	reports, err := quota.Report(c.app.ctx, store, c.Args.Customer)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.printJSON(reports)
	}
	rows := [][]string{{"BUDGET", "GRANTED", "SPENT", "FREE", "PARKED", "OPEN LEASES", "RECORDS", "AT BOUND", "REFUNDED", "RECORDS AGREE"}}
	for _, r := range reports {
		rows = append(rows, []string{
			r.Budget, fmt.Sprint(r.Granted), fmt.Sprint(r.Settled), fmt.Sprint(r.Free), fmt.Sprint(r.Parked),
			fmt.Sprint(len(r.Open)), fmt.Sprint(r.Records), fmt.Sprint(r.AtBound), fmt.Sprint(r.Refunded), formatAgreement(r),
		})
	}
	if err := c.app.printTable(rows); err != nil {
		return err
	}
	return c.app.printOpenLeases(reports)
}

// formatAgreement returns whether a budget's usage records agree with the ledger, and the reason if they do not.
func formatAgreement(r quota.BudgetReport) string {
	if r.Agrees {
		return "yes"
	}
	return "NO: " + r.Why
}

// printOpenLeases prints the open leases. The unsettled tokens of a lease holder that has stopped permanently stay
// parked until operators list its incarnation in the bundle's retiredIncarnations.
func (a *app) printOpenLeases(reports []quota.BudgetReport) error {
	rows := [][]string{{"BUDGET", "LEASE", "HOLDER", "DOMAIN", "TAKEN", "CEILING", "SETTLED", "RECLAIMED BY"}}
	for _, r := range reports {
		for _, l := range r.Open {
			rows = append(rows, []string{
				r.Budget, l.Id, l.Holder, l.Domain, fmt.Sprint(l.Taken), fmt.Sprint(l.Ceiling), fmt.Sprint(l.Settled), orDash(l.Reclaimer),
			})
		}
	}
	if len(rows) == 1 {
		return nil
	}
	if _, err := fmt.Fprintln(a.stdout); err != nil {
		return err
	}
	return a.printTable(rows)
}

const explainHelp = `Tell the story of a recent request: admission, budget, claim, endpoints tried, outcome, joined over instances. The id is the X-Request-Id of the caller's answer.

Examples:
  pumicectl explain 6f1d0c52 --platform http://192.0.2.1:8000
  pumicectl explain 6f1d0c52 --admin 192.0.2.11:9443 --json`

type explainCommand struct {
	app  *app
	Args struct {
		Request string `positional-arg-name:"REQUEST" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It queries the instances in turn until one responds; that one queries
// the others. If the instances come from the platform's list, its 404 is therefore final.
func (c *explainCommand) Execute([]string) error {
	list, err := c.app.listInstances()
	if err != nil {
		return err
	}
	err = errors.New("ctl: no instances to query")
	for _, i := range list {
		var s *api.Story
		if s, err = c.fetchTrace(i.address); err == nil {
			return c.printTrace(s)
		}
		var statusErr *admin.StatusError
		if errors.As(err, &statusErr) && statusErr.Status == http.StatusNotFound && len(c.app.Admin) == 0 {
			return err
		}
	}
	return err
}

func (c *explainCommand) fetchTrace(address string) (*api.Story, error) {
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.Timeout)
	defer cancel()
	return admin.FetchTrace(ctx, c.app.client, address, c.Args.Request, false)
}

// eventView is the JSON output for one event of a trace.
type eventView struct {
	Time      time.Time `json:"time"`
	Instance  string    `json:"instance"`
	Component string    `json:"part"`
	Text      string    `json:"text"`
}

// traceView is the JSON output for a trace.
type traceView struct {
	Request  string      `json:"request"`
	Customer string      `json:"customer"`
	Events   []eventView `json:"events"`
}

func (c *explainCommand) printTrace(s *api.Story) error {
	view := traceView{Request: s.RequestId, Customer: s.Customer}
	rows := [][]string{{"TIME", "INSTANCE", "PART", "WHAT"}}
	for _, e := range s.Events {
		at := time.UnixMicro(e.UnixUs).UTC()
		view.Events = append(view.Events, eventView{Time: at, Instance: e.Instance, Component: e.Part, Text: e.Text})
		rows = append(rows, []string{at.Format("15:04:05.000000"), e.Instance, e.Part, e.Text})
	}
	if c.app.JSON {
		return c.app.printJSON(view)
	}
	if _, err := fmt.Fprintf(c.app.stdout, "request %s of customer %s\n", s.RequestId, orDash(s.Customer)); err != nil {
		return err
	}
	return c.app.printTable(rows)
}
