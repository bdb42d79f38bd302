package route

import "fmt"

// policy selects how an endpoint is chosen.
type policy int

const (
	affinityPolicy policy = iota
	roundRobinPolicy
	randomPolicy
	leastLoadedPolicy
)

// Names of the policies, for Config.Policy.
const (
	// PolicyAffinity prefers the endpoints that probably have the prompt's prefix cached, within a load bound. It is the
	// default.
	PolicyAffinity = "affinity"
	// PolicyRoundRobin chooses the endpoints in turn.
	PolicyRoundRobin = "round-robin"
	// PolicyRandom chooses a random endpoint with free capacity.
	PolicyRandom = "random"
	// PolicyLeastLoaded chooses the endpoint with the lowest estimated load.
	PolicyLeastLoaded = "least-loaded"
)

// parsePolicy returns the policy with the given name.
func parsePolicy(name string) (policy, error) {
	switch name {
	case "", PolicyAffinity:
		return affinityPolicy, nil
	case PolicyRoundRobin:
		return roundRobinPolicy, nil
	case PolicyRandom:
		return randomPolicy, nil
	case PolicyLeastLoaded:
		return leastLoadedPolicy, nil
	}
	return affinityPolicy, fmt.Errorf("route: unknown policy %q, want %s, %s, %s or %s", name,
		PolicyAffinity, PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded)
}
