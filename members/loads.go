package members

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/endpointload"
	"pumiceshelf/registry"
	"pumiceshelf/telemetry"
)

const (
	// loadExchangeInterval is the mean time between two exchanges of load reports. With an exchange of both directions, a report
	// reaches a domain of 30 instances in about four intervals, within the time that it describes the queue of an endpoint.
	loadExchangeInterval = 500 * time.Millisecond
	// fleetExchangePeriod is how many exchanges stay in the failure domain for one with any instance. Messages between domains
	// cross slower links.
	fleetExchangePeriod = 4
	// skipLoads is how long an instance is skipped after maxFailedLoads exchanges with it failed one after the other: a restart takes
	// about as long. A single lost message is no evidence of that.
	skipLoads      = 2 * time.Second
	maxFailedLoads = 2
	// skipEarlierRelease is how long an instance is skipped that does not know the exchange. It is of the previous release, and is
	// replaced within minutes.
	skipEarlierRelease = 30 * time.Second
)

var (
	descLoadExchanges = telemetry.Describe("endpointload.exchanges", "exchanges", "Exchanges of load reports with another instance that this one began.")
	descLoadFailures  = telemetry.Describe("endpointload.exchanges.failed", "exchanges", "Those to which the other instance did not respond, or with an error.")
	descLoadMerged    = telemetry.Describe("endpointload.statements.merged", "statements", "Load reports passed on by other instances that were newer than the known ones.")
	descObserved      = telemetry.Describe("endpointload.observations", "observations", "Observed streams, of this instance and of others, from which the speed of an endpoint is estimated.")
	descOutliers      = telemetry.Describe("endpointload.observations.dropped", "observations", "Those that were dropped because of impossible values or because they differ too much from the estimate.")
	descLoadDropped   = telemetry.Describe("endpointload.statements.dropped", "statements", "Load reports passed on by other instances that were dropped because of impossible values or too many endpoints.")
)

// loadExchange is the state of the exchanges of load reports that this instance begins.
type loadExchange struct {
	skipped unresponsiveSet
	// failures counts the failed exchanges with an instance since the last one that did not fail. transit is how long the last
	// exchange took. Only the goroutine that begins the exchanges uses them.
	failures map[string]int
	transit  time.Duration

	exchanges, failed, merged, dropped, observed, outliers metrics.Counter
	// mu guards counted, the part of the table's counts that the metrics contain.
	mu      sync.Mutex
	counted endpointload.Counts
}

func (l *loadExchange) init(r metrics.Registry) {
	l.failures = make(map[string]int)
	l.exchanges, l.failed = descLoadExchanges.Counter(r), descLoadFailures.Counter(r)
	l.merged, l.dropped = descLoadMerged.Counter(r), descLoadDropped.Counter(r)
	l.observed, l.outliers = descObserved.Counter(r), descOutliers.Counter(r)
}

// recordFailure records that an exchange with an instance failed.
func (l *loadExchange) recordFailure(address string, err error, now time.Time) {
	l.failed.Inc(1)
	l.failures[address]++
	switch {
	case isUnknownMethod(err):
		l.skipped.add(address, now.Add(skipEarlierRelease))
	case l.failures[address] >= maxFailedLoads:
		l.skipped.add(address, now.Add(skipLoads))
	default:
		return
	}
	delete(l.failures, address)
}

// isUnknownMethod reports whether an instance returned the error because it does not know the method that was called.
func isUnknownMethod(err error) bool { return strings.Contains(err.Error(), "unknown rpc") }

// RunExchangingLoads exchanges load reports with other instances while endpoints report work times, until the context ends.
func (m *Members) RunExchangingLoads(ctx context.Context) error {
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return nil
		case <-m.config.Clock.After(loadExchangeInterval/2 + rand.N(loadExchangeInterval)):
			m.exchangeLoads(ctx, n%fleetExchangePeriod != 0)
		}
	}
}

// exchangeLoads exchanges load reports with a random instance, of this one's failure domain if ownDomain is set and it has others.
func (m *Members) exchangeLoads(ctx context.Context, ownDomain bool) {
	if !m.config.Loads.Active(m.config.Clock.Now()) {
		return
	}
	sentAt := m.config.Clock.Now()
	address := m.roster.Load().randomPeer(m.config.Self.Domain, ownDomain, func(address string) bool {
		return m.loads.skipped.contains(address, sentAt)
	})
	if address == "" {
		return
	}
	m.loads.exchanges.Inc(1)
	// The receiver does not know how long the message takes. The time of the last whole exchange bounds it while the network is calm.
	reply, err := m.callExchangeLoads(ctx, address, encodeReports(m.config.Loads.Statements(sentAt), m.loads.transit))
	now := m.config.Clock.Now()
	if err != nil {
		m.config.Log.WithField("address", address).WithError(err).Debug("members: exchange of load reports failed")
		m.loads.recordFailure(address, err, now)
		return
	}
	delete(m.loads.failures, address)
	// The time of the whole call bounds that of the reply.
	m.loads.transit = now.Sub(sentAt)
	m.mergeLoads(decodeReports(reply, m.loads.transit), now)
}

// mergeLoads merges load reports of another instance and counts them.
func (m *Members) mergeLoads(list []endpointload.Statement, now time.Time) {
	m.config.Loads.Merge(list, now)
	m.loads.mu.Lock()
	defer m.loads.mu.Unlock()
	counts := m.config.Loads.Counts()
	m.loads.merged.Inc(counts.Merged - m.loads.counted.Merged)
	m.loads.dropped.Inc(counts.Dropped - m.loads.counted.Dropped)
	m.loads.observed.Inc(counts.Observed - m.loads.counted.Observed)
	m.loads.outliers.Inc(counts.Outliers - m.loads.counted.Outliers)
	m.loads.counted = counts
}

func (m *Members) callExchangeLoads(ctx context.Context, address string, request *api.EndpointReports) (*api.EndpointReports, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := m.pool.Get(ctx, address, m.dialPeer)
	defer conn.Close()
	return api.NewDRPCFleetClient(conn).ExchangeLoads(ctx, request)
}

// ExchangeLoads implements the Fleet service.
func (m *Members) ExchangeLoads(_ context.Context, request *api.EndpointReports) (*api.EndpointReports, error) {
	now := m.config.Clock.Now()
	reply := encodeReports(m.config.Loads.Statements(now), 0)
	m.mergeLoads(decodeReports(request, 0), now)
	return reply, nil
}

// encodeReports encodes reports that will be extraAge on the way.
func encodeReports(list []endpointload.Statement, extraAge time.Duration) *api.EndpointReports {
	out := &api.EndpointReports{}
	for _, s := range list {
		out.Loads = append(out.Loads, &api.EndpointReport{
			Endpoint: s.Endpoint.ID, Service: s.Endpoint.Service, Address: s.Endpoint.Address, StartedUnixMs: s.Endpoint.StartedUnixMilli,
			SoftwareVersion: s.Endpoint.SoftwareVersion, Running: int32(s.Running), Waiting: int32(s.Waiting), Slots: int32(s.Slots),
			WorkTime: s.WorkTime, Age: durationpb.New(s.Age + extraAge),
		})
		if s.Observation != (endpointload.Observation{}) {
			encodeObservation(out.Loads[len(out.Loads)-1], s.Observation, s.ObservationAge+extraAge)
		}
	}
	return out
}

// encodeObservation adds an observation to a report. Its values fit because package endpointload bounds them.
func encodeObservation(to *api.EndpointReport, o endpointload.Observation, age time.Duration) {
	to.PrefillRate, to.EventGapUs = uint32(o.PrefillRate), uint32(o.EventGap/time.Microsecond)
	to.ObservationAgeMs = uint32(age / time.Millisecond)
}

// decodeReports decodes reports that were extraAge on the way.
func decodeReports(m *api.EndpointReports, extraAge time.Duration) []endpointload.Statement {
	var out []endpointload.Statement
	for _, l := range m.GetLoads() {
		out = append(out, endpointload.Statement{
			Endpoint: registry.Endpoint{
				ID: l.Endpoint, Service: l.Service, Address: l.Address, StartedUnixMilli: l.StartedUnixMs, SoftwareVersion: l.SoftwareVersion,
			},
			Report: endpointload.Report{Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots), WorkTime: l.WorkTime},
			Age:    l.Age.AsDuration() + extraAge,
			Observation: endpointload.Observation{
				PrefillRate: int(l.PrefillRate), EventGap: time.Duration(l.EventGapUs) * time.Microsecond,
			},
			ObservationAge: time.Duration(l.ObservationAgeMs)*time.Millisecond + extraAge,
		})
	}
	return out
}
