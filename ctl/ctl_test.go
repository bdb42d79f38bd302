package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/admin"
	"pumiceshelf/api"
	"pumiceshelf/bundle"
	"pumiceshelf/ctl"
	"pumiceshelf/internal/standin"
	"pumiceshelf/trace"
)

// fixture is a stand-in platform with two instances and a directory for an operator's files.
type fixture struct {
	objects  *standin.Objects
	platform *httptest.Server
	servers  []*httptest.Server
	dir      string
	// staleBundle is the bundle number that instance "b1" keeps reporting. If it is zero, "b1" follows the pointer.
	staleBundle uint64
}

func newFixture(dir string) *fixture {
	f := &fixture{objects: standin.NewObjects(), dir: dir}
	f.platform = httptest.NewServer(f.objects.Handler())
	list := &api.InstanceList{}
	for _, name := range []string{"a1", "b1"} {
		server := f.instance(name)
		f.servers = append(f.servers, server)
		list.Instances = append(list.Instances, &api.Instance{Name: name, AdminAddress: strings.TrimPrefix(server.URL, "http://")})
	}
	f.objects.SetInstances(list)
	return f
}

// instance serves the admin interface of an instance whose active bundle is the one that the pointer names.
func (f *fixture) instance(name string) *httptest.Server {
	traces := trace.NewStore(4, func() time.Time { return time.Unix(1, 0) })
	if name == "a1" {
		traces.Add("r1", "alwusta-dates", "admit", "admitted")
	}
	return httptest.NewServer(admin.New(admin.Config{
		Registry: metrics.NewRegistry(),
		Traces:   traces,
		Log:      &log.Logger{Handler: discard.Default},
		Status:   func() *api.Status { return f.status(name) },
	}).Handler())
}

func (f *fixture) status(name string) *api.Status {
	s := &api.Status{
		Instance:          &api.Instance{Name: name, Domain: "d-" + name, Incarnation: name + "~1"},
		PlatformReachable: true,
		Peers:             []*api.PeerStatus{{Instance: &api.Instance{Name: "c9"}}, {Instance: &api.Instance{Incarnation: "c8~1"}, Reachable: true}},
		Endpoints:         []*api.EndpointStatus{{Endpoint: "engine-1", Limit: 8, Ejected: true}},
	}
	if name == "b1" && f.staleBundle > 0 {
		s.BundleNumber, s.BundleError = f.staleBundle, "rejected for a test"
		return s
	}
	p, err := bundle.ReadPointer(context.Background(), f.objects.Client(name))
	if err == nil {
		s.BundleNumber = p.Number()
	}
	return s
}

func (f *fixture) close() {
	for _, s := range append(f.servers, f.platform) {
		s.Close()
	}
}

// run runs the tool with the fixture's platform.
func (f *fixture) run(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"--platform", f.platform.URL}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (f *fixture) path(name string) string { return filepath.Join(f.dir, name) }

// operators creates keys for the operators "ana" and "badr" and returns their entries for a bundle.
func (f *fixture) operators() string {
	var entries []string
	for _, id := range []string{"ana", "badr"} {
		code, out, _ := f.run("key", "new", "--id", id, "--out", f.path(id+".key"))
		So(code, ShouldEqual, ctl.ExitOK)
		entries = append(entries, out)
	}
	return strings.Join(entries, ",")
}

// write writes a bundle file and returns its path. tokens is the size of the second grant; zero omits that grant.
func (f *fixture) write(file, operators string, number, tokens int) string {
	grants := `{"id": "first", "tokens": 100},`
	if tokens > 0 {
		grants += fmt.Sprintf(`{"id": "second", "tokens": %d},`, tokens)
	}
	text := fmt.Sprintf(`{
		"number": %d, // a comment
		"operators": [%s], "threshold": 2,
		"customers": [{"id": "alwusta-dates", "budgets": [{"id": "main", "grants": [%s]}]}],
		"models": [{"id": "agronomy", "defaultCapTokens": 10, "maxCapTokens": 20}],
	}`, number, operators, grants)
	So(os.WriteFile(f.path(file), []byte(text), 0o600), ShouldBeNil)
	return f.path(file)
}

// sign signs a bundle with the keys of both operators.
func (f *fixture) sign(file, signed string) {
	for _, id := range []string{"ana", "badr"} {
		code, _, errText := f.run("bundle", "sign", file, "--operator", id, "--key", f.path(id+".key"), "--signed", signed)
		So(errText, ShouldBeEmpty)
		So(code, ShouldEqual, ctl.ExitOK)
	}
}

func TestBundleCommands(t *testing.T) {
	Convey("Given two operators and a fleet with active bundle 1", t, func() {
		f := newFixture(t.TempDir())
		defer f.close()
		operators := f.operators()
		first := f.write("first", operators, 1, 0)
		f.sign(first, f.path("first.signed"))
		code, out, _ := f.run("bundle", "roll", first, "--signed", f.path("first.signed"))
		So(code, ShouldEqual, ctl.ExitOK)
		So(out, ShouldContainSubstring, "in force on 2 of 2 instances")
		second := f.write("second", operators, 2, 50)
		Convey("a successor is checked, compared, signed and rolled, and its status is shown", func() {
			code, _, _ := f.run("bundle", "check", second)
			So(code, ShouldEqual, ctl.ExitOK)
			code, out, _ := f.run("bundle", "diff", second)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, "~ number: 1 -> 2\n+ customers[alwusta-dates].budgets[main].grants[second] = {\"id\":\"second\",\"tokens\":\"50\"}\n")
			f.sign(second, f.path("second.signed"))
			code, out, _ = f.run("--json", "bundle", "roll", second, "--signed", f.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitOK)
			var view map[string]any
			So(json.Unmarshal([]byte(out), &view), ShouldBeNil)
			So(view["inForce"], ShouldEqual, 2)
			_, out, _ = f.run("bundle", "status")
			So(out, ShouldEqual, "bundle 2, signed by ana, badr, in force on 2 of 2 instances\n")
		})
		Convey("a roll reports each instance on which the bundle did not become active, with the reason", func() {
			f.staleBundle = 1
			f.sign(second, f.path("second.signed"))
			code, _, errText := f.run("bundle", "roll", second, "--signed", f.path("second.signed"), "--wait", "1ms")
			So(code, ShouldEqual, ctl.ExitLagging)
			So(errText, ShouldContainSubstring, "bundle 2 is not in force everywhere; these instances are behind:\n  b1 has bundle 1: rejected for a test")
		})
		Convey("the second of two concurrent successors is rejected, and the error lists what the first changed", func() {
			rival := f.write("rival", operators, 2, 70)
			f.sign(second, f.path("second.signed"))
			f.sign(rival, f.path("rival.signed"))
			code, _, _ := f.run("bundle", "roll", rival, "--signed", f.path("rival.signed"))
			So(code, ShouldEqual, ctl.ExitOK)
			code, _, errText := f.run("bundle", "roll", second, "--signed", f.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitSuperseded)
			So(errText, ShouldContainSubstring, `grants[second] = {"id":"second","tokens":"70"}`)
		})
		Convey("an incarnation that runs or is reachable cannot be retired", func() {
			for _, name := range []string{"a1~1", "c8~1"} {
				text, err := os.ReadFile(second)
				So(err, ShouldBeNil)
				retiring := strings.Replace(string(text), `"threshold"`, `"retiredIncarnations": ["`+name+`"], "threshold"`, 1)
				So(os.WriteFile(f.path("retiring"), []byte(retiring), 0o600), ShouldBeNil)
				code, _, errText := f.run("bundle", "sign", f.path("retiring"), "--operator", "ana", "--key", f.path("ana.key"), "--signed", f.path("s"))
				So(code, ShouldEqual, ctl.ExitInvalid)
				So(errText, ShouldContainSubstring, "retiredIncarnations[0]")
			}
		})
		Convey("a sweep prints how many objects it removed and marked for removal, and rejects --keep 0", func() {
			code, out, _ := f.run("bundle", "sweep", "--keep", "1")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, "0 objects removed, 0 noted for the next sweep\n")
			code, _, _ = f.run("bundle", "sweep", "--keep", "0")
			So(code, ShouldEqual, ctl.ExitUsage)
		})
		Convey("a bundle with one of two required signatures is rejected", func() {
			code, _, _ := f.run("bundle", "sign", second, "--operator", "ana", "--key", f.path("ana.key"), "--signed", f.path("one"))
			So(code, ShouldEqual, ctl.ExitOK)
			code, _, errText := f.run("bundle", "roll", second, "--signed", f.path("one"))
			So(code, ShouldEqual, ctl.ExitInvalid)
			So(errText, ShouldContainSubstring, "signed by 1 of the operators [ana, badr]")
		})
		Convey("a bundle that was edited after signing does not match the signed file", func() {
			f.sign(second, f.path("second.signed"))
			edited := f.write("second", operators, 2, 51)
			code, _, errText := f.run("bundle", "roll", edited, "--signed", f.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errText, ShouldContainSubstring, "does not match the bundle")
		})
		Convey("a bundle with the number of the active bundle is rejected", func() {
			code, _, errText := f.run("bundle", "check", f.write("bad", operators, 1, 0))
			So(code, ShouldEqual, ctl.ExitInvalid)
			So(errText, ShouldContainSubstring, "number is 1, must be over 1")
		})
	})
}

func TestStatusCommands(t *testing.T) {
	Convey("Given a fleet of two instances", t, func() {
		f := newFixture(t.TempDir())
		defer f.close()
		Convey("status shows each instance with its unreachable peers, and the error of an instance that does not respond", func() {
			f.servers[1].Close()
			code, out, _ := f.run("status")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldContainSubstring, "a1        d-a1    0       yes       c9")
			So(out, ShouldContainSubstring, "connection refused")
			_, out, _ = f.run("status", "--json")
			var views []map[string]any
			So(json.Unmarshal([]byte(out), &views), ShouldBeNil)
			So(views[1]["error"], ShouldNotBeNil)
		})
		Convey("endpoints shows each endpoint as each instance sees it", func() {
			_, out, _ := f.run("endpoints")
			So(strings.Count(out, "engine-1"), ShouldEqual, 2)
			So(out, ShouldContainSubstring, "never")
		})
		Convey("explain shows a trace, and an error if no instance has one", func() {
			code, out, _ := f.run("explain", "r1")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldContainSubstring, "00:00:01.000000  a1        admit  admitted")
			code, _, errText := f.run("explain", "r2")
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errText, ShouldContainSubstring, "no instance asked keeps a story of request r2")
		})
		Convey("budget shows no budgets if the platform has no ledger for the customer", func() {
			code, out, errText := f.run("budget", "alwusta-dates", "--json")
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ctl.ExitOK)
			So(strings.TrimSpace(out), ShouldBeIn, "null", "[]")
		})
		Convey("an unavailable platform gives ExitFailed", func() {
			f.platform.Close()
			code, _, _ := f.run("bundle", "status")
			So(code, ShouldEqual, ctl.ExitFailed)
		})
	})
}

func TestCommandLine(t *testing.T) {
	Convey("Invalid command lines exit with ExitUsage, failed commands with ExitFailed, help and successful commands with ExitOK", t, func() {
		for _, c := range []struct {
			args string
			code int
		}{
			{"", ctl.ExitUsage},
			{"frobnicate", ctl.ExitUsage},
			{"bundle", ctl.ExitUsage},
			{"bundle check", ctl.ExitUsage},
			{"bundle roll file", ctl.ExitUsage},
			{"status", ctl.ExitUsage},
			{"explain", ctl.ExitUsage},
			{"--help", ctl.ExitOK},
			{"bundle roll --help", ctl.ExitOK},
			{"bundle check ../examples/bundle.hujson", ctl.ExitOK},
			{"bundle check absent.hujson", ctl.ExitFailed},
			{"key customer", ctl.ExitOK},
		} {
			var out, errText bytes.Buffer
			So(ctl.Run(context.Background(), strings.Fields(c.args), &out, &errText), ShouldEqual, c.code)
			So(out.Len()+errText.Len(), ShouldBeGreaterThan, 0)
		}
	})
	Convey("The help of every command has an example", t, func() {
		for _, c := range []string{
			"bundle check", "bundle diff", "bundle sign", "bundle roll", "bundle status", "bundle sweep",
			"key new", "key customer", "status", "endpoints", "budget", "explain",
		} {
			var out bytes.Buffer
			So(ctl.Run(context.Background(), append(strings.Fields(c), "--help"), &out, &out), ShouldEqual, ctl.ExitOK)
			So(out.String(), ShouldContainSubstring, "pumicectl "+c)
		}
	})
	Convey("An existing key file is not overwritten", t, func() {
		file := filepath.Join(t.TempDir(), "key")
		var out bytes.Buffer
		args := []string{"key", "new", "--id", "ana", "--out", file}
		So(ctl.Run(context.Background(), args, &out, &out), ShouldEqual, ctl.ExitOK)
		So(ctl.Run(context.Background(), args, &out, &out), ShouldEqual, ctl.ExitFailed)
	})
}
