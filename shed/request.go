package shed

import "time"

// Request holds the properties of a request that determine its place in the order.
type Request struct {
	Customer string
	// CustomerRank and RouteRank are priorities; 0 is the most urgent.
	CustomerRank, RouteRank int
	Route                   string
	// Objective is the route's latency objective, TimeLeft the time until the deadline.
	Objective, TimeLeft time.Duration
	// PromptTokens and MaxOutputTokens are zero for a plain service.
	PromptTokens, MaxOutputTokens int64
	// Resumes is set for the resumption of a stream in progress, CameBack for a request that was refused before.
	Resumes, CameBack bool
}

// Room is the capacity of a service, from the load reports of its usable endpoints.
type Room struct {
	Endpoints, Slots, Running, Waiting int
	// EndpointsWaiting is the number of endpoints with waiting requests.
	EndpointsWaiting int
	// WorkTime is the mean work time of the endpoints, relative to the usual.
	WorkTime float64
	// Age is the mean age of the reports.
	Age time.Duration
	// Instances is the number of instances that send requests to the service.
	Instances int
	// Known is set if enough endpoints have made a report that is fresh and has a work time.
	Known bool
}

// Verdict is the result of a decision.
type Verdict int

const (
	// Send means that the request is sent now.
	Send Verdict = iota
	// Refuse means that it is refused at once.
	Refuse
)

// Reasons of decisions.
const (
	// ReasonCutoff means that the request is behind the cut-off in the order.
	ReasonCutoff = "cutoff"
	// ReasonLate means that it cannot meet its deadline any more.
	ReasonLate = "late"
	// ReasonFloor means that it is behind the cut-off, but its customer, route or size class was served too little.
	ReasonFloor = "floor"
)

// Decision is the result of Decide.
type Decision struct {
	Verdict Verdict
	// HasRoom is set if the service has capacity for all requests.
	HasRoom bool
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
	// Reason is empty for a request that is sent because there is capacity or because it is before the cut-off.
	Reason string
	// Rank is the rank of the request; CutoffRank is the least urgent rank that is not refused as a whole. Work is the time for
	// which the request is expected to occupy a slot. Excess is the offered work relative to the capacity.
	Rank, CutoffRank int
	Work             time.Duration
	Excess           float64
}

// Config holds the settings of a Shedder.
type Config struct {
	// Seed seeds the order of requests with the same rank and work; zero selects a random seed.
	Seed uint64
	// way selects another way to order requests, for comparisons.
	way way
}
