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
	"pumiceshelf/story"
)

// bench is a platform, instances and a folder for an operator to work in.
type bench struct {
	objects  *standin.Objects
	platform *httptest.Server
	servers  []*httptest.Server
	dir      string
	// stuck is the bundle number that an instance named "b1" stays at, zero if it follows the pointer.
	stuck uint64
}

func newBench(dir string) *bench {
	b := &bench{objects: standin.NewObjects(), dir: dir}
	b.platform = httptest.NewServer(b.objects.Handler())
	list := &api.InstanceList{}
	for _, name := range []string{"a1", "b1"} {
		server := b.instance(name)
		b.servers = append(b.servers, server)
		list.Instances = append(list.Instances, &api.Instance{Name: name, AdminAddress: strings.TrimPrefix(server.URL, "http://")})
	}
	b.objects.SetInstances(list)
	return b
}

// instance serves the admin interface of an instance that puts in force what the pointer names.
func (b *bench) instance(name string) *httptest.Server {
	stories := story.NewStore(4, func() time.Time { return time.Unix(1, 0) })
	if name == "a1" {
		stories.Add("r1", "alwusta-dates", "admit", "admitted")
	}
	return httptest.NewServer(admin.New(admin.Config{
		Registry: metrics.NewRegistry(),
		Stories:  stories,
		Log:      &log.Logger{Handler: discard.Default},
		Status:   func() *api.Status { return b.status(name) },
	}).Handler())
}

func (b *bench) status(name string) *api.Status {
	s := &api.Status{
		Instance:          &api.Instance{Name: name, Domain: "d-" + name, Incarnation: name + "~1"},
		PlatformReachable: true,
		Peers:             []*api.PeerStatus{{Instance: &api.Instance{Name: "c9"}}, {Instance: &api.Instance{Incarnation: "c8~1"}, Reachable: true}},
		Endpoints:         []*api.EndpointStatus{{Endpoint: "engine-1", Limit: 8, Ejected: true}},
	}
	if name == "b1" && b.stuck > 0 {
		s.BundleNumber, s.BundleError = b.stuck, "kept out for a test"
		return s
	}
	p, err := bundle.ReadPointer(context.Background(), b.objects.Link(name))
	if err == nil {
		s.BundleNumber = p.Number()
	}
	return s
}

func (b *bench) close() {
	for _, s := range append(b.servers, b.platform) {
		s.Close()
	}
}

// run runs the tool with the platform named.
func (b *bench) run(args ...string) (code int, out, errText string) {
	var stdout, stderr bytes.Buffer
	code = ctl.Run(context.Background(), append([]string{"--platform", b.platform.URL}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (b *bench) path(name string) string { return filepath.Join(b.dir, name) }

// operators makes keys for ana and badr and returns their entries.
func (b *bench) operators() string {
	var entries []string
	for _, id := range []string{"ana", "badr"} {
		code, out, _ := b.run("key", "new", "--id", id, "--out", b.path(id+".key"))
		So(code, ShouldEqual, ctl.ExitOK)
		entries = append(entries, out)
	}
	return strings.Join(entries, ",")
}

// write writes a bundle with a number and the tokens of its second grant, none if zero.
func (b *bench) write(file, operators string, number, tokens int) string {
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
	So(os.WriteFile(b.path(file), []byte(text), 0o600), ShouldBeNil)
	return b.path(file)
}

// sign signs a bundle as both operators.
func (b *bench) sign(file, signed string) {
	for _, id := range []string{"ana", "badr"} {
		code, _, errText := b.run("bundle", "sign", file, "--operator", id, "--key", b.path(id+".key"), "--signed", signed)
		So(errText, ShouldBeEmpty)
		So(code, ShouldEqual, ctl.ExitOK)
	}
}

func TestBundleFromCheckToRoll(t *testing.T) {
	Convey("Given two operators and bundle 1 in force", t, func() {
		b := newBench(t.TempDir())
		defer b.close()
		operators := b.operators()
		first := b.write("first", operators, 1, 0)
		b.sign(first, b.path("first.signed"))
		code, out, _ := b.run("bundle", "roll", first, "--signed", b.path("first.signed"))
		So(code, ShouldEqual, ctl.ExitOK)
		So(out, ShouldContainSubstring, "in force on 2 of 2 instances")
		second := b.write("second", operators, 2, 50)
		Convey("a successor is checked, compared, signed, rolled and shown", func() {
			code, _, _ := b.run("bundle", "check", second)
			So(code, ShouldEqual, ctl.ExitOK)
			code, out, _ := b.run("bundle", "diff", second)
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, "~ number: 1 -> 2\n+ customers[alwusta-dates].budgets[main].grants[second] = {\"id\":\"second\",\"tokens\":\"50\"}\n")
			b.sign(second, b.path("second.signed"))
			code, out, _ = b.run("--json", "bundle", "roll", second, "--signed", b.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitOK)
			var view map[string]any
			So(json.Unmarshal([]byte(out), &view), ShouldBeNil)
			So(view["inForce"], ShouldEqual, 2)
			_, out, _ = b.run("bundle", "status")
			So(out, ShouldEqual, "bundle 2, signed by ana, badr, in force on 2 of 2 instances\n")
		})
		Convey("a roll names who is behind and why", func() {
			b.stuck = 1
			b.sign(second, b.path("second.signed"))
			code, _, errText := b.run("bundle", "roll", second, "--signed", b.path("second.signed"), "--wait", "1ms")
			So(code, ShouldEqual, ctl.ExitBehind)
			So(errText, ShouldContainSubstring, "b1 has bundle 1: kept out for a test")
		})
		Convey("of two successors the later gets a conflict with what changed", func() {
			rival := b.write("rival", operators, 2, 70)
			b.sign(second, b.path("second.signed"))
			b.sign(rival, b.path("rival.signed"))
			code, _, _ := b.run("bundle", "roll", rival, "--signed", b.path("rival.signed"))
			So(code, ShouldEqual, ctl.ExitOK)
			code, _, errText := b.run("bundle", "roll", second, "--signed", b.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitSuperseded)
			So(errText, ShouldContainSubstring, `grants[second] = {"id":"second","tokens":"70"}`)
		})
		Convey("an incarnation that answers or is reached cannot be retired", func() {
			for _, name := range []string{"a1~1", "c8~1"} {
				text, err := os.ReadFile(second)
				So(err, ShouldBeNil)
				retiring := strings.Replace(string(text), `"threshold"`, `"retiredIncarnations": ["`+name+`"], "threshold"`, 1)
				So(os.WriteFile(b.path("retiring"), []byte(retiring), 0o600), ShouldBeNil)
				code, _, errText := b.run("bundle", "sign", b.path("retiring"), "--operator", "ana", "--key", b.path("ana.key"), "--signed", b.path("s"))
				So(code, ShouldEqual, ctl.ExitProblems)
				So(errText, ShouldContainSubstring, "retiredIncarnations[0]")
			}
		})
		Convey("a sweep says what it removed and noted", func() {
			code, out, _ := b.run("bundle", "sweep", "--keep", "1")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldEqual, "0 objects removed, 0 noted for the next sweep\n")
			code, _, _ = b.run("bundle", "sweep", "--keep", "0")
			So(code, ShouldEqual, ctl.ExitUsage)
		})
		Convey("one signature of two is not enough", func() {
			code, _, _ := b.run("bundle", "sign", second, "--operator", "ana", "--key", b.path("ana.key"), "--signed", b.path("one"))
			So(code, ShouldEqual, ctl.ExitOK)
			code, _, errText := b.run("bundle", "roll", second, "--signed", b.path("one"))
			So(code, ShouldEqual, ctl.ExitProblems)
			So(errText, ShouldContainSubstring, "signed by 1 of the operators [ana, badr]")
		})
		Convey("a signed file does not fit a bundle that was edited since", func() {
			b.sign(second, b.path("second.signed"))
			edited := b.write("second", operators, 2, 51)
			code, _, errText := b.run("bundle", "roll", edited, "--signed", b.path("second.signed"))
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errText, ShouldContainSubstring, "of another bundle")
		})
		Convey("a bundle that repeats the number is refused", func() {
			code, _, errText := b.run("bundle", "check", b.write("bad", operators, 1, 0))
			So(code, ShouldEqual, ctl.ExitProblems)
			So(errText, ShouldContainSubstring, "number is 1, must be over 1")
		})
	})
}

func TestShows(t *testing.T) {
	Convey("Given a fleet", t, func() {
		b := newBench(t.TempDir())
		defer b.close()
		Convey("status shows each instance, its cuts and one that does not answer", func() {
			b.servers[1].Close()
			code, out, _ := b.run("status")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldContainSubstring, "a1        d-a1    0       yes       c9")
			So(out, ShouldContainSubstring, "connection refused")
			_, out, _ = b.run("status", "--json")
			var views []map[string]any
			So(json.Unmarshal([]byte(out), &views), ShouldBeNil)
			So(views[1]["error"], ShouldNotBeNil)
		})
		Convey("endpoints shows what each instance thinks of them", func() {
			_, out, _ := b.run("endpoints")
			So(strings.Count(out, "engine-1"), ShouldEqual, 2)
			So(out, ShouldContainSubstring, "never")
		})
		Convey("explain tells a story, and says when nobody keeps it", func() {
			code, out, _ := b.run("explain", "r1")
			So(code, ShouldEqual, ctl.ExitOK)
			So(out, ShouldContainSubstring, "00:00:01.000000  a1        admit  admitted")
			code, _, errText := b.run("explain", "r2")
			So(code, ShouldEqual, ctl.ExitFailed)
			So(errText, ShouldContainSubstring, "no instance asked keeps a story of request r2")
		})
		Convey("budget shows what the platform's ledger says", func() {
			code, out, errText := b.run("budget", "alwusta-dates", "--json")
			So(errText, ShouldBeEmpty)
			So(code, ShouldEqual, ctl.ExitOK)
			So(strings.TrimSpace(out), ShouldBeIn, "null", "[]")
		})
		Convey("a platform that is down is said so", func() {
			b.platform.Close()
			code, _, _ := b.run("bundle", "status")
			So(code, ShouldEqual, ctl.ExitFailed)
		})
	})
}

func TestCommandLine(t *testing.T) {
	Convey("Wrong command lines give exit code 2, help gives 0", t, func() {
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
	Convey("Every command's help has an example", t, func() {
		for _, c := range []string{
			"bundle check", "bundle diff", "bundle sign", "bundle roll", "bundle status", "bundle sweep",
			"key new", "key customer", "status", "endpoints", "budget", "explain",
		} {
			var out bytes.Buffer
			So(ctl.Run(context.Background(), append(strings.Fields(c), "--help"), &out, &out), ShouldEqual, ctl.ExitOK)
			So(out.String(), ShouldContainSubstring, "pumicectl "+c)
		}
	})
	Convey("A key file is never overwritten", t, func() {
		file := filepath.Join(t.TempDir(), "key")
		var out bytes.Buffer
		args := []string{"key", "new", "--id", "ana", "--out", file}
		So(ctl.Run(context.Background(), args, &out, &out), ShouldEqual, ctl.ExitOK)
		So(ctl.Run(context.Background(), args, &out, &out), ShouldEqual, ctl.ExitFailed)
	})
}
