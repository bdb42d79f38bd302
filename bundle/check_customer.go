package bundle

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
)

const (
	// maxCustomerTokens bounds the sum of one customer's grants, so that adding up a few such sums cannot overflow.
	maxCustomerTokens = 1 << 62
	// maxWeight bounds the weight of a customer.
	maxWeight = 1000
	// maxCustomerBytes bounds the encoded size of one customer: its part must fit one object together with its page.
	maxCustomerBytes = 512 << 10
)

// checkCustomer checks one customer's part on its own.
func checkCustomer(check *fieldcheck.Checker, c *api.Customer) {
	path := customerPath(c.Id)
	checkID(check, path+".id", c.Id)
	check.Require(c.Weight <= maxWeight, path+".weight", c.Weight, fmt.Sprintf("at most %d", maxWeight))
	check.Require(encodedSize(c) <= maxCustomerBytes, path, fmt.Sprintf("%d bytes", encodedSize(c)), fmt.Sprintf("at most %d bytes", maxCustomerBytes))
	checkKeyHashes(check, path, c.KeyHashes)
	ids := make(map[string]bool)
	var total uint64
	for i, b := range c.Budgets {
		budgetPath := path + "." + itemPath("budgets", b.Id, i)
		checkID(check, budgetPath+".id", b.Id)
		check.Require(!ids[b.Id], budgetPath+".id", b.Id, "an id that no other budget of the customer has")
		ids[b.Id] = true
		checkDistinct(check, budgetPath+".models", b.Models)
		total = checkGrantList(check, budgetPath, b.Grants, total)
	}
}

func checkKeyHashes(check *fieldcheck.Checker, path string, hashes [][]byte) {
	seen := make(map[string]bool)
	for i, h := range hashes {
		keyPath := fmt.Sprintf("%s.keyHashes[%d]", path, i)
		check.Require(len(h) == sha256.Size, keyPath, bytesText(h), fmt.Sprintf("a SHA-256 of %d bytes, in base64", sha256.Size))
		check.Require(!seen[string(h)], keyPath, fmt.Sprintf("%x", h), "listed only once")
		seen[string(h)] = true
	}
}

// checkGrantList checks the grants of one budget, adds them to the customer's total so far and returns the new total.
func checkGrantList(check *fieldcheck.Checker, path string, grants []*api.Grant, total uint64) uint64 {
	ids := make(map[string]bool, len(grants))
	for i, g := range grants {
		remaining := maxCustomerTokens - total
		// Grants are by far the most numerous fields, so texts are formatted only for invalid ones.
		if !validID(g.Id, "") || ids[g.Id] || !validGrant(g, remaining) {
			reportGrant(check, path+"."+itemPath("grants", g.Id, i), g, ids[g.Id], remaining)
		}
		ids[g.Id] = true
		total += min(g.Tokens, remaining)
	}
	return total
}

func validGrant(g *api.Grant, remaining uint64) bool { return g.Tokens >= 1 && g.Tokens <= remaining }

func reportGrant(check *fieldcheck.Checker, path string, g *api.Grant, duplicate bool, remaining uint64) {
	checkID(check, path+".id", g.Id)
	check.Require(!duplicate, path+".id", g.Id, "an id that no other grant of the budget has")
	check.Require(validGrant(g, remaining), path+".tokens", g.Tokens,
		fmt.Sprintf("from 1 to %d, so that the customer's grants sum to at most %d", remaining, uint64(maxCustomerTokens)))
}

func checkDistinct(check *fieldcheck.Checker, path string, list []string) {
	seen := make(map[string]bool)
	for i, s := range list {
		check.Require(!seen[s], fmt.Sprintf("%s[%d]", path, i), s, "listed only once")
		seen[s] = true
	}
}

// checkBudgetModels checks that the models listed in budgets exist.
func checkBudgetModels(check *fieldcheck.Checker, c *Customer, s *Snapshot) {
	for _, b := range c.Budgets {
		for i, m := range b.Models {
			path := fmt.Sprintf("%s.budgets[%s].models[%d]", customerPath(c.ID), b.ID.Budget, i)
			check.Require(s.models[m] != nil, path, m, "the id of a model of the bundle")
		}
	}
}

// checkGrantsKept requires that the new version of a customer keeps every budget and grant of the old one.
func (b *builder) checkGrantsKept(old Hash, next *api.Customer) {
	previous, err := b.previous.content.decodeCustomer(old)
	if err != nil {
		// Cannot happen: the part was decoded when the previous content was compiled.
		return
	}
	for _, oldBudget := range previous.Budgets {
		path := customerPath(next.Id) + ".budgets[" + oldBudget.Id + "]"
		i := slices.IndexFunc(next.Budgets, func(n *api.Budget) bool { return n.Id == oldBudget.Id })
		if i < 0 {
			b.check.Fail(path, "absent", "kept, since a budget and its grants cannot be removed")
			continue
		}
		checkBudgetGrantsKept(&b.check, path, oldBudget.Grants, next.Budgets[i].Grants)
	}
}

func checkBudgetGrantsKept(check *fieldcheck.Checker, path string, old, next []*api.Grant) {
	tokens := make(map[string]uint64, len(next))
	for _, g := range next {
		tokens[g.Id] = g.Tokens
	}
	for _, g := range old {
		grantPath := path + ".grants[" + g.Id + "]"
		newTokens, ok := tokens[g.Id]
		if !ok {
			check.Fail(grantPath, "absent", fmt.Sprintf("kept with %d tokens", g.Tokens))
			continue
		}
		check.Require(newTokens == g.Tokens, grantPath+".tokens", newTokens, fmt.Sprintf("%d as before; add another grant to top up", g.Tokens))
	}
}

// checkRemovedCustomers reports customers with budgets that were removed from the bundle.
func (b *builder) checkRemovedCustomers(removed map[string]Hash) {
	for _, id := range slices.Sorted(maps.Keys(removed)) {
		customer, err := b.previous.content.decodeCustomer(removed[id])
		if err == nil && len(customer.Budgets) > 0 {
			b.check.Fail(customerPath(id), "absent", "kept, because it has budgets; remove its keys to close it")
		}
	}
}
