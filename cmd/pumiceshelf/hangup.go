package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
)

// notifyHangups returns a channel that receives each SIGHUP from now until the process ends. Without a receiver, the signal ends the
// process at once.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// checkSettingsOnHangup validates the settings file on every SIGHUP and logs the result, until the context ends. It does not apply the
// settings.
func checkSettingsOnHangup(ctx context.Context, hangups <-chan os.Signal, file string, logger log.Interface, load func(file string) error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			entry := logger.WithField("file", file)
			if err := load(file); err != nil {
				entry.WithError(err).Error("settings: file is invalid")
			} else {
				entry.Info("settings: file is valid")
			}
		}
	}
}
