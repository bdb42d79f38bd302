package router

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/fieldcheck"
	"pumiceshelf/internal/commentjson"
)

// Defaults of unset settings. A memory limit of zero counts as unset.
const (
	defaultGrace       = 8 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
	defaultMemoryMB    = 256
)

const (
	// minEvacuationTimeoutMs is the shortest time in which instances can leave the endpoints of a failure domain alone: a change of the
	// store reaches all of them within it (docs/design/relays.md).
	minEvacuationTimeoutMs = 3000
	// maxColdOverage and maxColdSlack are far above what an endpoint can bear, to find values in a wrong unit.
	maxColdOverage, maxColdSlack = 100, 10000
)

// LoadSettings reads settings from a file of JSON with comments, fills in the defaults and validates every field.
func LoadSettings(path string) (*api.RouterSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("router: read settings: %w", err)
	}
	s, err := ParseSettings(text)
	if err != nil {
		return nil, fmt.Errorf("router: invalid settings in %s: %w", path, err)
	}
	return s, nil
}

// ParseSettings parses settings in the format of LoadSettings, fills in the defaults and validates every field.
func ParseSettings(text []byte) (*api.RouterSettings, error) {
	s := &api.RouterSettings{}
	if err := commentjson.Unmarshal(text, s); err != nil {
		return nil, err
	}
	fillDefaults(s)
	if err := checkSettings(s).Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func fillDefaults(s *api.RouterSettings) {
	if s.Grace == nil {
		s.Grace = durationpb.New(defaultGrace)
	}
	if s.RetryWindow == nil {
		s.RetryWindow = durationpb.New(defaultRetryWindow)
	}
	if s.RetryRatio == nil {
		s.RetryRatio = proto.Float64(defaultRetryRatio)
	}
	if s.RetrySlack == nil {
		s.RetrySlack = proto.Float64(defaultRetrySlack)
	}
	if s.MemoryMb == 0 {
		s.MemoryMb = defaultMemoryMB
	}
	if s.Log == nil {
		s.Log = &api.LogSettings{}
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Format == "" {
		s.Log.Format = "json"
	}
}

func checkSettings(s *api.RouterSettings) fieldcheck.Problems {
	var c fieldcheck.Checker
	c.Require(s.Name != "", "name", s.Name, "given")
	c.Require(s.Domain != "", "domain", s.Domain, "given")
	c.Require(validAddress(s.CallerAddress), "callerAddress", s.CallerAddress, "an IP address and port")
	c.Require(validAddress(s.ReadyAddress), "readyAddress", s.ReadyAddress, "an IP address and port")
	c.Require(validAddress(s.PeerAddress), "peerAddress", s.PeerAddress, "an IP address and port")
	c.Require(validAddress(s.StoreAddress), "storeAddress", s.StoreAddress, "an IP address and port")
	for i, seed := range s.SeedPeers {
		c.Require(validAddress(seed), fmt.Sprintf("seedPeers[%d]", i), seed, "an IP address and port")
	}
	c.Require(s.Grace.AsDuration() > 0, "grace", s.Grace.AsDuration(), "over 0 s")
	c.Require(s.RetryWindow.AsDuration() > 0, "retryWindow", s.RetryWindow.AsDuration(), "over 0 s")
	c.Require(*s.RetryRatio >= 0 && *s.RetryRatio <= 1, "retryRatio", *s.RetryRatio, "from 0 to 1")
	c.Require(*s.RetrySlack >= 0, "retrySlack", *s.RetrySlack, "0 or more")
	c.Require(s.EvacuationTimeoutMs == 0 || s.EvacuationTimeoutMs >= minEvacuationTimeoutMs, "evacuationTimeoutMs", s.EvacuationTimeoutMs, "3000 or more, or not given")
	c.Require(s.ColdOverage >= 0 && s.ColdOverage <= maxColdOverage, "coldOverage", s.ColdOverage, "from 0 to 100")
	c.Require(s.ColdSlack >= 0 && s.ColdSlack <= maxColdSlack, "coldSlack", s.ColdSlack, "from 0 to 10000 requests")
	c.Require(s.ColdOverage > 0 || s.ColdSlack == 0, "coldSlack", s.ColdSlack, "0 unless coldOverage is given")
	c.Require(s.LinkMbps >= 0, "linkMbps", s.LinkMbps, "0 or more")
	c.Require(s.MemoryMb >= 16, "memoryMb", s.MemoryMb, "16 or more")
	c.Require(s.Log.Format == "json" || s.Log.Format == "text", "log.format", s.Log.Format, "json or text")
	return c.Problems()
}

func validAddress(text string) bool {
	a, err := netip.ParseAddrPort(text)
	return err == nil && a.Port() != 0
}
