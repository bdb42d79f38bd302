package main

import (
	"fmt"
	"time"
)

// The configuration of all cases: an engine service with two kinds of streams, and a plain one, as on the pages' sites.
const (
	host      = "ficu95.example"
	keyOne    = "xd9dnn2ctnfzs989anu6"
	tenantOne = "huka270"
)

type obj = map[string]any

// configuration returns a configuration of the operator. prepaid is the total of the tenant, negative for none.
func configuration(version int, prepaid int64) obj {
	tenant := obj{"name": tenantOne, "api_keys": []string{keyOne}, "priority": 1}
	if prepaid >= 0 {
		tenant["prepaid"] = prepaid
	}
	return obj{
		"version": version,
		"routes": []obj{
			{"name": "r-stream", "host": host, "path_prefix": "/lohu930/", "mode": "streaming", "timeout_ms": 6000, "slo_ms": 500, "priority": 0, "service": "huvo11a", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 250},
			{"name": "r-night", "host": host, "path_prefix": "/pufi791/", "mode": "streaming", "timeout_ms": 15000, "slo_ms": 800, "priority": 1, "service": "huvo11a", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "gap_aim_ms": 250},
			{"name": "r-unsafe", "host": host, "path_prefix": "/pule252/", "mode": "non_idempotent", "timeout_ms": 3000, "slo_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 1, "public": false, "sticky": false, "resumable": false},
			{"name": "r-safe", "host": host, "path_prefix": "/puxa403/", "mode": "idempotent", "timeout_ms": 3000, "slo_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": false, "sticky": false, "resumable": false},
		},
		"services": []obj{
			{"name": "huvo11a", "health_path": "/healthz", "max_conns": 630, "protocol": "h1", "tls": false, "engine": obj{"slots": 128, "kv_capacity": 547324, "kv_token_bytes": 35136, "link_mbps": 180000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []obj{{"name": "m"}}}},
			{"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  obj{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []obj{tenant},
	}
}

var zones = []string{"hall-a", "hall-b", "hall-c"}

// setUp starts servers and instances, one of each in each zone, and waits until all are ready.
func (f *fleet) setUp(prepaid int64) error {
	for i, zone := range zones {
		if err := f.addServer(&server{id: fmt.Sprintf("i-engine%d", i+1), service: "huvo11a", zone: zone, slots: 128, stride: 4, firstEvent: 20 * time.Millisecond, gap: 5 * time.Millisecond}); err != nil {
			return err
		}
		if err := f.addServer(&server{id: fmt.Sprintf("i-desk%d", i+1), service: "wuno96b", zone: zone, slots: 6, firstEvent: 15 * time.Millisecond}); err != nil {
			return err
		}
	}
	for i := range f.moreEngines {
		if err := f.addServer(&server{id: fmt.Sprintf("i-engine%d", len(zones)+i+1), service: "huvo11a", zone: zones[i%len(zones)], slots: 128, stride: 4, firstEvent: 20 * time.Millisecond, gap: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	f.store.set("config/main", configuration(7, prepaid))
	f.beat()
	if f.ownPaths {
		v, err := f.newView()
		if err != nil {
			return err
		}
		f.viewOfFirst = v
	}
	if err := f.addInstances(zones...); err != nil {
		return err
	}
	for _, in := range f.instances {
		if err := f.start(in); err != nil {
			return err
		}
	}
	for _, in := range f.instances {
		if err := in.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10*time.Second - time.Since(f.rec.start))
	return nil
}
