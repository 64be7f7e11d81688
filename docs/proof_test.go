// Package docs holds the project's pages; its tests keep them true to the code.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	command  = regexp.MustCompile("`(\\./[a-z0-9/]+)(?: -run '?([^'`]+?)'?)?`")
	testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
)

// testsOf returns the names of the tests of the package in dir.
func testsOf(t *testing.T, dir string) []string {
	files, err := filepath.Glob(filepath.Join(dir, "*_test.go"))
	must.NoError(t, err)
	var names []string
	for _, file := range files {
		body, err := os.ReadFile(file)
		must.NoError(t, err)
		for _, found := range testFunc.FindAllStringSubmatch(string(body), -1) {
			names = append(names, found[1])
		}
	}
	return names
}

// Each row of the tables of PROOF.md that names tests gives commands that run some.
func TestProofNamesRealTests(t *testing.T) {
	page, err := os.ReadFile("PROOF.md")
	must.NoError(t, err)
	rows, column := 0, 0
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.ReplaceAll(line, `\|`, "\x00"), "|")
		if len(cells) < 5 {
			column = 0
			continue
		}
		if strings.Contains(cells[3], "go test PACKAGE") {
			column = 3
			continue
		}
		if column == 0 || strings.Contains(cells[3], "---") {
			continue
		}
		rows++
		checkRow(t, strings.ReplaceAll(cells[column], "\x00", "|"))
	}
	must.Greater(t, 20, rows)
}

func checkRow(t *testing.T, cell string) {
	commands := command.FindAllStringSubmatch(cell, -1)
	must.SliceNotEmpty(t, commands, must.Sprint("no command in: "+cell))
	for _, c := range commands {
		names := testsOf(t, filepath.Join("..", c[1]))
		must.SliceNotEmpty(t, names, must.Sprint("no tests in "+c[1]))
		if c[2] == "" {
			continue
		}
		for pattern := range strings.SplitSeq(c[2], "|") {
			run, err := regexp.Compile(pattern)
			must.NoError(t, err)
			found := false
			for _, name := range names {
				found = found || run.MatchString(name)
			}
			must.True(t, found, must.Sprintf("no test %s in %s", pattern, c[1]))
		}
	}
}
