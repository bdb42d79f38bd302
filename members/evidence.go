package members

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/quarantine"
	"pumiceshelf/registry"
)

const (
	// evidenceInterval is the longest time between two exchanges of evidence, each with one other instance. They happen also
	// without evidence: an instance that has started or was frozen or cut off learns of it, and one that is cut off notices.
	evidenceInterval = time.Second
	// evidenceJitter is the part of it that is random.
	evidenceJitter = 200 * time.Millisecond
	// firstEvidenceInterval is the time between attempts at the start until one succeeded, maxFirstAttempts their number.
	firstEvidenceInterval = 200 * time.Millisecond
	maxFirstAttempts      = 15
	// maxAskTime bounds how long after the start requests wait until others were asked. If none responds, refusing or delaying all
	// requests for longer would cost more than one that crashes endpoints.
	maxAskTime = time.Second
	// evidencePeersTried bounds the instances that are tried in one exchange until one responds.
	evidencePeersTried = 2
	// skipUnresponsive is how long an instance gets no pushes after one that failed. It asks others.
	skipUnresponsive = 2 * time.Second
	// pushInterval is the minimum time between two pushes of own evidence to all instances. maxEvidencePushes bounds the calls
	// in progress.
	pushInterval      = 150 * time.Millisecond
	maxEvidencePushes = 32
	// contactTimeout is how long after the last contact with another instance this one counts as isolated.
	contactTimeout = 1200 * time.Millisecond
	// failedPushPeriod is how long after a push to which an instance did not respond this one reads the stored evidence. An instance that
	// is cut off from the others may alone have observed some of the crashes; it writes them within about 2 s.
	failedPushPeriod = 5 * time.Second
)

// evidenceContact tells whether this instance exchanges evidence with others, in either direction. It is safe for concurrent
// use.
type evidenceContact struct {
	last atomic.Pointer[time.Time]
	// failed is set if no instance responded to the last exchange.
	failed atomic.Bool
	// unresponsive holds the instances to which a push failed.
	unresponsive unresponsiveSet
	// lastFailedPush is when an instance last did not respond to a push.
	lastFailedPush atomic.Pointer[time.Time]
	// listed is closed once the first listing of instances is there, asked once this instance has asked others after its start.
	listed, asked chan struct{}
}

func (c *evidenceContact) init() { c.listed, c.asked = make(chan struct{}), make(chan struct{}) }

func (c *evidenceContact) record(now time.Time) { c.last.Store(&now) }

// pushFailed reports whether an instance lately did not respond to a push.
func (c *evidenceContact) pushFailed(now time.Time) bool {
	last := c.lastFailedPush.Load()
	return last != nil && now.Sub(*last) <= failedPushPeriod
}

// lost reports whether there was no contact lately.
func (c *evidenceContact) lost(now time.Time) bool {
	last := c.last.Load()
	return c.failed.Load() && (last == nil || now.Sub(*last) > contactTimeout)
}

// AwaitEvidence waits until this instance has asked others for their evidence after its start, at most maxAskTime after it.
func (m *Members) AwaitEvidence(ctx context.Context) {
	select {
	case <-m.contact.asked:
	case <-ctx.Done():
	}
}

// RunExchangingEvidence asks several instances at the start, and then exchanges evidence with a random one about once a second until
// the context ends.
func (m *Members) RunExchangingEvidence(ctx context.Context) error {
	m.askAtStart(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(evidenceInterval - rand.N(evidenceJitter)):
		}
		m.contact.failed.Store(!m.exchangeEvidence(ctx))
	}
}

// askAtStart asks other instances for their evidence until one responds. Requests do not wait if there is none.
func (m *Members) askAtStart(ctx context.Context) {
	var once sync.Once
	release := func() { once.Do(func() { close(m.contact.asked) }) }
	defer release()
	limit := m.config.Clock.AfterFunc(maxAskTime, release)
	defer limit.Stop()
	if len(m.roster.Load().others) == 0 {
		select {
		case <-ctx.Done():
		case <-m.contact.listed:
		case <-m.config.Clock.After(maxAskTime):
		}
	}
	for range maxFirstAttempts {
		responded := m.askForEvidence(ctx)
		if m.contact.failed.Store(!responded); responded {
			return
		}
		if m.isAlone() {
			// Instances that start together do not find each other in the first listing.
			release()
		}
		select {
		case <-ctx.Done():
			return
		case <-m.config.Clock.After(firstEvidenceInterval):
		}
	}
}

// isAlone reports whether the listing has no other instance.
func (m *Members) isAlone() bool {
	select {
	case <-m.contact.listed:
		return len(m.roster.Load().others) == 0
	default:
		return false
	}
}

// askForEvidence exchanges all evidence with several instances at the same time, because some of them may have just started as well.
// It returns false if none responded.
func (m *Members) askForEvidence(ctx context.Context) bool {
	request := encodeEvidence(m.config.Quarantine.Statements(m.config.Clock.Now()))
	var responded atomic.Bool
	var calls sync.WaitGroup
	for _, address := range m.roster.Load().sample() {
		calls.Go(func() {
			if m.sendEvidence(ctx, address, request) {
				responded.Store(true)
			}
		})
	}
	calls.Wait()
	return responded.Load()
}

// exchangeEvidence exchanges all evidence with one other instance. It returns false if none responded.
func (m *Members) exchangeEvidence(ctx context.Context) bool {
	addresses := m.roster.Load().sample()
	for _, address := range addresses[:min(len(addresses), evidencePeersTried)] {
		state := m.config.Quarantine.Statements(m.config.Clock.Now())
		if m.sendEvidence(ctx, address, encodeEvidence(state)) {
			return true
		}
	}
	return false
}

// sendEvidence passes evidence on to an instance and merges its reply. It returns false if there was none.
func (m *Members) sendEvidence(ctx context.Context, address string, request *api.QuarantineEvidence) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	reply, err := api.NewDRPCFleetClient(conn).ExchangeEvidence(ctx, request)
	if err != nil {
		m.config.Log.WithField("address", address).WithError(err).Info("members: exchange of evidence failed")
		return false
	}
	now := m.config.Clock.Now()
	m.contact.record(now)
	m.config.Quarantine.Merge(decodeEvidence(reply), now)
	return true
}

// RunPushingEvidence passes own evidence on to all other instances as soon as there is some, and losses that are not checked yet to a
// few, until the context ends.
func (m *Members) RunPushingEvidence(ctx context.Context) error {
	var losses sync.WaitGroup
	defer losses.Wait()
	losses.Go(func() { m.runPassingOnLosses(ctx) })
	for {
		timer, stop := m.untilJudged()
		select {
		case <-ctx.Done():
			stop()
			return nil
		case <-m.config.Quarantine.Wake():
		case <-timer:
		}
		stop()
		m.config.Quarantine.Judge(m.config.Clock.Now())
		m.pushEvidence(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(pushInterval):
		}
	}
}

// untilJudged returns a channel that receives when there is evidence to judge, and a function that releases it.
func (m *Members) untilJudged() (<-chan time.Time, func()) {
	wait, ok := m.config.Quarantine.UntilJudged(m.config.Clock.Now())
	if !ok {
		return nil, func() {}
	}
	if wait <= 0 {
		// Without a timer of 0 s, see Watch.
		due := make(chan time.Time)
		close(due)
		return due, func() {}
	}
	timer := m.config.Clock.NewTimer(wait)
	return timer.Chan(), func() { timer.Stop() }
}

// pushEvidence passes news on to all other instances. Their replies tell what they know of the parts.
func (m *Members) pushEvidence(ctx context.Context) {
	news := m.config.Quarantine.News(m.config.Clock.Now())
	if len(news.Crashes) == 0 && len(news.Quarantined) == 0 && len(news.Begun) == 0 {
		return
	}
	request := encodeEvidence(news)
	request.OnlyNamed = true
	slots := make(chan struct{}, maxEvidencePushes)
	var calls sync.WaitGroup
	for _, member := range m.roster.Load().others {
		if m.contact.unresponsive.contains(member.PeerAddress, m.config.Clock.Now()) {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			if !m.sendEvidence(ctx, member.PeerAddress, request) {
				now := m.config.Clock.Now()
				m.contact.unresponsive.add(member.PeerAddress, now.Add(skipUnresponsive))
				m.contact.lastFailedPush.Store(&now)
			}
		})
	}
	calls.Wait()
}

// ExchangeEvidence implements the Fleet service.
func (m *Members) ExchangeEvidence(_ context.Context, request *api.QuarantineEvidence) (*api.QuarantineEvidence, error) {
	now := m.config.Clock.Now()
	m.contact.record(now)
	state := decodeEvidence(request)
	reply := m.config.Quarantine.Reply(state, now, request.OnlyNamed)
	m.config.Quarantine.Merge(state, now)
	return encodeEvidence(reply), nil
}

func encodeEvidence(s quarantine.State) *api.QuarantineEvidence {
	out := &api.QuarantineEvidence{}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, &api.EndpointCrash{
			Endpoint: c.Endpoint.ID, Service: c.Endpoint.Service, Address: c.Endpoint.Address, StartedUnixMs: c.Endpoint.StartedUnixMilli,
			SoftwareVersion: c.Endpoint.SoftwareVersion, Age: encodeCrashAge(c), Parts: c.Parts, FirstParts: c.FirstParts, StoredParts: c.StoredParts,
		})
	}
	for _, b := range s.Begun {
		out.Begun = append(out.Begun, &api.BegunPart{Part: b.Part, Age: durationpb.New(b.Age)})
	}
	for _, q := range s.Quarantined {
		out.Quarantined = append(out.Quarantined, &api.QuarantinedPart{
			Part: q.Part, Remaining: durationpb.New(q.Remaining), LastRequestAge: durationpb.New(q.LastRequestAge),
			LastCrashAge: durationpb.New(q.LastCrashAge), Endpoints: q.Endpoints, Stored: q.Stored,
			DecidedBy: q.DecidedBy, Untried: durationpb.New(q.Untried),
		})
	}
	return out
}

func decodeEvidence(e *api.QuarantineEvidence) quarantine.State {
	var out quarantine.State
	for _, c := range e.GetCrashes() {
		age, unchecked := decodeCrashAge(c.Age.AsDuration())
		out.Crashes = append(out.Crashes, quarantine.Crash{
			Endpoint: registry.Endpoint{
				ID: c.Endpoint, Service: c.Service, Address: c.Address, StartedUnixMilli: c.StartedUnixMs, SoftwareVersion: c.SoftwareVersion,
			},
			Age: age, Unchecked: unchecked, Parts: c.Parts, FirstParts: c.FirstParts, StoredParts: c.StoredParts,
		})
	}
	for _, b := range e.GetBegun() {
		out.Begun = append(out.Begun, quarantine.Begun{Part: b.Part, Age: b.Age.AsDuration()})
	}
	for _, q := range e.GetQuarantined() {
		out.Quarantined = append(out.Quarantined, quarantine.Quarantined{
			Verdict: quarantine.Verdict{
				Part: q.Part, Endpoints: q.Endpoints, LastCrashAge: q.LastCrashAge.AsDuration(), Remaining: q.Remaining.AsDuration(),
			},
			LastRequestAge: q.LastRequestAge.AsDuration(), Stored: q.Stored, DecidedBy: q.DecidedBy, Untried: q.Untried.AsDuration(),
		})
	}
	return out
}
