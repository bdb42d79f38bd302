package bundle

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/instance"
)

const (
	// maxCapTokens bounds the caps and bounds of a model in tokens.
	maxCapTokens = 1 << 32
	// maxConcurrentLoads bounds the setting concurrentLoads.
	maxConcurrentLoads = 1000
	// maxConcurrency bounds the rated concurrency of an endpoint.
	maxConcurrency = 1 << 20
	// maxServiceTimeout bounds the timeout of a plain service.
	maxServiceTimeout = time.Hour
	// clientAPIPrefix is the path prefix of the client API, which no service may shadow.
	clientAPIPrefix = "/v1/"
)

// checkFleet checks the fleet part: models, services and settings that belong to no customer or endpoint.
func checkFleet(check *fieldcheck.Checker, f *api.FleetPart) {
	check.Require(f.ConcurrentLoads <= maxConcurrentLoads, "concurrentLoads", f.ConcurrentLoads, fmt.Sprintf("at most %d", maxConcurrentLoads))
	checkModels(check, f.Models)
	checkServices(check, f.Services)
	checkDistinct(check, "retiredIncarnations", f.RetiredIncarnations)
	for i, s := range f.RetiredIncarnations {
		name := instance.Incarnation(s).Name()
		check.Require(name != "" && name != s, fmt.Sprintf("retiredIncarnations[%d]", i), s, "an incarnation: name~id, as shown by status")
	}
}

func checkModels(check *fieldcheck.Checker, models []*api.Model) {
	ids := make(map[string]bool)
	for i, m := range models {
		path := itemPath("models", m.Id, i)
		checkModelID(check, path+".id", m.Id)
		check.Require(!ids[m.Id], path+".id", m.Id, "an id that no other model has")
		ids[m.Id] = true
		check.Require(m.MaxCapTokens >= 1 && m.MaxCapTokens <= maxCapTokens, path+".maxCapTokens", m.MaxCapTokens, fmt.Sprintf("from 1 to %d", uint64(maxCapTokens)))
		check.Require(m.DefaultCapTokens >= 1 && m.DefaultCapTokens <= m.MaxCapTokens, path+".defaultCapTokens", m.DefaultCapTokens,
			fmt.Sprintf("from 1 to maxCapTokens, %d", m.MaxCapTokens))
		check.Require(m.ImageBoundTokens <= maxCapTokens, path+".imageBoundTokens", m.ImageBoundTokens, fmt.Sprintf("at most %d", uint64(maxCapTokens)))
		check.Require(m.TemplateBoundTokens <= maxCapTokens, path+".templateBoundTokens", m.TemplateBoundTokens, fmt.Sprintf("at most %d", uint64(maxCapTokens)))
		checkDistinct(check, path+".adapters", m.Adapters)
	}
}

func checkServices(check *fieldcheck.Checker, services []*api.Service) {
	ids := make(map[string]bool)
	prefixes := make(map[string]bool)
	for i, v := range services {
		path := itemPath("services", v.Id, i)
		checkID(check, path+".id", v.Id)
		check.Require(!ids[v.Id], path+".id", v.Id, "an id that no other service has")
		check.Require(!prefixes[v.PathPrefix], path+".pathPrefix", v.PathPrefix, "a prefix that no other service has")
		ids[v.Id], prefixes[v.PathPrefix] = true, true
		checkPrefix(check, path+".pathPrefix", v.PathPrefix)
		checkMethods(check, path+".nonIdempotentMethods", v.NonIdempotentMethods)
		timeout := v.Timeout.AsDuration()
		check.Require(timeout > 0 && timeout <= maxServiceTimeout, path+".timeout", timeout, fmt.Sprintf("over 0s, at most %s", maxServiceTimeout))
	}
}

func checkPrefix(check *fieldcheck.Checker, path, prefix string) {
	shadows := strings.HasPrefix(prefix, clientAPIPrefix) || strings.HasPrefix(clientAPIPrefix, prefix)
	u, err := url.Parse(prefix)
	plain := err == nil && u.Path == prefix && !strings.Contains(prefix, "//") && !strings.Contains(prefix, "/.")
	check.Require(strings.HasPrefix(prefix, "/") && plain && !shadows, path, prefix, "a path such as /plans/ that does not overlap "+clientAPIPrefix)
}

func checkMethods(check *fieldcheck.Checker, path string, methods []string) {
	checkDistinct(check, path, methods)
	for i, m := range methods {
		check.Require(isKnownMethod(m), fmt.Sprintf("%s[%d]", path, i), m, "an HTTP method in capital letters")
	}
}

func isKnownMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

// checkEndpoints checks all endpoints against the models and services of the snapshot.
func checkEndpoints(check *fieldcheck.Checker, endpoints []*api.Endpoint, s *Snapshot) {
	services := make(map[string]bool)
	for _, v := range s.services {
		services[v.ID] = true
	}
	ids := make(map[string]bool)
	urls := make(map[string]string)
	for i, e := range endpoints {
		path := itemPath("endpoints", e.Id, i)
		check.Require(!ids[e.Id], path+".id", e.Id, "an id that no other endpoint has")
		ids[e.Id] = true
		other, duplicate := urls[e.Url]
		check.Require(!duplicate, path+".url", e.Url, "a URL that no other endpoint has; endpoint "+other+" has it")
		urls[e.Url] = e.Id
		checkEndpoint(check, path, e, s.models)
		check.Require(e.Service == "" || services[e.Service], path+".service", e.Service, "the id of a service of the bundle")
	}
}

func checkEndpoint(check *fieldcheck.Checker, path string, e *api.Endpoint, models map[string]*Model) {
	checkID(check, path+".id", e.Id)
	checkID(check, path+".domain", e.Domain)
	checkURL(check, path+".url", e.Url)
	if e.Role != "" {
		checkID(check, path+".role", e.Role)
	}
	check.Require(e.Concurrency <= maxConcurrency, path+".concurrency", e.Concurrency, fmt.Sprintf("at most %d", maxConcurrency))
	check.Require((len(e.Models) > 0) != (e.Service != ""), path, fmt.Sprintf("%d models and service %q", len(e.Models), e.Service),
		"an endpoint of either models or one service")
	checkDistinct(check, path+".models", e.Models)
	for i, m := range e.Models {
		check.Require(models[m] != nil, fmt.Sprintf("%s.models[%d]", path, i), m, "the id of a model of the bundle")
	}
}

func checkURL(check *fieldcheck.Checker, path, text string) {
	check.Require(validURL(text), path, text, "http:// or https:// with an IP address, a port and no path")
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	if u.Path != "" {
		return false
	}
	host, port, err := net.SplitHostPort(u.Host)
	if err != nil {
		return false
	}
	_, err = netip.ParseAddrPort(net.JoinHostPort(host, port))
	return err == nil && port != "0"
}
