package docs

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

	"github.com/shoenig/test/must"
)

var (
	// qualified matches names such as `evidence.Group.SetSoleOrderer`.
	qualified = regexp.MustCompile("`([a-z]+)\\.([A-Z]\\w*)(?:\\.([A-Z]\\w*))?(?:\\([^`]*\\))?`")
	// testName matches `TestProofNamesRealTests`.
	testName = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Z]\\w*)`")
	// treePath matches `internal/owner` and `internal/peer/quicpeer/frame.go`.
	treePath = regexp.MustCompile("`\\.?/?((?:internal|platform|cmd|plans|deploy|examples|docs|tools)/[\\w./-]+)`")
)

// placeholder matches the part of a path that stands for any name, as in internal/filter/NAME.
var placeholder = regexp.MustCompile(`\b[A-Z]{4,}\b`)

// declared holds the identifiers that the packages of the tree declare, fields and methods
// included, by package name.
type declared map[string]map[string]bool

// readTree returns what the tree declares, tests included. Test functions are under "".
func readTree(t *testing.T) declared {
	all := declared{"": {}}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		all.add(file)
		return nil
	})
	must.NoError(t, err)
	return all
}

func (d declared) add(file *ast.File) {
	names := d[file.Name.Name]
	if names == nil {
		names = make(map[string]bool)
		d[file.Name.Name] = names
	}
	ast.Inspect(file, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.FuncDecl:
			names[n.Name.Name] = true
			d[""][n.Name.Name] = true
		case *ast.TypeSpec:
			names[n.Name.Name] = true
		case *ast.ValueSpec:
			for _, name := range n.Names {
				names[name.Name] = true
			}
		case *ast.Field:
			for _, name := range n.Names {
				names[name.Name] = true
			}
		}
		return true
	})
}

// TestPagesNameWhatExists checks that each qualified identifier, test name and path of the
// tree that a page has in backticks exists. It guards against pages that keep the old names
// after the code was renamed.
func TestPagesNameWhatExists(t *testing.T) {
	all := readTree(t)
	pages, err := filepath.Glob("*.md")
	must.NoError(t, err)
	for _, pattern := range []string{"*/*.md", "../*.md"} {
		more, err := filepath.Glob(pattern)
		must.NoError(t, err)
		pages = append(pages, more...)
	}
	checked := 0
	for _, page := range pages {
		body, err := os.ReadFile(page)
		must.NoError(t, err)
		for _, m := range qualified.FindAllStringSubmatch(string(body), -1) {
			if all[m[1]] == nil {
				continue // a package of a library
			}
			checked++
			must.True(t, all[m[1]][m[2]], must.Sprint(page, " names ", m[0]))
			must.True(t, m[3] == "" || all[m[1]][m[3]], must.Sprint(page, " names ", m[0]))
		}
		for _, m := range testName.FindAllStringSubmatch(string(body), -1) {
			checked++
			must.True(t, all[""][m[1]], must.Sprint(page, " names ", m[0]))
		}
		for _, m := range treePath.FindAllStringSubmatch(string(body), -1) {
			if placeholder.MatchString(m[1]) {
				continue
			}
			checked++
			_, err := os.Stat(filepath.Join("..", m[1]))
			must.NoError(t, err, must.Sprint(page, " names ", m[0]))
		}
	}
	must.Greater(t, 100, checked)
}
