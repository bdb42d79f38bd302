package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"
	"storj.io/drpc/drpcconn"

	"pumiceshelf/api"
	"pumiceshelf/instance"
	"pumiceshelf/members"
	"pumiceshelf/platform"
)

const whereHelp = `Tell where an instance of pumiceshelf route would send a request now, and why, without sending it. The instance is given by its peer address, or by its name and the address of the platform's object store.

Examples:
  pumicectl where --peer 192.0.2.11:9100 --host a.example --path /plan/x
  pumicectl where --store 192.0.2.1:8000 --instance front-1 --host a.example --path /plan/x --customer alwusta --prompt-part sys:800 --prompt-part own:250 --prompt-tokens 1050 --max-output-tokens 80 --json`

type whereCommand struct {
	app             *app
	Peer            string        `long:"peer" env:"PUMICE_PEER" value-name:"IP:PORT" description:"peer address of the instance"`
	Store           string        `long:"store" env:"PUMICE_STORE" value-name:"IP:PORT" description:"address of the platform's object store, to find an instance by its name"`
	Instance        string        `long:"instance" value-name:"NAME" description:"name of the instance, with --store"`
	Host            string        `long:"host" required:"yes" description:"HTTP host of the request"`
	Path            string        `long:"path" required:"yes" description:"HTTP path of the request"`
	Customer        string        `long:"customer" value-name:"NAME" description:"customer whose key the request has; none if not given"`
	PromptParts     []string      `long:"prompt-part" value-name:"ID:TOKENS" description:"part of the prompt; repeat in order, the last one belongs to the request alone"`
	PromptTokens    int64         `long:"prompt-tokens" description:"length of the whole prompt; the sum of the parts if not given"`
	MaxOutputTokens int64         `long:"max-output-tokens" description:"most tokens that the request generates"`
	RequestTimeout  time.Duration `long:"request-timeout" description:"time that the caller would wait; the limit of the route if not given"`
}

// Execute implements flags.Commander.
func (c *whereCommand) Execute([]string) error {
	request, err := c.request()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.app.ctx, c.app.Timeout)
	defer cancel()
	address, err := c.address(ctx)
	if err != nil {
		return err
	}
	reply, err := callExplain(ctx, address, request)
	if err != nil {
		return err
	}
	if reply.Error != "" {
		return fmt.Errorf("ctl: instance %s: %s", reply.Instance, reply.Error)
	}
	if c.app.JSON {
		return c.app.printJSON(newWhereView(reply))
	}
	return c.print(reply)
}

// request returns the request of the command line.
func (c *whereCommand) request() (*api.ExplainRequest, error) {
	out := &api.ExplainRequest{
		Host: c.Host, Path: c.Path, Customer: c.Customer, PromptTokens: c.PromptTokens, MaxOutputTokens: c.MaxOutputTokens,
		Timeout: durationpb.New(c.RequestTimeout),
	}
	sum := int64(0)
	for _, text := range c.PromptParts {
		id, tokens, _ := strings.Cut(text, ":")
		n, err := strconv.ParseInt(tokens, 10, 64)
		if err != nil || n < 0 || id == "" {
			return nil, fmt.Errorf("%w: --prompt-part is %q, want ID:TOKENS", errUsage, text)
		}
		out.PromptParts = append(out.PromptParts, &api.ExplainedPromptPart{Id: id, Tokens: n})
		sum += n
	}
	if c.PromptTokens < 0 || c.MaxOutputTokens < 0 {
		return nil, fmt.Errorf("%w: --prompt-tokens is %d and --max-output-tokens is %d, want no negative number", errUsage, c.PromptTokens, c.MaxOutputTokens)
	}
	if out.PromptTokens == 0 {
		out.PromptTokens = sum
	}
	return out, nil
}

// address returns the peer address of the instance.
func (c *whereCommand) address(ctx context.Context) (string, error) {
	if c.Peer != "" {
		return c.Peer, nil
	}
	if c.Store == "" || c.Instance == "" {
		return "", fmt.Errorf("%w: name the instance with --peer IP:PORT, or with --store IP:PORT and --instance NAME", errUsage)
	}
	store := platform.NewObjectStore(c.Store, &http.Client{}, clockwork.NewRealClock(), c.app.Timeout)
	listing, err := store.ListAllowStale(ctx, members.Collection)
	if err != nil {
		return "", fmt.Errorf("ctl: list the instances in the store at %s: %w", c.Store, err)
	}
	var names []string
	for _, o := range listing.Objects {
		member := &api.FleetMember{}
		if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Value, member); err != nil {
			continue
		}
		name := instance.Incarnation(member.Incarnation).Name()
		if name == c.Instance {
			return member.PeerAddress, nil
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return "", fmt.Errorf("ctl: no instance %q in the store at %s, which lists %s", c.Instance, c.Store, orDash(strings.Join(names, ", ")))
}

// callExplain asks an instance at its peer address.
func callExplain(ctx context.Context, address string, request *api.ExplainRequest) (*api.ExplainReply, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("ctl: no instance at peer address %s: %w", address, err)
	}
	conn := drpcconn.New(raw)
	defer conn.Close()
	reply, err := api.NewDRPCFleetClient(conn).Explain(ctx, request)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return nil, fmt.Errorf("ctl: what listens at %s does not respond as an instance: %w", address, err)
	case err != nil && strings.Contains(err.Error(), "unknown rpc"):
		return nil, fmt.Errorf("ctl: the instance at %s is of a release that explains no requests: %w", address, err)
	case err != nil:
		return nil, fmt.Errorf("ctl: ask the instance at %s: %w", address, err)
	}
	return reply, nil
}

// milliseconds is a duration in JSON output, in milliseconds.
type milliseconds time.Duration

// MarshalJSON implements json.Marshaler.
func (m milliseconds) MarshalJSON() ([]byte, error) {
	return json.Marshal(float64(time.Duration(m)) / float64(time.Millisecond))
}

// whereView is the JSON output of the command.
type whereView struct {
	Instance             string              `json:"instance"`
	ConfigurationVersion int64               `json:"configurationVersion"`
	Route                string              `json:"route"`
	Service              string              `json:"service"`
	Customer             string              `json:"customer,omitempty"`
	Priority             int32               `json:"priority"`
	Budget               *whereBudget        `json:"budget,omitempty"`
	Decision             string              `json:"decision"`
	Reason               string              `json:"reason,omitempty"`
	Chosen               string              `json:"chosen,omitempty"`
	RetryAfter           *milliseconds       `json:"retryAfterMs,omitempty"`
	Endpoints            []whereEndpointView `json:"endpoints"`
}

type whereBudget struct {
	Needed    int64 `json:"neededTokens"`
	Available int64 `json:"availableTokens"`
}

type whereEndpointView struct {
	ID       string       `json:"id"`
	Domain   string       `json:"domain"`
	Version  string       `json:"softwareVersion"`
	Usable   bool         `json:"usable"`
	InFlight int32        `json:"inFlight"`
	Report   *whereReport `json:"report,omitempty"`
	// FirstEvent is the expected time to the first event of an engine.
	FirstEvent *milliseconds `json:"expectedFirstEventMs,omitempty"`
	Remarks    []string      `json:"remarks"`
}

// whereReport is the last load report of an endpoint.
type whereReport struct {
	Running  int32        `json:"running"`
	Waiting  int32        `json:"waiting"`
	Slots    int32        `json:"slots"`
	WorkTime float64      `json:"workTime,omitempty"`
	Age      milliseconds `json:"ageMs"`
}

func newWhereView(r *api.ExplainReply) whereView {
	view := whereView{
		Instance: r.Instance, ConfigurationVersion: r.ConfigurationVersion, Route: r.Route, Service: r.Service, Customer: r.Customer,
		Priority: r.Priority, Decision: r.Decision, Reason: r.Reason, Chosen: r.Chosen, RetryAfter: optionalMilliseconds(r.RetryAfter),
		Endpoints: []whereEndpointView{},
	}
	if r.Prepaid {
		view.Budget = &whereBudget{r.NeededTokens, r.AvailableTokens}
	}
	for _, e := range r.Endpoints {
		out := whereEndpointView{
			ID: e.Id, Domain: e.Domain, Version: e.SoftwareVersion, Usable: e.Usable, InFlight: e.InFlight,
			FirstEvent: optionalMilliseconds(e.ExpectedFirstEvent), Remarks: append([]string{}, e.Remarks...),
		}
		if e.ReportAge != nil {
			out.Report = &whereReport{e.Running, e.Waiting, e.Slots, e.WorkTime, milliseconds(e.ReportAge.AsDuration())}
		}
		view.Endpoints = append(view.Endpoints, out)
	}
	return view
}

func optionalMilliseconds(d *durationpb.Duration) *milliseconds {
	if d == nil {
		return nil
	}
	out := milliseconds(d.AsDuration())
	return &out
}

// print prints the reply as text.
func (c *whereCommand) print(r *api.ExplainReply) error {
	rows := [][]string{
		{"request", c.Host + c.Path},
		{"instance", fmt.Sprintf("%s, configuration version %d", r.Instance, r.ConfigurationVersion)},
		{"route", r.Route},
		{"service", r.Service},
		{"customer", orDash(r.Customer)},
		{"rank at engines", fmt.Sprint(r.Priority)},
		{"budget", "not limited"},
		{"decision", strings.TrimSpace(r.Decision + " " + r.Chosen)},
		{"reason", orDash(r.Reason)},
	}
	if r.Prepaid {
		rows[6][1] = fmt.Sprintf("needs %d tokens, %d available here", r.NeededTokens, r.AvailableTokens)
	}
	if r.RetryAfter != nil {
		rows = append(rows, []string{"retry after", r.RetryAfter.AsDuration().String()})
	}
	if err := c.app.printTable(rows); err != nil {
		return err
	}
	if len(r.Endpoints) == 0 {
		_, err := fmt.Fprintf(c.app.stdout, "\nno endpoints of service %s\n", r.Service)
		return err
	}
	if _, err := fmt.Fprintln(c.app.stdout); err != nil {
		return err
	}
	table := [][]string{{"ENDPOINT", "DOMAIN", "VERSION", "USABLE", "IN FLIGHT", "RUNNING", "WAITING", "SLOTS", "WORK TIME", "REPORT AGE", "FIRST EVENT", "REMARKS"}}
	for _, e := range r.Endpoints {
		table = append(table, whereRow(e))
	}
	return c.app.printTable(table)
}

func whereRow(e *api.ExplainedEndpoint) []string {
	load := []string{"-", "-", "-", "-", "-"}
	if e.ReportAge != nil {
		load = []string{fmt.Sprint(e.Running), fmt.Sprint(e.Waiting), fmt.Sprint(e.Slots), "-", e.ReportAge.AsDuration().Round(time.Millisecond).String()}
	}
	if e.WorkTime > 0 {
		load[3] = fmt.Sprintf("%.2f", e.WorkTime)
	}
	firstEvent := "-"
	if e.ExpectedFirstEvent != nil {
		firstEvent = e.ExpectedFirstEvent.AsDuration().Round(time.Millisecond).String()
	}
	row := []string{e.Id, orDash(e.Domain), orDash(e.SoftwareVersion), yesNo(e.Usable), fmt.Sprint(e.InFlight)}
	return append(append(row, load...), firstEvent, orDash(strings.Join(e.Remarks, "; ")))
}
