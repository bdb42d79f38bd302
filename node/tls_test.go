package node_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/api"
	"pumiceshelf/internal/fleet"
	"pumiceshelf/internal/standin"
)

func TestTLS(t *testing.T) {
	Convey("Given a fleet with TLS for clients and mutual TLS between instances", t, func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		Reset(cancel)
		authority, err := standin.NewAuthority("fleet")
		So(err, ShouldBeNil)
		files, err := authority.WriteFiles(t.TempDir(), "instance")
		So(err, ShouldBeNil)
		c := fleet.DeploymentConfig(fleet.AlWusta)
		c.Customers = []fleet.Customer{{ID: "farm", Tokens: 1_000_000}}
		c.AdjustSettings = func(s *api.Settings) { s.CallerTls, s.PeerTls = files, files }
		f, err := fleet.Start(ctx, c)
		So(err, ShouldBeNil)
		Reset(f.Close)
		roots := x509.NewCertPool()
		pem, err := os.ReadFile(files.AuthorityFile)
		So(err, ShouldBeNil)
		So(roots.AppendCertsFromPEM(pem), ShouldBeTrue)
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
		address := f.Instances()[0].Node.CallerAddress()

		Convey("a client that trusts the certificate authority gets a response from every instance, including instances that are not the lease holder", func() {
			for _, m := range f.Instances() {
				status, err := sendModelRequest(ctx, client, "https://"+m.Node.CallerAddress())
				So(err, ShouldBeNil)
				So(status, ShouldEqual, http.StatusOK)
			}
			So(f.CountRuns("Plot 1"), ShouldEqual, len(f.Instances()))
		})
		Convey("a client that does not trust the authority and a client without TLS get no model response", func() {
			_, err := sendModelRequest(ctx, &http.Client{}, "https://"+address)
			So(err, ShouldNotBeNil)
			status, err := sendModelRequest(ctx, &http.Client{}, "http://"+address)
			So(err != nil || status == http.StatusBadRequest, ShouldBeTrue)
			So(f.CountRuns("Plot 1"), ShouldEqual, 0)
		})
		Convey("a peer connection without a certificate from the authority is rejected", func() {
			conn, err := tls.Dial("tcp", f.Instances()[0].Node.Self().PeerAddress, &tls.Config{RootCAs: roots})
			if err == nil {
				_, err = conn.Read(make([]byte, 1))
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, "certificate")
		})
	})
}

// sendModelRequest sends a chat completion request and returns the HTTP status code of the response.
func sendModelRequest(ctx context.Context, client *http.Client, url string) (int, error) {
	body := strings.NewReader(string(fleet.Request{Model: fleet.DoseModel, Prompt: "Plot 1"}.Body()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", body)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+fleet.APIKey("farm"))
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
