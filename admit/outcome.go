package admit

// Succeeded reports whether the endpoint returned its complete response.
func (r Result) Succeeded() bool { return !r.Failed && !r.Stalled && !r.Busy && !r.Interrupted }

// String returns the name of the outcome in logs, traces and metrics.
func (o Outcome) String() string {
	switch o {
	case Admitted:
		return "admitted"
	case QueueFull:
		return "queue_full"
	case BytesFull:
		return "bytes_full"
	case TooLate:
		return "too_late"
	case Displaced:
		return "displaced"
	case Canceled:
		return "canceled"
	case NoCapacity:
		return "no_capacity"
	}
	return "none"
}
