package node

import (
	"context"
	"net/http"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

const (
	// watchTimeout exceeds the time for which the platform holds a watch request open.
	watchTimeout               = 30 * time.Second
	maxIdlePlatformConnections = 8
	idleConnectionTimeout      = 30 * time.Second
)

func newPlatformStore(c *Config) *objectstore.HTTPStore {
	return objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
		URL:  c.Settings.PlatformUrl,
		Name: c.Settings.Name,
		Client: &http.Client{Transport: &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: maxIdlePlatformConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}},
		CallTimeout:  c.Settings.Platform.CallTimeout.AsDuration(),
		WatchTimeout: watchTimeout,
	})
}

// drainingLister passes the endpoints that the platform lists as draining to onDraining.
type drainingLister struct {
	objectstore.InstanceLister
	onDraining func(endpoints []string)
}

// Instances implements objectstore.InstanceLister.
func (l drainingLister) Instances(ctx context.Context) (*api.InstanceList, error) {
	list, err := l.InstanceLister.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var draining []string
	for _, e := range list.Endpoints {
		if e.Leaving {
			draining = append(draining, e.Endpoint)
		}
	}
	l.onDraining(draining)
	return list, nil
}
