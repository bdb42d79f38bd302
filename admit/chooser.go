package admit

// Availability says whether a group can take a request now.
type Availability int

// Answers of a Chooser.
const (
	// Chosen means that a place was taken; it must be released.
	Chosen Availability = iota + 1
	// Busy means that endpoints of the group work but none has room.
	Busy
	// Gone means that no endpoint of the group can take new work.
	Gone
)

// Place is room taken at one endpoint for one request.
type Place struct {
	// Endpoint is its id.
	Endpoint string
	// Handle belongs to the Chooser.
	Handle any
}

// Chooser picks endpoints. Implementations are safe for concurrent use and never block.
type Chooser interface {
	// Acquire takes a place at an endpoint of the group.
	Acquire(group string, t Target) (Place, Availability)
	// Release gives a place back, exactly once, with how the request went.
	Release(p Place, r Result)
	// Places returns how many requests of the group this instance may run at once now.
	Places(group string) int
	// OnRoom sets the function that is called when a group may have room again, with "" for any group. It must not
	// block and may call Acquire.
	OnRoom(f func(group string))
}
