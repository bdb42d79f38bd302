package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/admin"
	"pumiceshelf/api"
)

// maxConcurrentRequests bounds the number of instances queried concurrently.
const maxConcurrentRequests = 32

// instanceResult is the result of requesting the status of one instance.
type instanceResult struct {
	address string
	// name is the name of the instance, or its address if the name is unknown.
	name string
	// draining reports whether the platform lists the instance as draining.
	draining bool
	status   *api.Status
	err      error
}

// listInstances returns the instances given by --admin, or else those on the platform's list that have an admin
// address. Only the latter have names.
func (a *app) listInstances() ([]instanceResult, error) {
	var out []instanceResult
	for _, address := range a.Admin {
		out = append(out, instanceResult{address: address, name: address})
	}
	if len(out) > 0 {
		return out, nil
	}
	store, err := a.newStore()
	if err != nil {
		return nil, fmt.Errorf("%w, or the instances with --admin IP:PORT", err)
	}
	list, err := store.Instances(a.ctx)
	if err != nil {
		return nil, fmt.Errorf("ctl: list instances: %w", err)
	}
	for _, i := range list.Instances {
		if i.AdminAddress != "" {
			out = append(out, instanceResult{address: i.AdminAddress, name: i.Name, draining: i.Leaving})
		}
	}
	return out, nil
}

// fetchStatuses requests the status of all instances and returns the results sorted by name.
func (a *app) fetchStatuses(path string) ([]instanceResult, error) {
	list, err := a.listInstances()
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentRequests)
	for i := range list {
		group.Go(func() error {
			list[i].status, list[i].err = a.fetchStatus(list[i].address, path)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for i := range list {
		if name := list[i].status.GetInstance().GetName(); name != "" {
			list[i].name = name
		}
	}
	slices.SortFunc(list, func(x, y instanceResult) int { return cmp.Compare(x.name, y.name) })
	return list, nil
}

func (a *app) fetchStatus(address, path string) (*api.Status, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
	defer cancel()
	body, err := admin.Fetch(ctx, a.client, address, path, nil)
	if err != nil {
		return nil, err
	}
	s := &api.Status{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("ctl: decode status from %s: %w", address, err)
	}
	return s, nil
}

// statusView is the JSON output for the status of one instance.
type statusView struct {
	Instance string     `json:"instance"`
	Address  string     `json:"address"`
	Error    string     `json:"error,omitempty"`
	Status   *protoJSON `json:"status,omitempty"`
}

// protoJSON marshals a status with protojson instead of encoding/json.
type protoJSON struct{ status *api.Status }

// MarshalJSON implements json.Marshaler.
func (p *protoJSON) MarshalJSON() ([]byte, error) { return protojson.Marshal(p.status) }

func statusViews(list []instanceResult) []statusView {
	out := make([]statusView, len(list))
	for i, s := range list {
		out[i] = statusView{Instance: s.name, Address: s.address}
		if s.err != nil {
			out[i].Error = s.err.Error()
		} else {
			out[i].Status = &protoJSON{s.status}
		}
	}
	return out
}
