// Package budget implements the logic of prepaid budgets: quota leases, reservations, settlement, sealing and reclaiming.
//
// The package does no I/O, starts no goroutines and reads no clock; callers pass time and randomness as arguments.
// Package quota calls it.
package budget

// Tokens is a number of model tokens, prompt and generated.
type Tokens uint64

// ID identifies a budget of a customer.
type ID struct {
	Customer string
	Budget   string
}
