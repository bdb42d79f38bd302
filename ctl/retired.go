package ctl

import (
	"fmt"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

// checkRetired rejects a bundle that retires an incarnation which still runs or is reachable from an instance: its
// tokens would be released while it may still spend them.
func (a *app) checkRetired(b *api.Bundle) error {
	if len(b.RetiredIncarnations) == 0 {
		return nil
	}
	list, err := a.fetchStatuses(admin.PathStatus)
	if err != nil {
		return err
	}
	live := liveIncarnations(list)
	var check fieldcheck.Checker
	for i, incarnation := range b.RetiredIncarnations {
		if evidence := live[incarnation]; evidence != "" {
			check.Fail(fmt.Sprintf("retiredIncarnations[%d]", i), incarnation, "an incarnation that has stopped permanently, but "+evidence)
		}
	}
	return check.Problems().Err()
}

// liveIncarnations returns the incarnations that responded or that a responding instance can reach, each with the
// evidence.
func liveIncarnations(list []instanceResult) map[string]string {
	live := make(map[string]string)
	for _, s := range list {
		for _, p := range s.status.GetPeers() {
			if p.Reachable {
				live[p.Instance.GetIncarnation()] = s.name + " can reach it"
			}
		}
	}
	for _, s := range list {
		if s.status != nil {
			live[s.status.Instance.GetIncarnation()] = s.name + " currently runs it"
		}
	}
	return live
}
