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

	// All packages that describe metrics. TestMetricsPageCoversEveryPackage checks that the list is complete.
	_ "pumiceshelf/admit"
	_ "pumiceshelf/bundle"
	_ "pumiceshelf/endpoint"
	_ "pumiceshelf/gateway"
	_ "pumiceshelf/idempotency"
	_ "pumiceshelf/intake"
	_ "pumiceshelf/logsink"
	_ "pumiceshelf/members"
	_ "pumiceshelf/objectstore"
	_ "pumiceshelf/orders"
	_ "pumiceshelf/peer"
	_ "pumiceshelf/prepaid"
	_ "pumiceshelf/quota"
	_ "pumiceshelf/route"
	_ "pumiceshelf/router"
	_ "pumiceshelf/server"
)

const metricsPage = "../docs/metrics.md"

var updatePage = flag.Bool("update", false, "rewrite docs/metrics.md")

const metricsIntro = `# Metrics

Each instance serves its metrics on the admin address: ` + "`/metrics`" + ` as lines of name and value,
` + "`/metrics?format=json`" + ` as JSON. Counters grow from the start of the process. Timers give count, mean, p50, p95,
p99 and max. Every reason for a refusal or a retry has a counter of its own. All figures are of one instance; nothing is
labelled by customer.

This page is made from the code: ` + "`go test ./admin -run TestMetricsPage -update`" + `. A test compares the two.
`

// renderPage returns the content of docs/metrics.md for the metrics described in the code.
func renderPage() string {
	var out strings.Builder
	out.WriteString(metricsIntro)
	component := ""
	for _, d := range telemetry.Catalog() {
		if name, _, _ := strings.Cut(d.Name, "."); name != component {
			component = name
			fmt.Fprintf(&out, "\n## %s\n\n| metric | unit | meaning |\n|---|---|---|\n", component)
		}
		fmt.Fprintf(&out, "| `%s` | %s | %s |\n", d.Name, d.Unit, strings.ReplaceAll(d.Help, "|", "\\|"))
	}
	return out.String()
}

func TestMetricsPage(t *testing.T) {
	if *updatePage {
		if err := os.WriteFile(metricsPage, []byte(renderPage()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	Convey("docs/metrics.md lists each metric with its unit and description", t, func() {
		text, err := os.ReadFile(metricsPage)
		So(err, ShouldBeNil)
		So(string(text), ShouldEqual, renderPage())
		for _, d := range telemetry.Catalog() {
			So(d.Unit, ShouldNotBeEmpty)
			So(d.Help, ShouldEndWith, ".")
		}
	})
}

// TestMetricsPageCoversEveryPackage fails if a package describes metrics and this file does not import it, because
// docs/metrics.md would then lack its metrics.
func TestMetricsPageCoversEveryPackage(t *testing.T) {
	Convey("This file imports every package that describes metrics", t, func() {
		file, err := parser.ParseFile(token.NewFileSet(), "metrics_page_test.go", nil, parser.ImportsOnly)
		So(err, ShouldBeNil)
		imported := []string{"pumiceshelf/admin"}
		for _, i := range file.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			So(err, ShouldBeNil)
			imported = append(imported, path)
		}
		for _, dir := range metricPackages(t) {
			So(imported, ShouldContain, "pumiceshelf/"+dir)
		}
	})
}

// buildOutput is the directory of built programs, which may contain the sources of an earlier release.
const buildOutput = "../target"

// metricPackages returns the directories of the packages that describe metrics.
func metricPackages(t *testing.T) []string {
	var out []string
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if d != nil && d.IsDir() && path == buildOutput {
			return filepath.SkipDir
		}
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
