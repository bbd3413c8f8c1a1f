package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"anviltack/settings"
)

// numberedConstants returns the integer constants of a file that start with a prefix,
// by name without the prefix.
func numberedConstants(t *testing.T, file, prefix string) map[string]string {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]string)
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		name, ok := strings.CutPrefix(v.Names[0].Name, prefix)
		if literal, isLiteral := v.Values[0].(*ast.BasicLit); ok && isLiteral && literal.Kind == token.INT {
			found[name] = literal.Value
		}
		return true
	})
	return found
}

// tableRows returns the numbers of the rows of a table in docs by name. The pattern
// matches a row and captures the number and the name.
func tableRows(t *testing.T, file, pattern string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]string)
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(text), -1) {
		found[m[2]] = m[1]
	}
	return found
}

func TestCodesAreListed(t *testing.T) {
	is := is.New(t)
	is.Equal(tableRows(t, "docs/CODES.md", `(?m)^\| (\d{4}) \|(?: \w{5} \|)? (\w+) \|`), numberedConstants(t, "core/code.go", "Code"))
}

func TestEventsAreListed(t *testing.T) {
	is := is.New(t)
	is.Equal(tableRows(t, "docs/EVENTS.md", `(?m)^\| (\d{3}) \| (\w+) \|`), numberedConstants(t, "core/event.go", "Event"))
}

func TestSettingsAreListed(t *testing.T) {
	is := is.New(t)
	want := make(map[string]string)
	for _, e := range settings.Table() {
		want[e.Name] = e.Default
	}
	found := make(map[string]string)
	text, err := os.ReadFile("docs/SETTINGS.md")
	is.NoErr(err)
	for _, m := range regexp.MustCompile("(?m)^\\| `(\\w+)` \\| ([^|]*) \\|").FindAllStringSubmatch(string(text), -1) {
		found[m[1]] = strings.Trim(m[2], "` ")
	}
	is.Equal(found, want)
}

// testNames returns the names of all tests, benchmarks and fuzz targets.
func testNames(t *testing.T) map[string]bool {
	t.Helper()
	found := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`)
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllStringSubmatch(string(text), -1) {
			found[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}

func TestPromisesNameTests(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("docs/PROMISES.md")
	is.NoErr(err)
	known := testNames(t)
	for _, m := range regexp.MustCompile("`((?:Test|Benchmark|Fuzz)\\w+)`").FindAllStringSubmatch(string(text), -1) {
		if !known[m[1]] {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", m[1])
		}
	}
	for _, m := range regexp.MustCompile("`([\\w/]+/testdata/[\\w./-]+)`").FindAllStringSubmatch(string(text), -1) {
		if _, err := os.Stat(m[1]); err != nil {
			t.Errorf("docs/PROMISES.md names %s, which does not exist", m[1])
		}
	}
}
