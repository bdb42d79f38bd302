package router

import (
	"context"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/members"
	"pumiceshelf/objectstore"
	"pumiceshelf/prepaid"
	"pumiceshelf/telemetry"
)

// callReportInterval is the time between two log lines about the calls to the store.
const callReportInterval = 10 * time.Second

var (
	descConfigurationCalls = telemetry.Describe("router.store_calls.configuration", "calls", "Calls to the store for the configuration.")
	descEndpointCalls      = telemetry.Describe("router.store_calls.endpoints", "calls", "Calls to the store for the entries of endpoints.")
	descEvacuationCalls    = telemetry.Describe("router.store_calls.evacuations", "calls", "Calls to the store for evacuated failure domains.")
	descMemberCalls        = telemetry.Describe("router.store_calls.members", "calls", "Calls to the store for the list of instances, most of which may be answered from a copy.")
	descLedgerCalls        = telemetry.Describe("router.store_calls.ledger", "calls", "Calls to the store for the ledger of prepaid budgets.")
	descEvidenceCalls      = telemetry.Describe("router.store_calls.evidence", "calls", "Calls to the store for evidence about requests that crash endpoints.")
	descOtherCalls         = telemetry.Describe("router.store_calls.other", "calls", "Other calls to the store.")
	descFailedCalls        = telemetry.Describe("router.store_calls.failed", "calls", "Calls to the store, of any purpose, without a usable response.")
)

// callCounts counts the calls to the store by purpose.
type callCounts struct {
	next                                                       Platform
	configurationCollection, endpointsCollection               string
	evacuationsCollection                                      string
	evacuations                                                metrics.Counter
	configuration, endpoints, members, ledger, evidence, other metrics.Counter
	failed                                                     metrics.Counter
}

func newCallCounts(next Platform, d Decoder, r metrics.Registry) *callCounts {
	return &callCounts{
		next: next, configurationCollection: d.ConfigurationCollection(), endpointsCollection: d.EndpointsCollection(),
		evacuationsCollection: d.EvacuationsCollection(), evacuations: descEvacuationCalls.Counter(r),
		configuration: descConfigurationCalls.Counter(r), endpoints: descEndpointCalls.Counter(r), members: descMemberCalls.Counter(r),
		ledger: descLedgerCalls.Counter(r), evidence: descEvidenceCalls.Counter(r), other: descOtherCalls.Counter(r),
		failed: descFailedCalls.Counter(r),
	}
}

// count counts a call for a key or a collection that has ended with err.
func (c *callCounts) count(keyOrCollection string, err error) {
	collection, _, _ := strings.Cut(keyOrCollection, "/")
	ledgerCollection, _, _ := strings.Cut(prepaid.LedgerKey, "/")
	evidenceCollection, _, _ := strings.Cut(members.EvidenceKey, "/")
	counter := c.other
	switch collection {
	case c.configurationCollection:
		counter = c.configuration
	case c.endpointsCollection:
		counter = c.endpoints
	case c.evacuationsCollection:
		counter = c.evacuations
	case members.Collection:
		counter = c.members
	case ledgerCollection:
		counter = c.ledger
	case evidenceCollection:
		counter = c.evidence
	}
	counter.Inc(1)
	if err != nil && objectstore.IsOutage(err) {
		c.failed.Inc(1)
	}
}

// reportCalls logs the calls since the start of the process every callReportInterval until the context ends.
func (r *Router) reportCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.config.Clock.After(callReportInterval):
		}
		c := r.calls
		logger := log.Interface(r.config.Log)
		if r.evacuates() {
			logger = logger.WithField("evacuations", c.evacuations.Count())
		}
		logger.WithFields(log.Fields{
			"configuration": c.configuration.Count(), "endpoints": c.endpoints.Count(), "members": c.members.Count(), "ledger": c.ledger.Count(),
			"evidence": c.evidence.Count(), "other": c.other.Count(), "failed": c.failed.Count(),
		}).Info("router: calls to the store since the start")
	}
}

// Get implements objectstore.Store.
func (c *callCounts) Get(ctx context.Context, key string) (objectstore.Object, error) {
	o, err := c.next.Get(ctx, key)
	c.count(key, err)
	return o, err
}

// List implements objectstore.Store.
func (c *callCounts) List(ctx context.Context, prefix, after string, limit int) ([]objectstore.Object, error) {
	l, err := c.next.List(ctx, prefix, after, limit)
	c.count(prefix, err)
	return l, err
}

// Put implements objectstore.Store.
func (c *callCounts) Put(ctx context.Context, key string, value []byte, expected objectstore.Version) (objectstore.Version, error) {
	v, err := c.next.Put(ctx, key, value, expected)
	c.count(key, err)
	return v, err
}

// Delete implements objectstore.Store.
func (c *callCounts) Delete(ctx context.Context, key string, expected objectstore.Version) error {
	err := c.next.Delete(ctx, key, expected)
	c.count(key, err)
	return err
}

// Watch implements objectstore.Store.
func (c *callCounts) Watch(ctx context.Context, key string, after objectstore.Version) (objectstore.Object, error) {
	o, err := c.next.Watch(ctx, key, after)
	c.count(key, err)
	return o, err
}

// ListAll implements objectstore.Collections.
func (c *callCounts) ListAll(ctx context.Context, collection string) (objectstore.Listing, error) {
	l, err := c.next.ListAll(ctx, collection)
	c.count(collection, err)
	return l, err
}

// ListAllowStale implements objectstore.Collections.
func (c *callCounts) ListAllowStale(ctx context.Context, collection string) (objectstore.Listing, error) {
	l, err := c.next.ListAllowStale(ctx, collection)
	c.count(collection, err)
	return l, err
}

// WatchAll implements objectstore.Collections.
func (c *callCounts) WatchAll(ctx context.Context, collection string, after objectstore.Revision, wait time.Duration) (objectstore.Changes, error) {
	changes, err := c.next.WatchAll(ctx, collection, after, wait)
	c.count(collection, err)
	return changes, err
}
