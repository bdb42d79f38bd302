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
	// storeCallTimeout bounds a call to the platform's store, which answers in milliseconds and in a quarter of a second
	// when it is slow.
	storeCallTimeout = time.Second
	// idleStoreConnections bounds the idle connections to the store: two watches, the ledger and the list of instances.
	idleStoreConnections = 6
	// storeCallsPerSecond bounds an instance's calls on average: several times what it makes when budgets run short, and
	// a small part of the rate that all instances share.
	storeCallsPerSecond = 60
	// memoryPart is the part of the memory that the garbage collector aims to stay in.
	memoryPart = 0.6
)

type routeCommand struct {
	Settings string `long:"settings" env:"PUMICESHELF_CONFIG" required:"true" description:"file with the settings of the instance"`
	Check    bool   `long:"check" description:"only check the settings"`
}

// Execute implements flags.Commander.
func (c *routeCommand) Execute([]string) error {
	s, err := router.LoadSettings(c.Settings)
	if err != nil || c.Check {
		return err
	}
	registry := metrics.NewRegistry()
	sink := logsink.New(os.Stdout, s.Log.Format, registry)
	logger := &log.Logger{Handler: sink, Level: log.MustParseLevel(s.Log.Level)}
	logging, stopLogging := context.WithCancel(context.Background())
	written := make(chan struct{})
	go func() {
		defer close(written)
		sink.Run(logging)
	}()
	defer func() {
		stopLogging()
		<-written
	}()
	debug.SetMemoryLimit(int64(s.MemoryMb * memoryPart * (1 << 20)))

	dialer := gateway.NewDialer()
	objects := platform.NewObjectStore(s.StoreAddress, &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleStoreConnections,
	}}, storeCallTimeout)
	clock := clockwork.NewRealClock()
	store := objectstore.NewClient(objectstore.ClientConfig{
		Settings: &api.PlatformSettings{CallsPerSecond: storeCallsPerSecond}, Clock: clock, Metrics: registry,
		Store: objects, Collections: objects,
	})
	r := router.New(router.Config{
		Settings: s, Store: store, Decoder: platform.Decoder{}, Wire: platform.Headers{},
		Clock: clock, Log: logger, Metrics: registry,
	})
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go c.watchSettings(ctx, logger)
	return r.Run(ctx)
}

// watchSettings checks the settings file again on SIGHUP.
func (c *routeCommand) watchSettings(ctx context.Context, logger log.Interface) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			_, err := router.LoadSettings(c.Settings)
			entry := logger.WithField("file", c.Settings)
			if err != nil {
				entry.WithError(err).Error("router: new settings refused")
			} else {
				entry.Info("router: settings read again")
			}
		}
	}
}
