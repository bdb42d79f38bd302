// Package budget is the logic of prepaid budgets: quota leases, reservations, settlement, sealing and reclaiming.
//
// The package does no I/O, starts no goroutines and reads no clock; time and randomness come in as arguments.
// Package quota drives it.
package budget

// Tokens is a count of model tokens, prompt and generated alike.
type Tokens uint64

// ID names a budget of a customer.
type ID struct {
	Customer string
	Budget   string
}
