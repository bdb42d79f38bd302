package gateway

import "pumiceshelf/routing"

const (
	// routeRanks is the number of route ranks within one customer rank.
	routeRanks = 3
	// defaultCustomerRank applies to customers without a configured priority.
	defaultCustomerRank = 1
	// lowestPriority is the lowest priority of an engine; 0 is the highest.
	lowestPriority = 9
)

// enginePriority returns the priority by which an engine orders prompts: first the customer's rank, then the route's.
// When prefill is the bottleneck of the engines, long prompts of less urgent routes would otherwise delay the urgent
// ones until all of them miss their objectives.
func enginePriority(c *routing.Customer, r *routing.Route) int {
	rank := defaultCustomerRank
	if c != nil && c.Priority != nil {
		rank = max(*c.Priority, 0)
	}
	routeRank := min(max(r.Priority, 0), routeRanks-1)
	return min(rank*routeRanks+routeRank, lowestPriority)
}
