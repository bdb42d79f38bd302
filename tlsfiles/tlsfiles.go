// Package tlsfiles builds TLS configurations from key pair files and reads the files again when they change.
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

// Source gives TLS configurations from the newest readable files. It is safe for concurrent use.
type Source struct {
	files *api.TlsFiles

	mu      sync.Mutex
	current *material
}

// material is what was read from one state of the files.
type material struct {
	stamps      [3]time.Time
	certificate tls.Certificate
	authority   *x509.CertPool
}

// New reads the files. The authority file may be absent; peers are then checked against the system's authorities.
func New(files *api.TlsFiles) (*Source, error) {
	s := &Source{files: files}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current = m
	return s, nil
}

// ServerConfig returns a configuration that takes the newest files at each handshake.
// With clientAuth, clients must present a certificate of the authority.
func (s *Source) ServerConfig(clientAuth bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.newest().server(clientAuth), nil
		},
	}
}

// ClientConfig returns a configuration of the newest files. Call it anew for each connection.
func (s *Source) ClientConfig() *tls.Config {
	m := s.newest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}
}

func (m *material) server(clientAuth bool) *tls.Config {
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

// newest reads the files again if one changed. Files that do not fit together, as in the middle of a replacement,
// leave what was read before in force until the next handshake.
func (s *Source) newest() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.stamps()
	if err != nil || stamps == s.current.stamps {
		return s.current
	}
	if m, err := s.read(); err == nil {
		s.current = m
	}
	return s.current
}

func (s *Source) read() (*material, error) {
	stamps, err := s.stamps()
	if err != nil {
		return nil, err
	}
	m := &material{stamps: stamps}
	m.certificate, err = tls.LoadX509KeyPair(s.files.GetCertificateFile(), s.files.GetKeyFile())
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: key pair: %w", err)
	}
	if s.files.GetAuthorityFile() == "" {
		return m, nil
	}
	pem, err := os.ReadFile(s.files.GetAuthorityFile())
	if err != nil {
		return nil, fmt.Errorf("tlsfiles: authority: %w", err)
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("tlsfiles: authority %s holds no certificate", s.files.GetAuthorityFile())
	}
	return m, nil
}

// stamps returns the modification times of the files.
func (s *Source) stamps() ([3]time.Time, error) {
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
