package members

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// exchangeLimit is a token bucket that bounds the sustained rate of exchanges and allows short bursts. The caller passes the time.
type exchangeLimit struct{ bucket *rate.Limiter }

// newExchangeLimit returns a full bucket for burst exchanges that gains one each interval.
func newExchangeLimit(interval time.Duration, burst int) exchangeLimit {
	return exchangeLimit{rate.NewLimiter(rate.Every(interval), burst)}
}

// delay returns the time until an exchange is allowed.
func (l exchangeLimit) delay(now time.Time) time.Duration {
	missing := 1 - l.bucket.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(l.bucket.Limit()) * float64(time.Second)))
}

// take uses up an exchange and returns true if it is allowed.
func (l exchangeLimit) take(now time.Time) bool { return l.bucket.AllowN(now, 1) }

// force uses up an exchange that takes place even if it is not allowed. The next ones are then delayed for longer.
func (l exchangeLimit) force(now time.Time) { l.bucket.ReserveN(now, 1) }
