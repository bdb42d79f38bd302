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

// askParallel bounds the instances asked at once.
const askParallel = 32

// answered is what one instance answered to a question for its status.
type answered struct {
	address string
	// name of the instance, its address if unknown.
	name string
	// leaving says that the platform lists the instance as leaving.
	leaving bool
	status  *api.Status
	err     error
}

// addresses returns the admin addresses of the instances named on the command line, else of the platform's list, with
// the instances' names where they are known.
func (a *app) addresses() ([]answered, error) {
	var out []answered
	for _, address := range a.Admin {
		out = append(out, answered{address: address, name: address})
	}
	if len(out) > 0 {
		return out, nil
	}
	store, err := a.store()
	if err != nil {
		return nil, fmt.Errorf("%w; or name instances by --admin IP:PORT", err)
	}
	list, err := store.Instances(a.ctx)
	if err != nil {
		return nil, fmt.Errorf("ctl: read the list of instances: %w", err)
	}
	for _, i := range list.Instances {
		if i.AdminAddress != "" {
			out = append(out, answered{address: i.AdminAddress, name: i.Name, leaving: i.Leaving})
		}
	}
	return out, nil
}

// statuses asks all instances for their status, in order of names.
func (a *app) statuses(path string) ([]answered, error) {
	list, err := a.addresses()
	if err != nil {
		return nil, err
	}
	var group errgroup.Group
	group.SetLimit(askParallel)
	for i := range list {
		group.Go(func() error {
			list[i].status, list[i].err = a.status(list[i].address, path)
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
	slices.SortFunc(list, func(x, y answered) int { return cmp.Compare(x.name, y.name) })
	return list, nil
}

func (a *app) status(address, path string) (*api.Status, error) {
	ctx, cancel := context.WithTimeout(a.ctx, a.Timeout)
	defer cancel()
	body, err := admin.Fetch(ctx, a.client, address, path, nil)
	if err != nil {
		return nil, err
	}
	s := &api.Status{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(body, s); err != nil {
		return nil, fmt.Errorf("ctl: answer of %s: %w", address, err)
	}
	return s, nil
}

// statusView is one instance's status in JSON output.
type statusView struct {
	Instance string     `json:"instance"`
	Address  string     `json:"address"`
	Error    string     `json:"error,omitempty"`
	Status   *protoJSON `json:"status,omitempty"`
}

// protoJSON prints a status by the schema's own JSON form.
type protoJSON struct{ status *api.Status }

// MarshalJSON implements json.Marshaler.
func (p *protoJSON) MarshalJSON() ([]byte, error) { return protojson.Marshal(p.status) }

func views(list []answered) []statusView {
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
