package members

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/quarantine"
)

const (
	// sustainedLossInterval and lossBurst bound how often losses that are not checked yet are passed on while many endpoints lose
	// requests. Each crash that this instance observes takes one exchange.
	sustainedLossInterval = 100 * time.Millisecond
	lossBurst             = 40
	// minUncheckedAge is added to the age of a loss that is not checked yet. An older release drops a crash of this age, so that it does
	// not count it.
	minUncheckedAge = time.Hour
)

// runPassingOnLosses passes losses that are not checked yet on to a few other instances at once, until the context ends. If this
// instance ends before it has checked the endpoint, they do that.
func (m *Members) runPassingOnLosses(ctx context.Context) {
	calls := make(chan struct{}, maxEvidencePushes)
	var inProgress sync.WaitGroup
	defer inProgress.Wait()
	clock := m.config.Clock
	limit := newExchangeLimit(sustainedLossInterval, lossBurst)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.config.Quarantine.WakeLosses():
		}
		if wait := limit.delay(clock.Now()); wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-clock.After(wait):
			}
		}
		now := clock.Now()
		state := m.config.Quarantine.Losses(now)
		if len(state.Crashes) == 0 {
			continue
		}
		limit.force(now)
		request := encodeEvidence(state)
		request.OnlyNamed = true
		for _, address := range m.roster.Load().sample() {
			select {
			case calls <- struct{}{}:
			default:
				continue
			}
			inProgress.Go(func() {
				defer func() { <-calls }()
				m.sendEvidence(ctx, address, request)
			})
		}
		// Losses that follow within a moment are passed on together.
		select {
		case <-ctx.Done():
			return
		case <-clock.After(minLossExchangeInterval):
		}
	}
}

// encodeCrashAge returns the age of a crash, or of a loss that is not checked yet.
func encodeCrashAge(c quarantine.Crash) *durationpb.Duration {
	if c.Unchecked {
		return durationpb.New(minUncheckedAge + max(c.Age, 0))
	}
	return durationpb.New(c.Age)
}

// decodeCrashAge returns the age, and whether it is that of a loss that is not checked yet.
func decodeCrashAge(age time.Duration) (_ time.Duration, unchecked bool) {
	if age >= minUncheckedAge {
		return age - minUncheckedAge, true
	}
	return age, false
}
