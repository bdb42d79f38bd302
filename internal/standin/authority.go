package standin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"pumiceshelf/api"
)

// certificateLifetime is how long the certificates of an Authority are valid.
const certificateLifetime = 24 * time.Hour

// Authority is a certificate authority that issues key pairs for loopback addresses.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key and a self-signed certificate.
func NewAuthority(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("standin: generate authority key: %w", err)
	}
	template := certificateTemplate(name)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("standin: create authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("standin: parse authority certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

func certificateTemplate(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
	}
}

// WriteFiles writes a new private key, its certificate for the loopback address and the authority's certificate to a folder.
func (a *Authority) WriteFiles(folder, name string) (*api.TlsFiles, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("standin: generate private key: %w", err)
	}
	template := certificateTemplate(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("standin: create certificate: %w", err)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("standin: encode private key: %w", err)
	}
	files := &api.TlsFiles{
		CertificateFile: filepath.Join(folder, "certificate.pem"),
		KeyFile:         filepath.Join(folder, "key.pem"),
		AuthorityFile:   filepath.Join(folder, "authority.pem"),
	}
	return files, writePEMs(map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: der},
		files.KeyFile:         {Type: "PRIVATE KEY", Bytes: pkcs8},
		files.AuthorityFile:   {Type: "CERTIFICATE", Bytes: a.certificate.Raw},
	})
}

func writePEMs(blocks map[string]*pem.Block) error {
	for name, block := range blocks {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			return fmt.Errorf("standin: write PEM file: %w", err)
		}
	}
	return nil
}
