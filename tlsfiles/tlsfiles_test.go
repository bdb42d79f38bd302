package tlsfiles

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/standin"
)

// handshake runs one TLS handshake and returns the name in the server's certificate and the errors of both sides.
func handshake(server, client *tls.Config) (name string, serverErr, clientErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		raw, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer raw.Close()
		conn := tls.Server(raw, server)
		done <- conn.Handshake()
		_, _ = conn.Write([]byte{1})
	}()
	raw, err := net.Dial("tcp", listener.Addr().String())
	So(err, ShouldBeNil)
	defer raw.Close()
	client.ServerName = "127.0.0.1"
	conn := tls.Client(raw, client)
	if clientErr = conn.Handshake(); clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
		name = conn.ConnectionState().PeerCertificates[0].Subject.CommonName
	}
	_ = raw.Close()
	return name, <-done, clientErr
}

func writeKeyPair(a *standin.Authority, folder, name string) *api.TlsFiles {
	files, err := a.WriteFiles(folder, name)
	So(err, ShouldBeNil)
	return files
}

func TestSource(t *testing.T) {
	Convey("Given a server and a client with key pairs of the same authority", t, func() {
		authority, err := standin.NewAuthority("fleet")
		So(err, ShouldBeNil)
		files := writeKeyPair(authority, t.TempDir(), "first")
		server, err := New(files)
		So(err, ShouldBeNil)
		client, err := New(writeKeyPair(authority, t.TempDir(), "client"))
		So(err, ShouldBeNil)
		config := server.ServerConfig(true)

		Convey("the handshake succeeds", func() {
			name, serverErr, clientErr := handshake(config, client.ClientConfig())
			So(serverErr, ShouldBeNil)
			So(clientErr, ShouldBeNil)
			So(name, ShouldEqual, "first")
		})
		Convey("a new key pair is used from the next handshake on, but a certificate without its key is not", func() {
			folder := t.TempDir()
			renewed := writeKeyPair(authority, folder, "second")
			copyFile := func(from, to string) {
				data, err := os.ReadFile(from)
				So(err, ShouldBeNil)
				So(os.WriteFile(to, data, 0o600), ShouldBeNil)
				later := time.Now().Add(time.Minute)
				So(os.Chtimes(to, later, later), ShouldBeNil)
			}
			copyFile(renewed.CertificateFile, files.CertificateFile)
			name, _, _ := handshake(config, client.ClientConfig())
			So(name, ShouldEqual, "first")
			copyFile(renewed.KeyFile, files.KeyFile)
			name, _, _ = handshake(config, client.ClientConfig())
			So(name, ShouldEqual, "second")
		})
		Convey("server and client reject certificates of another authority", func() {
			other, err := standin.NewAuthority("other")
			So(err, ShouldBeNil)
			otherClient, err := New(writeKeyPair(other, t.TempDir(), "stranger"))
			So(err, ShouldBeNil)
			_, _, clientErr := handshake(config, otherClient.ClientConfig())
			So(clientErr, ShouldNotBeNil)
			trustsServer := otherClient.ClientConfig()
			trustsServer.RootCAs = client.ClientConfig().RootCAs
			_, serverErr, _ := handshake(config, trustsServer)
			So(serverErr, ShouldNotBeNil)
		})
		Convey("missing files and files without a certificate are reported", func() {
			_, err := New(&api.TlsFiles{CertificateFile: "/nowhere", KeyFile: files.KeyFile})
			So(err.Error(), ShouldContainSubstring, "/nowhere")
			_, err = New(&api.TlsFiles{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile, AuthorityFile: files.KeyFile})
			So(err.Error(), ShouldContainSubstring, "contains no certificate")
		})
	})
}
