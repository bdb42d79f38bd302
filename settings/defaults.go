// Package settings loads the settings of an instance, fills in the defaults and validates the result.
package settings

import (
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
)

// Default returns settings with all default values. Fields without a default are empty.
func Default() *api.Settings {
	return &api.Settings{
		Log: &api.LogSettings{Level: "info", Format: "text"},
		Budget: &api.BudgetSettings{
			OutageToRideOut: durationpb.New(20 * time.Minute),
			CeilingAhead:    durationpb.New(2 * time.Second),
			SettleWait:      durationpb.New(2 * time.Second),
			FlushInterval:   durationpb.New(time.Second),
			OrphanAfter:     durationpb.New(30 * time.Second),
			FoldInterval:    durationpb.New(time.Minute),
		},
		Claim: &api.ClaimSettings{
			Shards:           16,
			Retention:        durationpb.New(24 * time.Hour),
			AnswerLimitBytes: 16 << 10,
			ClaimWait:        durationpb.New(2 * time.Second),
		},
		Admission: &api.AdmissionSettings{
			QueueLimit:      256,
			QueueBytes:      64 << 20,
			DefaultDeadline: durationpb.New(60 * time.Second),
		},
		Route: &api.RouteSettings{
			InitialConcurrency: 8,
			EjectAfterFailures: 5,
			EjectionTime:       durationpb.New(5 * time.Second),
			RetryPercent:       10,
			ReportInterval:     durationpb.New(time.Second),
		},
		Peer: &api.PeerSettings{
			HeartbeatInterval: durationpb.New(500 * time.Millisecond),
			FailureTimeout:    durationpb.New(2 * time.Second),
			HeartbeatFanout:   8,
		},
		Server: &api.ServerSettings{
			BodyLimitBytes:  8 << 20,
			ReadTimeout:     durationpb.New(10 * time.Second),
			ProgressTimeout: durationpb.New(10 * time.Second),
			DrainTimeout:    durationpb.New(60 * time.Second),
			RequestLimit:    4096,
		},
		Platform: &api.PlatformSettings{CallsPerSecond: 50, CallTimeout: durationpb.New(2 * time.Second)},
		Bundle:   &api.BundleSettings{PollInterval: durationpb.New(30 * time.Second)},
	}
}
