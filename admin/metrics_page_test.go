package admin_test

import (
	"flag"
	"fmt"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/telemetry"

	// Every package that describes metrics; TestPageCoversEveryPackage keeps the list whole.
	_ "pumiceshelf/admit"
	_ "pumiceshelf/bundle"
	_ "pumiceshelf/endpoint"
	_ "pumiceshelf/gateway"
	_ "pumiceshelf/idempotency"
	_ "pumiceshelf/logsink"
	_ "pumiceshelf/objectstore"
	_ "pumiceshelf/orders"
	_ "pumiceshelf/peer"
	_ "pumiceshelf/prepaid"
	_ "pumiceshelf/quota"
	_ "pumiceshelf/route"
	_ "pumiceshelf/server"
)

const metricsPage = "../docs/metrics.md"

var update = flag.Bool("update", false, "write docs/metrics.md anew")

const metricsIntro = `# Metrics

Each instance serves its metrics on the admin address: ` + "`/metrics`" + ` as lines of name and value,
` + "`/metrics?format=json`" + ` as JSON. Counters grow from the start of the process. Timers give count, mean, p50, p95,
p99 and max. Every reason for a refusal or a retry has a counter of its own. All figures are of one instance; nothing is
labelled by customer.

This page is made from the code: ` + "`go test ./admin -run TestMetricsPage -update`" + `. A test compares the two.
`

// page returns the page that the code describes.
func page() string {
	var out strings.Builder
	out.WriteString(metricsIntro)
	part := ""
	for _, d := range telemetry.Catalog() {
		if name, _, _ := strings.Cut(d.Name, "."); name != part {
			part = name
			fmt.Fprintf(&out, "\n## %s\n\n| metric | unit | meaning |\n|---|---|---|\n", part)
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s |\n", d.Name, d.Unit, strings.ReplaceAll(d.Help, "|", "\\|"))
	}
	return out.String()
}

func TestMetricsPage(t *testing.T) {
	if *update {
		if err := os.WriteFile(metricsPage, []byte(page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Convey("docs/metrics.md lists each metric with its unit and meaning", t, func() {
		text, err := os.ReadFile(metricsPage)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, page())
		for _, d := range telemetry.Catalog() {
			So(d.Unit, ShouldNotBeEmpty)
			So(d.Help, ShouldEndWith, ".")
		}
	})
}

// TestPageCoversEveryPackage fails when a package describes metrics and this file does not import it.
func TestPageCoversEveryPackage(t *testing.T) {
	Convey("All packages that describe metrics are imported here", t, func() {
		file, err := parser.ParseFile(token.NewFileSet(), "metrics_page_test.go", nil, parser.ImportsOnly)
		So(err, ShouldBeNil)
		imported := []string{"pumiceshelf/admin"}
		for _, i := range file.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			So(err, ShouldBeNil)
			imported = append(imported, path)
		}
		for _, dir := range describing(t) {
			So(imported, ShouldContain, "pumiceshelf/"+dir)
		}
	})
}

// describing returns the folders of packages that describe metrics.
func describing(t *testing.T) []string {
	var out []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		if err == nil && strings.Contains(string(text), "telemetry.Describe(") {
			out = append(out, filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, "../"))))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
