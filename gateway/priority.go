package gateway

import "pumiceshelf/routing"

const (
	// ranksPerCustomer is how many ranks of routes an engine tells apart within one rank of customers.
	ranksPerCustomer = 3
	// usualRank is the rank of customers that have none of their own.
	usualRank = 1
	// lastPriority is the last of the engines' priorities, which begin with 0.
	lastPriority = 9
)

// enginePriority is the order in which an engine reads prompts: by the customer's rank, and within it by the route's.
// Answers the load at which reading prompts is what engines are short of: long prompts of a less urgent kind would
// otherwise delay the urgent ones, and all of them would be late.
func enginePriority(c *routing.Customer, r *routing.Route) int {
	rank := usualRank
	if c != nil && c.Priority != nil {
		rank = max(*c.Priority, 0)
	}
	within := min(max(r.Priority, 0), ranksPerCustomer-1)
	return min(rank*ranksPerCustomer+within, lastPriority)
}
