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

// shake runs one handshake and returns the name on the server's certificate and both ends' errors.
func shake(server, client *tls.Config) (name string, serverErr, clientErr error) {
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
		end := tls.Server(raw, server)
		done <- end.Handshake()
		_, _ = end.Write([]byte{1})
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

func write(a *standin.Authority, folder, name string) *api.TlsFiles {
	files, err := a.WriteFiles(folder, name)
	So(err, ShouldBeNil)
	return files
}

func TestSource(t *testing.T) {
	Convey("Given two ends with key pairs of one authority", t, func() {
		authority, err := standin.NewAuthority("fleet")
		So(err, ShouldBeNil)
		files := write(authority, t.TempDir(), "first")
		server, err := New(files)
		So(err, ShouldBeNil)
		client, err := New(write(authority, t.TempDir(), "client"))
		So(err, ShouldBeNil)
		config := server.ServerConfig(true)

		Convey("they trust each other", func() {
			name, serverErr, clientErr := shake(config, client.ClientConfig())
			So(serverErr, ShouldBeNil)
			So(clientErr, ShouldBeNil)
			So(name, ShouldEqual, "first")
		})
		Convey("a new key pair is used from the next handshake on, one that does not fit is not", func() {
			folder := t.TempDir()
			renewed := write(authority, folder, "second")
			move := func(from, to string) {
				data, err := os.ReadFile(from)
				So(err, ShouldBeNil)
				So(os.WriteFile(to, data, 0o600), ShouldBeNil)
				later := time.Now().Add(time.Minute)
				So(os.Chtimes(to, later, later), ShouldBeNil)
			}
			move(renewed.CertificateFile, files.CertificateFile)
			name, _, _ := shake(config, client.ClientConfig())
			So(name, ShouldEqual, "first")
			move(renewed.KeyFile, files.KeyFile)
			name, _, _ = shake(config, client.ClientConfig())
			So(name, ShouldEqual, "second")
		})
		Convey("a client of another authority is refused, and refuses", func() {
			other, err := standin.NewAuthority("other")
			So(err, ShouldBeNil)
			stranger, err := New(write(other, t.TempDir(), "stranger"))
			So(err, ShouldBeNil)
			_, _, clientErr := shake(config, stranger.ClientConfig())
			So(clientErr, ShouldNotBeNil)
			trusting := stranger.ClientConfig()
			trusting.RootCAs = client.ClientConfig().RootCAs
			_, serverErr, _ := shake(config, trusting)
			So(serverErr, ShouldNotBeNil)
		})
		Convey("files that are absent or hold no certificate are named", func() {
			_, err := New(&api.TlsFiles{CertificateFile: "/nowhere", KeyFile: files.KeyFile})
			So(err.Error(), ShouldContainSubstring, "/nowhere")
			_, err = New(&api.TlsFiles{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile, AuthorityFile: files.KeyFile})
			So(err.Error(), ShouldContainSubstring, "holds no certificate")
		})
	})
}
