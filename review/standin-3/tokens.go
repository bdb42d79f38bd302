package main

const (
	// stride is the number of tokens in an event.
	stride          = 4
	eventsPerStream = 13
	promptTokens    = 2890
	outputTokens    = eventsPerStream * stride
)
