package admit

// Availability is the result of Chooser.Acquire.
type Availability int

// Results of Chooser.Acquire.
const (
	// Acquired means that a slot was acquired; it must be released.
	Acquired Availability = iota + 1
	// Busy means that the group has working endpoints but none has a free slot.
	Busy
	// NoEndpoint means that no endpoint of the group accepts new requests.
	NoEndpoint
)

// Slot is the capacity of an endpoint for one request.
type Slot struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Handle is opaque data of the Chooser.
	Handle any
}

// Chooser selects endpoints. Implementations are safe for concurrent use and never block.
type Chooser interface {
	// Acquire acquires a slot of an endpoint of the group.
	Acquire(group string, t Target) (Slot, Availability)
	// Release releases a slot with the result of its request. It must be called exactly once per slot.
	Release(slot Slot, r Result)
	// Capacity returns how many requests of the group this instance may currently run concurrently.
	Capacity(group string) int
	// OnSlotFree sets the function that is called when a group may have a free slot again; an empty name means any
	// group. The function must not block and may call Acquire.
	OnSlotFree(f func(group string))
}
