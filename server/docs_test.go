package server

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const callersPagePath = "../docs/callers.md"

// documentedCommand is a curl command of the callers' page and its documented response.
type documentedCommand struct {
	method, path, body string
	header             []string
	// bearerToken is empty if the command sends none.
	bearerToken string
	// want is the status and, after a space, text of the headers or the body.
	want string
}

// splitShellWords splits a shell command into words. It supports single and double quotes but no escapes.
func splitShellWords(line string) []string {
	var out []string
	quote := rune(0)
	wordStart := true
	for _, c := range line {
		switch {
		case quote == 0 && c == ' ':
			wordStart = true
			continue
		case quote == c:
			quote = 0
			continue
		case quote == 0 && (c == '\'' || c == '"'):
			quote = c
			if wordStart {
				out, wordStart = append(out, ""), false
			}
			continue
		}
		if wordStart {
			out, wordStart = append(out, ""), false
		}
		out[len(out)-1] += string(c)
	}
	return out
}

func parseCurl(line string) documentedCommand {
	c := documentedCommand{method: "GET"}
	args := splitShellWords(line)[1:]
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
				c.bearerToken = strings.TrimPrefix(value, "Bearer ")
				continue
			}
			c.header = append(c.header, name, value)
		default:
			c.path = strings.TrimPrefix(arg, "$FLEET")
		}
	}
	return c
}

func documentedCommands() []documentedCommand {
	page, err := os.ReadFile(callersPagePath)
	So(err, ShouldBeNil)
	var out []documentedCommand
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

func TestCallersPageCommands(t *testing.T) {
	Convey("Every command on the callers' page gets the documented response", t, func() {
		r := newHarness()
		defer r.close()
		r.server.cfg.KeyIssuer = fakeKeyIssuer{}
		commands := documentedCommands()
		So(len(commands), ShouldBeGreaterThan, 12)
		for _, c := range commands {
			header := c.header
			if c.bearerToken != "$KEY" {
				header = append(header, "Authorization", "Bearer "+c.bearerToken)
			}
			got := r.send(c.method, c.path, c.body, header...)
			So(got.err, ShouldBeNil)
			status, expected, _ := strings.Cut(c.want, " ")
			headersAndBody := fmt.Sprint(got.header, got.body)
			if name, value, ok := strings.Cut(expected, ": "); ok && got.header.Get(name) == value {
				headersAndBody += expected
			}
			So(c.path+" "+strconv.Itoa(got.status), ShouldEqual, c.path+" "+status)
			So(headersAndBody, ShouldContainSubstring, expected)
		}
	})
}

func TestReasonsPage(t *testing.T) {
	Convey("The operators' page lists every reason with its status, and no other reasons", t, func() {
		page, err := os.ReadFile("../docs/operators/outcomes-and-refusals.md")
		So(err, ShouldBeNil)
		documented := make(map[string]string)
		for line := range strings.SplitSeq(string(page), "\n") {
			if cells := strings.Split(line, "|"); len(cells) > 4 && strings.HasPrefix(cells[1], " `") {
				documented[strings.Trim(cells[1], " `")] = strings.TrimSpace(cells[2])
			}
		}
		for reason, info := range reasons {
			So(string(reason)+" "+documented[string(reason)], ShouldEqual, fmt.Sprint(reason, " ", info.status))
			delete(documented, string(reason))
		}
		So(documented, ShouldBeEmpty)
	})
}
