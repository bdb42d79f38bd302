// Package orders brings model engines to the state that the bundle wants: models, versions, adapters and roles.
//
// One reconciler per failure domain reads the engines' states, compares them with the bundle in force and repeats the
// order until the engine reports that it is done. desired.go, plan.go and slots.go are pure; reconciler.go is the shell.
package orders

import (
	"context"

	"pumiceshelf/endpoint"
)

// Engine reads states and gives orders. Implementations are safe for concurrent use.
type Engine interface {
	// State asks an engine for its state.
	State(ctx context.Context, url string) (endpoint.State, error)
	// Order sets an engine's whole desired state; giving it twice is the same as giving it once. It returns
	// endpoint.ErrStaleFence if the engine checks fencing numbers and refused.
	Order(ctx context.Context, url string, o endpoint.Order) error
}
