package node

import (
	"context"
	"net/http"
	"time"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

const (
	// watchTimeout is longer than the platform keeps a watch waiting.
	watchTimeout = 30 * time.Second
	// idlePlatformConnections bounds the idle connections kept to the platform.
	idlePlatformConnections = 8
	idleConnectionTimeout   = 30 * time.Second
)

func newPlatformHTTP(c *Config) *objectstore.HTTPStore {
	return objectstore.NewHTTPStore(objectstore.HTTPStoreConfig{
		URL:  c.Settings.PlatformUrl,
		Name: c.Settings.Name,
		Client: &http.Client{Transport: &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: idlePlatformConnections,
			IdleConnTimeout:     idleConnectionTimeout,
		}},
		CallTimeout:  c.Settings.Platform.CallTimeout.AsDuration(),
		WatchTimeout: watchTimeout,
	})
}

// listTap passes the endpoints that the platform lists as leaving to the balancer.
type listTap struct {
	objectstore.InstanceLister
	leaving func(endpoints []string)
}

// Instances implements objectstore.InstanceLister.
func (t listTap) Instances(ctx context.Context) (*api.InstanceList, error) {
	list, err := t.InstanceLister.Instances(ctx)
	if err != nil {
		return nil, err
	}
	var leaving []string
	for _, e := range list.Endpoints {
		if e.Leaving {
			leaving = append(leaving, e.Endpoint)
		}
	}
	t.leaving(leaving)
	return list, nil
}
