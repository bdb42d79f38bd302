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
	// tokenLimit is the largest sum of the grants of one customer, so that sums of a few never overflow.
	tokenLimit = 1 << 62
	// weightLimit is the largest weight of a customer.
	weightLimit = 1000
	// customerLimit is the largest part of one customer in bytes; it must fit a platform object beside its page.
	customerLimit = 512 << 10
)

// checkCustomer checks what one customer's part says by itself.
func checkCustomer(check *fieldcheck.Checker, c *api.Customer) {
	path := customerPath(c.Id)
	checkID(check, path+".id", c.Id)
	check.Require(c.Weight <= weightLimit, path+".weight", c.Weight, fmt.Sprintf("at most %d", weightLimit))
	check.Require(sizeOf(c) <= customerLimit, path, fmt.Sprintf("%d bytes", sizeOf(c)), fmt.Sprintf("at most %d bytes", customerLimit))
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
		check.Require(!seen[string(h)], keyPath, fmt.Sprintf("%x", h), "given once")
		seen[string(h)] = true
	}
}

// checkGrantList adds the grants to the customer's total so far and returns the new total.
func checkGrantList(check *fieldcheck.Checker, path string, grants []*api.Grant, total uint64) uint64 {
	ids := make(map[string]bool, len(grants))
	for i, g := range grants {
		room := tokenLimit - total
		// Grants are by far the most numerous fields; the texts are made for wrong ones alone.
		if !validID(g.Id, "") || ids[g.Id] || !validGrant(g, room) {
			reportGrant(check, path+"."+itemPath("grants", g.Id, i), g, ids[g.Id], room)
		}
		ids[g.Id] = true
		total += min(g.Tokens, room)
	}
	return total
}

func validGrant(g *api.Grant, room uint64) bool { return g.Tokens >= 1 && g.Tokens <= room }

func reportGrant(check *fieldcheck.Checker, path string, g *api.Grant, twice bool, room uint64) {
	checkID(check, path+".id", g.Id)
	check.Require(!twice, path+".id", g.Id, "an id that no other grant of the budget has")
	check.Require(validGrant(g, room), path+".tokens", g.Tokens,
		fmt.Sprintf("from 1 to %d, so that the customer's grants sum to at most %d", room, uint64(tokenLimit)))
}

func checkDistinct(check *fieldcheck.Checker, path string, list []string) {
	seen := make(map[string]bool)
	for i, s := range list {
		check.Require(!seen[s], fmt.Sprintf("%s[%d]", path, i), s, "given once")
		seen[s] = true
	}
}

// checkBudgetModels checks that the models that budgets name exist.
func checkBudgetModels(check *fieldcheck.Checker, c *Customer, s *Snapshot) {
	for _, b := range c.Budgets {
		for i, m := range b.Models {
			path := fmt.Sprintf("%s.budgets[%s].models[%d]", customerPath(c.ID), b.ID.Budget, i)
			check.Require(s.models[m] != nil, path, m, "the id of a model of the bundle")
		}
	}
}

// checkGrants requires that the new form of a customer keeps every grant of the old one.
func (b *builder) checkGrants(old Hash, next *api.Customer) {
	previous, err := b.previous.content.decodeCustomer(old)
	if err != nil {
		return
	}
	for _, was := range previous.Budgets {
		path := customerPath(next.Id) + ".budgets[" + was.Id + "]"
		i := slices.IndexFunc(next.Budgets, func(n *api.Budget) bool { return n.Id == was.Id })
		if i < 0 {
			b.check.Fail(path, "absent", "kept: a budget stays, with its grants")
			continue
		}
		keepGrants(&b.check, path, was.Grants, next.Budgets[i].Grants)
	}
}

func keepGrants(check *fieldcheck.Checker, path string, was, next []*api.Grant) {
	tokens := make(map[string]uint64, len(next))
	for _, g := range next {
		tokens[g.Id] = g.Tokens
	}
	for _, g := range was {
		grantPath := path + ".grants[" + g.Id + "]"
		now, ok := tokens[g.Id]
		if !ok {
			check.Fail(grantPath, "absent", fmt.Sprintf("kept with %d tokens", g.Tokens))
			continue
		}
		check.Require(now == g.Tokens, grantPath+".tokens", now, fmt.Sprintf("%d as before; top up by another grant", g.Tokens))
	}
}

// checkRemoved reports customers that have budgets and are gone from the bundle.
func (b *builder) checkRemoved(gone map[string]Hash) {
	for _, id := range slices.Sorted(maps.Keys(gone)) {
		customer, err := b.previous.content.decodeCustomer(gone[id])
		if err == nil && len(customer.Budgets) > 0 {
			b.check.Fail(customerPath(id), "absent", "kept, for its budgets; take out its keys to close it")
		}
	}
}
