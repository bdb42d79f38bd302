package settings_test

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/settings"
)

// writeKeyPair writes a self-signed certificate and its key, which is derived from seed.
func writeKeyPair(dir string, seed byte) (certificate, key string) {
	privateKey := ed25519.NewKeyFromSeed(append(make([]byte, ed25519.SeedSize-1), seed))
	template := &x509.Certificate{SerialNumber: big.NewInt(1)}
	der, err := x509.CreateCertificate(nil, template, template, privateKey.Public(), privateKey)
	So(err, ShouldBeNil)
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	So(err, ShouldBeNil)
	certificate, key = filepath.Join(dir, string('a'+seed)+".pem"), filepath.Join(dir, string('a'+seed)+".key")
	So(os.WriteFile(certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), ShouldBeNil)
	So(os.WriteFile(key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}), 0o600), ShouldBeNil)
	return certificate, key
}

func TestTLSFiles(t *testing.T) {
	Convey("Given two key pairs", t, func() {
		dir := t.TempDir()
		certificate, key := writeKeyPair(dir, 0)
		_, otherKey := writeKeyPair(dir, 1)
		s, err := settings.Load(exampleFile)
		So(err, ShouldBeNil)
		s.PeerTls = &api.TlsFiles{CertificateFile: certificate, KeyFile: key, AuthorityFile: certificate}
		So(settings.Check(s), ShouldBeEmpty)
		Convey("a key of another certificate and an authority file without a certificate are reported", func() {
			s.PeerTls.KeyFile, s.PeerTls.AuthorityFile = otherKey, key
			problems := settings.Check(s)
			So(len(problems), ShouldEqual, 2)
			So(problems[0].Path, ShouldEqual, "peerTls")
			So(problems[1].Path, ShouldEqual, "peerTls.authorityFile")
		})
	})
}
