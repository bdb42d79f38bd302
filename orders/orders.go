// Package orders reconciles model engines with the active bundle: models, versions, adapters and roles.
//
// One reconciler per failure domain reads the engines' states, compares them with the active bundle and resends an order
// until the engine reports the desired state. desired.go, plan.go and slots.go are pure; reconciler.go and lease.go access
// the engines and the object store.
package orders

import (
	"context"

	"pumiceshelf/endpoint"
)

// Engine reads the states of engines and sends them orders. Implementations are safe for concurrent use.
type Engine interface {
	// State returns the state of an engine.
	State(ctx context.Context, url string) (endpoint.State, error)
	// Order sets an engine's complete desired state. It is idempotent. It returns endpoint.ErrStaleFence if the engine
	// checks fencing numbers and refused the order.
	Order(ctx context.Context, url string, o endpoint.Order) error
}
