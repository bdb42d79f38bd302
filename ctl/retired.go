package ctl

import (
	"fmt"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

// checkRetired refuses a bundle that retires an incarnation which an instance answers as or reaches. Its tokens would be
// freed while it may still spend them.
func (a *app) checkRetired(b *api.Bundle) error {
	if len(b.RetiredIncarnations) == 0 {
		return nil
	}
	list, err := a.statuses(admin.PathStatus)
	if err != nil {
		return err
	}
	alive := aliveIncarnations(list)
	var check fieldcheck.Checker
	for i, incarnation := range b.RetiredIncarnations {
		if seenBy := alive[incarnation]; seenBy != "" {
			check.Fail(fmt.Sprintf("retiredIncarnations[%d]", i), incarnation, "gone for good, but "+seenBy)
		}
	}
	return check.Problems().Err()
}

// aliveIncarnations returns the incarnations that answered or that one that answered reaches, and who says so.
func aliveIncarnations(list []answered) map[string]string {
	alive := make(map[string]string)
	for _, s := range list {
		for _, p := range s.status.GetPeers() {
			if p.Reachable {
				alive[p.Instance.GetIncarnation()] = s.name + " reaches it"
			}
		}
	}
	for _, s := range list {
		if s.status != nil {
			alive[s.status.Instance.GetIncarnation()] = s.name + " answers as it"
		}
	}
	return alive
}
