package gateway

import (
	"pumiceshelf/routing"
	"pumiceshelf/shed"
)

const (
	// defaultCustomerRank applies to customers without a configured priority.
	defaultCustomerRank = 1
	// lowestPriority is the lowest priority of an engine; 0 is the highest.
	lowestPriority = shed.NumRanks - 1
)

// customerRank returns the rank of a customer; 0 is the most urgent.
func customerRank(c *routing.Customer) int {
	if c != nil && c.Priority != nil {
		return max(*c.Priority, 0)
	}
	return defaultCustomerRank
}

// enginePriority returns the priority by which an engine orders prompts: first the customer's rank, then the route's.
// When prefill is the bottleneck of the engines, long prompts of less urgent routes would otherwise delay the urgent
// ones until all of them miss their objectives.
func enginePriority(c *routing.Customer, r *routing.Route) int {
	return shed.Rank(customerRank(c), r.Priority)
}
