package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/fieldcheck"
)

const (
	// maxDuration bounds every duration setting.
	maxDuration = 30 * 24 * time.Hour
	// maxShards bounds the number of claim shards.
	maxShards = 1024
	// maxStoredResponseBytes bounds the response body stored with a request's outcome.
	maxStoredResponseBytes = 256 << 10
	// maxCount bounds settings that count things, such as queue entries or requests.
	maxCount = 1 << 20
	// minMemoryMB is the least memory of a process, in megabytes: an idle instance has about so much.
	minMemoryMB = 32
	// maxBytes bounds settings that are sizes in bytes.
	maxBytes = 1 << 36
)

// Check returns every problem in settings whose defaults have been filled in.
func Check(s *api.Settings) Problems {
	c := &checker{}
	c.checkNames(s)
	c.checkAddresses(s)
	c.checkFiles(s)
	c.checkOperators(s)
	c.checkLog(s.Log)
	c.checkDurations(s.ProtoReflect(), "")
	c.checkCounts(s)
	c.checkRelations(s)
	return c.Problems()
}

// checker collects the problems of one settings message.
type checker struct{ fieldcheck.Checker }

func (c *checker) checkNames(s *api.Settings) {
	c.requireName("name", s.Name)
	c.requireName("domain", s.Domain)
	c.requireName("region", s.Region)
}

// maxNameBytes bounds the length of a name.
const maxNameBytes = 64

// requireName requires a name that is safe in incarnations, file names and platform keys.
func (c *checker) requireName(path, text string) {
	ok := text != "" && len(text) <= maxNameBytes && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == ""
	c.Require(ok, path, text, fmt.Sprintf("1 to %d letters, digits or any of . - _", maxNameBytes))
}

func (c *checker) checkAddresses(s *api.Settings) {
	c.requireAddress("callerAddress", s.CallerAddress)
	c.requireAddress("peerAddress", s.PeerAddress)
	c.requireAddress("adminAddress", s.AdminAddress)
	c.requireDistinctAddresses(s)
	c.requireDialable("peerAddress", s.PeerAddress)
	c.requireDialable("adminAddress", s.AdminAddress)
	c.Require(validBaseURL(s.PlatformUrl), "platformUrl", s.PlatformUrl, "http:// or https:// with an IP address and port, such as http://192.0.2.1:8080")
}

func (c *checker) requireAddress(path, text string) {
	_, err := netip.ParseAddrPort(text)
	c.Require(err == nil, path, text, "an IP address and port, such as 192.0.2.1:8443")
}

// requireDialable requires an address that other instances can dial.
func (c *checker) requireDialable(path, text string) {
	a, err := netip.ParseAddrPort(text)
	c.Require(err != nil || !a.Addr().IsUnspecified(), path, text, "an address that other instances can dial, not the unspecified address")
}

// requireDistinctAddresses requires that no two listeners share an address. Port 0 is skipped because the system then
// picks a free port.
func (c *checker) requireDistinctAddresses(s *api.Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ path, text string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"adminAddress", s.AdminAddress},
	} {
		if _, port, err := net.SplitHostPort(a.text); err != nil || port == "0" {
			continue
		}
		other, duplicate := seen[a.text]
		c.Require(!duplicate, a.path, a.text, "different from the address of "+other)
		seen[a.text] = a.path
	}
}

func validBaseURL(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func (c *checker) checkFiles(s *api.Settings) {
	if s.CallerTls != nil {
		c.checkKeyPair("callerTls", s.CallerTls)
	}
	if s.PeerTls != nil {
		c.checkKeyPair("peerTls", s.PeerTls)
		c.Require(s.PeerTls.AuthorityFile != "", "peerTls.authorityFile", s.PeerTls.AuthorityFile, "the path of a PEM file with the authority for mutual TLS between peers")
	}
}

func (c *checker) checkKeyPair(path string, f *api.TlsFiles) {
	certificate := c.readFile(path+".certificateFile", f.CertificateFile)
	key := c.readFile(path+".keyFile", f.KeyFile)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			c.Fail(path, err.Error(), "a PEM certificate and its matching private key")
		}
	}
	if f.AuthorityFile == "" {
		return
	}
	if authority := c.readFile(path+".authorityFile", f.AuthorityFile); authority != nil {
		c.Require(x509.NewCertPool().AppendCertsFromPEM(authority), path+".authorityFile", f.AuthorityFile, "the path of a file with a PEM certificate")
	}
}

func (c *checker) readFile(path, name string) []byte {
	b, err := os.ReadFile(name)
	if err != nil {
		c.Fail(path, name, "the path of a readable file: "+err.Error())
		return nil
	}
	return b
}

func (c *checker) checkOperators(s *api.Settings) {
	for _, p := range bundle.CheckOperators(s.FirstOperators, s.FirstThreshold) {
		p.Path = "first" + strings.ToUpper(p.Path[:1]) + p.Path[1:]
		c.Add(p)
	}
}

func (c *checker) checkLog(l *api.LogSettings) {
	c.requireOneOf("log.level", l.Level, "debug", "info", "warn", "error")
	c.requireOneOf("log.format", l.Format, "text", "json")
}

func (c *checker) requireOneOf(path, text string, choices ...string) {
	for _, choice := range choices {
		if text == choice {
			return
		}
	}
	c.Fail(path, text, "one of "+strings.Join(choices, ", "))
}

// checkDurations requires that every duration is positive and at most maxDuration.
func (c *checker) checkDurations(m protoreflect.Message, prefix string) {
	for i := range m.Descriptor().Fields().Len() {
		f := m.Descriptor().Fields().Get(i)
		if f.Message() == nil || f.IsList() || !m.Has(f) {
			continue
		}
		path := prefix + f.JSONName()
		inner := m.Get(f).Message()
		if d, ok := inner.Interface().(*durationpb.Duration); ok {
			c.requireDuration(path, d)
			continue
		}
		c.checkDurations(inner, path+".")
	}
}

func (c *checker) requireDuration(path string, d *durationpb.Duration) {
	value := d.AsDuration()
	c.Require(d.CheckValid() == nil && value > 0 && value <= maxDuration, path, value, fmt.Sprintf("over 0s, at most %s", maxDuration))
}

func (c *checker) requireRange(path string, value, low, high uint64) {
	c.Require(value >= low && value <= high, path, value, fmt.Sprintf("from %d to %d", low, high))
}

func (c *checker) checkCounts(s *api.Settings) {
	c.requireRange("claim.shards", uint64(s.Claim.Shards), 1, maxShards)
	c.requireRange("claim.answerLimitBytes", uint64(s.Claim.AnswerLimitBytes), 1, maxStoredResponseBytes)
	c.requireRange("admission.queueLimit", uint64(s.Admission.QueueLimit), 1, maxCount)
	c.requireRange("admission.queueBytes", s.Admission.QueueBytes, 1, maxBytes)
	c.requireRange("route.initialConcurrency", uint64(s.Route.InitialConcurrency), 1, maxCount)
	c.requireRange("route.ejectAfterFailures", uint64(s.Route.EjectAfterFailures), 1, maxCount)
	c.requireRange("route.retryPercent", uint64(s.Route.RetryPercent), 0, 100)
	c.requireRange("peer.heartbeatFanout", uint64(s.Peer.HeartbeatFanout), 1, maxCount)
	c.requireRange("server.bodyLimitBytes", s.Server.BodyLimitBytes, 1, maxBytes)
	c.requireRange("server.requestLimit", uint64(s.Server.RequestLimit), 1, maxCount)
	if s.MemoryMb != 0 {
		c.requireRange("memoryMb", uint64(s.MemoryMb), minMemoryMB, maxCount)
	}
	rate := s.Platform.CallsPerSecond
	c.Require(rate > 0 && rate <= maxCount, "platform.callsPerSecond", rate, fmt.Sprintf("over 0, at most %d", maxCount))
}

// checkRelations checks constraints between fields.
func (c *checker) checkRelations(s *api.Settings) {
	c.requireLonger("peer.failureTimeout", s.Peer.FailureTimeout, "peer.heartbeatInterval", s.Peer.HeartbeatInterval)
	c.requireLonger("budget.outageToRideOut", s.Budget.OutageToRideOut, "budget.ceilingAhead", s.Budget.CeilingAhead)
	c.requireLonger("budget.orphanAfter", s.Budget.OrphanAfter, "budget.flushInterval", s.Budget.FlushInterval)
	c.requireLonger("budget.foldInterval", s.Budget.FoldInterval, "budget.flushInterval", s.Budget.FlushInterval)
	c.requireLonger("claim.retention", s.Claim.Retention, "claim.claimWait", s.Claim.ClaimWait)
	c.Require(s.Admission.QueueBytes >= s.Server.BodyLimitBytes, "admission.queueBytes", s.Admission.QueueBytes,
		fmt.Sprintf("at least server.bodyLimitBytes, %d", s.Server.BodyLimitBytes))
}

func (c *checker) requireLonger(path string, d *durationpb.Duration, otherPath string, other *durationpb.Duration) {
	c.Require(d.AsDuration() > other.AsDuration(), path, d.AsDuration(), fmt.Sprintf("longer than %s, %s", otherPath, other.AsDuration()))
}
