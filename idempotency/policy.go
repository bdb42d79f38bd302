package idempotency

// Policy selects which keys an instance issues, and which it admits without the object store. Who decides a key follows
// from the form of the key, so instances with different policies agree on it.
type Policy int

// Policies. They differ in which requests are refused while the object store is unavailable.
const (
	// PolicyIssued issues keys that this incarnation decides itself. It is the default.
	PolicyIssued Policy = iota
	// PolicyRefuse issues only opaque keys, whose claims need the object store. It refuses most during an outage.
	PolicyRefuse
	// PolicyStated is PolicyIssued, but also admits stated keys without the object store if the caller states that this
	// is its first attempt. At-most-once execution then depends on that statement being true.
	PolicyStated
)
