package shed

// way is a way to order requests. Zero is the one that is used; the others exist for the comparison in docs/design/shedding.md.
type way int

const (
	// byRankAndWork orders by rank, then what a customer asks beyond its usual, then work, with a floor for every customer, route
	// and size class.
	byRankAndWork way = iota
	// strictRank orders by rank only.
	strictRank
	// valuePerWork orders by the value of a rank, divided by work.
	valuePerWork
	// earliestDeadline orders by deadline.
	earliestDeadline
	// fairShares serves all alike except what a customer asks beyond its usual, with the floor.
	fairShares
	// sendAll refuses nothing.
	sendAll
)

func (w way) hasFloor() bool { return w == byRankAndWork || w == fairShares }

// rankValue is the value of a rank relative to the next less urgent one in valuePerWork.
const rankValue = 2.0

// score returns the place of a request in the order, the lowest first. random is uniform in [0, 1) and orders requests that are
// alike otherwise.
func (w way) score(r Request, rank int, work, meanWork float64, unusual bool, random float64) float64 {
	tie := random / 1000
	relative := work / (work + max(meanWork, 0.001))
	switch w {
	case strictRank:
		return float64(rank) + random/2
	case valuePerWork:
		value := 1.0
		for range NumRanks - 1 - rank {
			value *= rankValue
		}
		return work/value + tie
	case earliestDeadline:
		return r.TimeLeft.Seconds() + tie
	case fairShares:
		return classOf(r, unusual) + random/2
	case sendAll:
		return 0
	}
	if r.Resumes {
		// What a stream in progress has cost so far would be lost.
		return relative/2 + tie - 1
	}
	return 10*float64(rank) + 2*classOf(r, unusual) + relative + tie
}

// classOf orders requests of one rank: those that were refused before, then others, then what is beyond the customer's usual.
func classOf(r Request, unusual bool) float64 {
	switch {
	case r.CameBack && !unusual:
		return 0
	case unusual:
		return 2
	default:
		return 1
	}
}
