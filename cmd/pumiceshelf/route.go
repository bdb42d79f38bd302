package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"pumiceshelf/api"
	"pumiceshelf/gateway"
	"pumiceshelf/logsink"
	"pumiceshelf/objectstore"
	"pumiceshelf/platform"
	"pumiceshelf/router"
)

const (
	// storeCallTimeout bounds the time to the response of the platform's object store. Calls take milliseconds, or 250 ms
	// if the store is slow.
	storeCallTimeout = time.Second
	// storeDialTimeout bounds the time to connect to it. Packets may wait for half a second at the link of an instance, and a
	// connection attempt that begins during a partition must not outlast it for long.
	storeDialTimeout = 600 * time.Millisecond
	// maxIdleStoreConnections covers two watches, ledger access and the list of instances.
	maxIdleStoreConnections = 6
	// maxStoreHeaderBytes limits the size of the header of a response of the store, which has a few hundred bytes.
	maxStoreHeaderBytes = 64 << 10
	// storeCallsPerSecond limits the average call rate of one instance. It is several times the rate needed when
	// budgets are nearly exhausted, and a small part of the rate limit that all instances share.
	storeCallsPerSecond = 60
	// memoryLimitFraction is the fraction of the configured memory that is set as the soft limit of the Go runtime.
	memoryLimitFraction = 0.6
)

// memoryLimit returns the soft limit of the Go runtime in bytes for a process that may use so many megabytes.
func memoryLimit(megabytes float64) int64 { return int64(megabytes * memoryLimitFraction * (1 << 20)) }

type routeCommand struct {
	Settings string `long:"settings" env:"PUMICESHELF_CONFIG" required:"true" description:"file with the settings of the instance"`
	Check    bool   `long:"check" description:"only check the settings"`
}

// Execute implements flags.Commander.
func (c *routeCommand) Execute([]string) error {
	// SIGHUP must not end the process while it starts or drains either.
	hangups := notifyHangups()
	s, err := router.LoadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	registry := metrics.NewRegistry()
	sink := logsink.New(os.Stdout, s.Log.Format, registry)
	logger := &log.Logger{Handler: sink, Level: log.MustParseLevel(s.Log.Level)}
	logsink.CaptureStandard(logger)
	sinkCtx, stopSink := context.WithCancel(context.Background())
	sinkDone := make(chan struct{})
	go func() {
		defer close(sinkDone)
		sink.Run(sinkCtx)
	}()
	defer func() {
		stopSink()
		<-sinkDone
	}()
	debug.SetMemoryLimit(memoryLimit(s.MemoryMb))

	clock := clockwork.NewRealClock()
	dialer := gateway.NewDialer(gateway.MaxUnackedTime)
	dialer.Timeout = storeDialTimeout
	objects := platform.NewObjectStore(s.StoreAddress, &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleStoreConnections, MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}}, clock, storeCallTimeout)
	store := objectstore.NewClient(objectstore.ClientConfig{
		Settings: &api.PlatformSettings{CallsPerSecond: storeCallsPerSecond}, Clock: clock, Metrics: registry,
		Store: objects, Collections: objects,
	})
	r := router.New(router.Config{
		Settings: s, Store: store, Decoder: platform.Decoder{}, Headers: platform.Headers{}, Reports: platform.Reports{}, SharesAllLoads: platform.SharesLoadReports(s.DeploymentFeatures),
		Clock: clock, Log: logger, Metrics: registry,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go checkSettingsOnHangup(sinkCtx, hangups, c.Settings, logger, func(file string) error {
		_, err := router.LoadSettings(file)
		return err
	})
	return r.Run(ctx)
}
