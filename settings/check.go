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
	// durationLimit is the longest time of any setting.
	durationLimit = 30 * 24 * time.Hour
	// shardLimit is the largest number of claim shards.
	shardLimit = 1024
	// answerLimit is the largest answer kept with an outcome, in bytes.
	answerLimit = 256 << 10
	// countLimit is the largest of the counts.
	countLimit = 1 << 20
	// bytesLimit is the largest of the sizes, in bytes.
	bytesLimit = 1 << 36
)

// Check returns all that is wrong with completed settings.
func Check(s *api.Settings) Problems {
	c := &checker{}
	c.names(s)
	c.addresses(s)
	c.files(s)
	c.operators(s)
	c.log(s.Log)
	c.durations(s.ProtoReflect(), "")
	c.counts(s)
	c.relations(s)
	return c.Problems()
}

type checker struct{ fieldcheck.Checker }

func (c *checker) names(s *api.Settings) {
	c.name("name", s.Name)
	c.name("domain", s.Domain)
	c.name("region", s.Region)
}

// nameLimit is the longest name in bytes.
const nameLimit = 64

// name requires what is safe in incarnations, file names and platform keys.
func (c *checker) name(path, text string) {
	ok := text != "" && len(text) <= nameLimit && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_") == ""
	c.Require(ok, path, text, fmt.Sprintf("1 to %d letters, digits or any of . - _", nameLimit))
}

func (c *checker) addresses(s *api.Settings) {
	c.address("callerAddress", s.CallerAddress)
	c.address("peerAddress", s.PeerAddress)
	c.address("adminAddress", s.AdminAddress)
	c.distinct(s)
	c.specified("peerAddress", s.PeerAddress)
	c.specified("adminAddress", s.AdminAddress)
	c.Require(validBase(s.PlatformUrl), "platformUrl", s.PlatformUrl, "http:// or https:// with an IP address and port, such as http://192.0.2.1:8080")
}

func (c *checker) address(path, text string) {
	_, err := netip.ParseAddrPort(text)
	c.Require(err == nil, path, text, "an IP address and port, such as 192.0.2.1:8443")
}

// specified requires an address that others can dial.
func (c *checker) specified(path, text string) {
	a, err := netip.ParseAddrPort(text)
	c.Require(err != nil || !a.Addr().IsUnspecified(), path, text, "the address that others dial, not the unspecified one")
}

// distinct requires that no two listeners share an address. Port 0 asks for any free port.
func (c *checker) distinct(s *api.Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ path, text string }{
		{"callerAddress", s.CallerAddress},
		{"peerAddress", s.PeerAddress},
		{"adminAddress", s.AdminAddress},
	} {
		if _, port, err := net.SplitHostPort(a.text); err != nil || port == "0" {
			continue
		}
		other, taken := seen[a.text]
		c.Require(!taken, a.path, a.text, "another address than that of "+other)
		seen[a.text] = a.path
	}
}

func validBase(text string) bool {
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	_, err = netip.ParseAddrPort(u.Host)
	return err == nil
}

func (c *checker) files(s *api.Settings) {
	if s.CallerTls != nil {
		c.keyPair("callerTls", s.CallerTls)
	}
	if s.PeerTls != nil {
		c.keyPair("peerTls", s.PeerTls)
		c.Require(s.PeerTls.AuthorityFile != "", "peerTls.authorityFile", s.PeerTls.AuthorityFile, "a PEM file; peers prove themselves to each other")
	}
}

func (c *checker) keyPair(path string, f *api.TlsFiles) {
	certificate := c.file(path+".certificateFile", f.CertificateFile)
	key := c.file(path+".keyFile", f.KeyFile)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			c.Fail(path, err.Error(), "a PEM certificate and its key")
		}
	}
	if f.AuthorityFile == "" {
		return
	}
	if authority := c.file(path+".authorityFile", f.AuthorityFile); authority != nil {
		c.Require(x509.NewCertPool().AppendCertsFromPEM(authority), path+".authorityFile", f.AuthorityFile, "a file with a PEM certificate")
	}
}

func (c *checker) file(path, name string) []byte {
	b, err := os.ReadFile(name)
	if err != nil {
		c.Fail(path, name, "a readable file: "+err.Error())
		return nil
	}
	return b
}

func (c *checker) operators(s *api.Settings) {
	for _, p := range bundle.CheckOperators(s.FirstOperators, s.FirstThreshold) {
		p.Path = "first" + strings.ToUpper(p.Path[:1]) + p.Path[1:]
		c.Add(p)
	}
}

func (c *checker) log(l *api.LogSettings) {
	c.oneOf("log.level", l.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", l.Format, "text", "json")
}

func (c *checker) oneOf(path, text string, choices ...string) {
	for _, choice := range choices {
		if text == choice {
			return
		}
	}
	c.Fail(path, text, "one of "+strings.Join(choices, ", "))
}

// durations requires that every time span is positive and of a sensible length.
func (c *checker) durations(m protoreflect.Message, prefix string) {
	for i := range m.Descriptor().Fields().Len() {
		f := m.Descriptor().Fields().Get(i)
		if f.Message() == nil || f.IsList() || !m.Has(f) {
			continue
		}
		path := prefix + f.JSONName()
		inner := m.Get(f).Message()
		if d, ok := inner.Interface().(*durationpb.Duration); ok {
			c.duration(path, d)
			continue
		}
		c.durations(inner, path+".")
	}
}

func (c *checker) duration(path string, d *durationpb.Duration) {
	span := d.AsDuration()
	c.Require(d.CheckValid() == nil && span > 0 && span <= durationLimit, path, span, fmt.Sprintf("over 0s, at most %s", durationLimit))
}

func (c *checker) count(path string, value, low, high uint64) {
	c.Require(value >= low && value <= high, path, value, fmt.Sprintf("from %d to %d", low, high))
}

func (c *checker) counts(s *api.Settings) {
	c.count("claim.shards", uint64(s.Claim.Shards), 1, shardLimit)
	c.count("claim.answerLimitBytes", uint64(s.Claim.AnswerLimitBytes), 1, answerLimit)
	c.count("admission.queueLimit", uint64(s.Admission.QueueLimit), 1, countLimit)
	c.count("admission.queueBytes", s.Admission.QueueBytes, 1, bytesLimit)
	c.count("route.initialConcurrency", uint64(s.Route.InitialConcurrency), 1, countLimit)
	c.count("route.ejectAfterFailures", uint64(s.Route.EjectAfterFailures), 1, countLimit)
	c.count("route.retryPercent", uint64(s.Route.RetryPercent), 0, 100)
	c.count("peer.heartbeatFanout", uint64(s.Peer.HeartbeatFanout), 1, countLimit)
	c.count("server.bodyLimitBytes", s.Server.BodyLimitBytes, 1, bytesLimit)
	c.count("server.requestLimit", uint64(s.Server.RequestLimit), 1, countLimit)
	rate := s.Platform.CallsPerSecond
	c.Require(rate > 0 && rate <= countLimit, "platform.callsPerSecond", rate, fmt.Sprintf("over 0, at most %d", countLimit))
}

// relations checks fields against each other.
func (c *checker) relations(s *api.Settings) {
	c.longer("peer.failureTimeout", s.Peer.FailureTimeout, "peer.heartbeatInterval", s.Peer.HeartbeatInterval)
	c.longer("budget.outageToRideOut", s.Budget.OutageToRideOut, "budget.ceilingAhead", s.Budget.CeilingAhead)
	c.longer("budget.orphanAfter", s.Budget.OrphanAfter, "budget.flushInterval", s.Budget.FlushInterval)
	c.longer("budget.foldInterval", s.Budget.FoldInterval, "budget.flushInterval", s.Budget.FlushInterval)
	c.longer("claim.retention", s.Claim.Retention, "claim.claimWait", s.Claim.ClaimWait)
	c.Require(s.Admission.QueueBytes >= s.Server.BodyLimitBytes, "admission.queueBytes", s.Admission.QueueBytes,
		fmt.Sprintf("at least server.bodyLimitBytes, %d", s.Server.BodyLimitBytes))
}

func (c *checker) longer(path string, d *durationpb.Duration, otherPath string, other *durationpb.Duration) {
	c.Require(d.AsDuration() > other.AsDuration(), path, d.AsDuration(), fmt.Sprintf("longer than %s, %s", otherPath, other.AsDuration()))
}
