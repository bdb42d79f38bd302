package admit

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
