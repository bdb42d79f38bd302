package route

import "fmt"

// policy of choice.
type policy int

const (
	affinity policy = iota
	roundRobin
	random
	leastLoaded
)

// Names of the policies, for Config.Policy.
const (
	// PolicyAffinity prefers endpoints that have the prompt's prefix cached while their load is bounded. The default.
	PolicyAffinity = "affinity"
	// PolicyRoundRobin takes endpoints in turn.
	PolicyRoundRobin = "round-robin"
	// PolicyRandom takes any endpoint with room.
	PolicyRandom = "random"
	// PolicyLeastLoaded takes the endpoint with the least estimated load.
	PolicyLeastLoaded = "least-loaded"
)

func parsePolicy(name string) (policy, error) {
	switch name {
	case "", PolicyAffinity:
		return affinity, nil
	case PolicyRoundRobin:
		return roundRobin, nil
	case PolicyRandom:
		return random, nil
	case PolicyLeastLoaded:
		return leastLoaded, nil
	}
	return affinity, fmt.Errorf("route: no policy %q: want %s, %s, %s or %s", name,
		PolicyAffinity, PolicyRoundRobin, PolicyRandom, PolicyLeastLoaded)
}
