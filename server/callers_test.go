package server

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const callersPage = "../docs/callers.md"

// command is a curl line of the page and what it says comes back.
type command struct {
	method, path, body string
	header             []string
	// key is the bearer token; empty for none.
	key  string
	want string
}

// words splits a shell line with double quotes, single quotes and no escapes.
func words(line string) []string {
	var out []string
	quote := rune(0)
	start := true
	for _, c := range line {
		switch {
		case quote == 0 && c == ' ':
			start = true
			continue
		case quote == c:
			quote = 0
			continue
		case quote == 0 && (c == '\'' || c == '"'):
			quote = c
			if start {
				out, start = append(out, ""), false
			}
			continue
		}
		if start {
			out, start = append(out, ""), false
		}
		out[len(out)-1] += string(c)
	}
	return out
}

func parseCurl(line string) command {
	c := command{method: "GET"}
	args := words(line)[1:]
	for i := 0; i < len(args); i++ {
		switch arg := args[i]; arg {
		case "-s", "-sN", "-si":
		case "-X":
			i++
			c.method = args[i]
		case "-d":
			i++
			c.body = args[i]
			if c.method == "GET" {
				c.method = "POST"
			}
		case "-H":
			i++
			name, value, _ := strings.Cut(args[i], ": ")
			if name == "Authorization" {
				c.key = strings.TrimPrefix(value, "Bearer ")
				continue
			}
			c.header = append(c.header, name, value)
		default:
			c.path = strings.TrimPrefix(arg, "$FLEET")
		}
	}
	return c
}

func commands() []command {
	page, err := os.ReadFile(callersPage)
	So(err, ShouldBeNil)
	var out []command
	for line := range strings.SplitSeq(string(page), "\n") {
		if strings.HasPrefix(line, "curl ") {
			out = append(out, parseCurl(line))
		}
		if want, ok := strings.CutPrefix(line, "# "); ok && len(out) > 0 && out[len(out)-1].want == "" {
			out[len(out)-1].want = want
		}
	}
	return out
}

func TestCallersPage(t *testing.T) {
	Convey("Every command on the callers' page gives what the page says", t, func() {
		r := newRig()
		defer r.close()
		r.server.cfg.Keys = issuer{}
		all := commands()
		So(len(all), ShouldBeGreaterThan, 12)
		for _, c := range all {
			header := c.header
			if c.key != "$KEY" {
				header = append(header, "Authorization", "Bearer "+c.key)
			}
			got := r.send(c.method, c.path, c.body, header...)
			So(got.err, ShouldBeNil)
			status, part, _ := strings.Cut(c.want, " ")
			all := fmt.Sprint(got.header, got.body)
			if name, value, ok := strings.Cut(part, ": "); ok && got.header.Get(name) == value {
				all += part
			}
			So(c.path+" "+strconv.Itoa(got.status), ShouldEqual, c.path+" "+status)
			So(all, ShouldContainSubstring, part)
		}
	})
}

func TestReasonsPage(t *testing.T) {
	Convey("Every reason stands on the operators' page with its status, and no other does", t, func() {
		page, err := os.ReadFile("../docs/operators/outcomes-and-refusals.md")
		So(err, ShouldBeNil)
		named := make(map[string]string)
		for line := range strings.SplitSeq(string(page), "\n") {
			if cells := strings.Split(line, "|"); len(cells) > 4 && strings.HasPrefix(cells[1], " `") {
				named[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2])
			}
		}
		for reason, info := range reasons {
			So(string(reason)+" "+named[string(reason)], ShouldEqual, fmt.Sprint(reason, " ", info.status))
			delete(named, string(reason))
		}
		So(named, ShouldBeEmpty)
	})
}
