package admit

// Whole says whether the endpoint gave its whole answer.
func (r Result) Whole() bool { return !r.Failed && !r.Silent && !r.Busy && !r.Cut }

// String names the outcome as logs, stories and counters do.
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
