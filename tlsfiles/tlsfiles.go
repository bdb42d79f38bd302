// Package tlsfiles builds TLS configurations from key pair files and reloads the files when they change.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"pumiceshelf/api"
)

// Source provides TLS configurations from the latest valid state of the files. It is safe for concurrent use.
type Source struct {
	files *api.TlsFiles

	mu      sync.Mutex
	current *keyMaterial
}

// keyMaterial is the content of the files. modTimes are read before the files, so that a change in between causes another
// reload.
type keyMaterial struct {
	modTimes    [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New loads the files. If no authority file is set, certificates of peers are verified with the system's authorities.
func New(files *api.TlsFiles) (*Source, error) {
	s := &Source{files: files}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current = m
	return s, nil
}

// ServerConfig returns a configuration that reloads changed files at each handshake.
// With clientAuth, clients must present a certificate signed by the authority.
func (s *Source) ServerConfig(clientAuth bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.latest().serverConfig(clientAuth), nil
		},
	}
}

// ClientConfig returns a configuration for one connection, from the latest valid state of the files.
func (s *Source) ClientConfig() *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}

func (m *keyMaterial) serverConfig(clientAuth bool) *tls.Config {
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
	}
	if clientAuth {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.authority
	}
	return c
}

// latest reloads the files if one of them changed. If they cannot be loaded, for example because only one file of a key
// pair was replaced so far, the previous content is used until the next call.
func (s *Source) latest() *keyMaterial {
	s.mu.Lock()
	defer s.mu.Unlock()
	modTimes, err := s.readModTimes()
	if err != nil || modTimes == s.current.modTimes {
		return s.current
	}
	if m, err := s.read(); err == nil {
		s.current = m
	}
	return s.current
}

func (s *Source) read() (*keyMaterial, error) {
	modTimes, err := s.readModTimes()
	if err != nil {
		return nil, err
	}
	m := &keyMaterial{modTimes: modTimes}
	m.certificate, err = tls.LoadX509KeyPair(s.files.GetCertificateFile(), s.files.GetKeyFile())
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: load key pair: %w", err)
	}
	if s.files.GetAuthorityFile() == "" {
		return m, nil
	}
	pem, err := os.ReadFile(s.files.GetAuthorityFile())
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: read authority file: %w", err)
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tlsfiles: authority file %s contains no certificate", s.files.GetAuthorityFile())
	}
	return m, nil
}

// readModTimes returns the modification times of the files.
func (s *Source) readModTimes() ([3]time.Time, error) {
	var out [3]time.Time
	names := [3]string{s.files.GetCertificateFile(), s.files.GetKeyFile(), s.files.GetAuthorityFile()}
	for i, name := range names {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, fmt.Errorf("tlsfiles: %w", err)
		}
		out[i] = info.ModTime()
	}
	return out, nil
}
