package tomlfile_test

import (
	"errors"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/tomlfile"
)

type service struct {
	Name  string `toml:"name"`
	Group string `toml:"group"`
	Limit struct {
		Rate int `toml:"rate"`
	} `toml:"limit"`
}

type file struct {
	Name     string    `toml:"name"`
	Services []service `toml:"service"`
}

// decodeIssues decodes body, which must be faulty, and returns its issues.
func decodeIssues(t *testing.T, body string) tomlfile.Issues {
	t.Helper()
	var into file
	err := tomlfile.Decode([]byte(body), "f.toml", &into).Err()
	var all tomlfile.Issues
	must.True(t, errors.As(err, &all))
	return all
}

const twoServices = `name = "x"

[[service]]
name = "a"

[[service]]
name = "b"
limit = { rate = 3 }
`

func TestUnknownKeyIssuesNameLines(t *testing.T) {
	all := decodeIssues(t, twoServices+"grup = \"g\"\ncolour = 1\n")
	must.Len(t, 2, all)
	must.Eq(t, "f.toml:9: service[1].grup: unknown key", all[0].Error())
	must.Eq(t, "f.toml:10: service[1].colour: unknown key", all[1].Error())
}

func TestWrongTypeIssueNamesLine(t *testing.T) {
	all := decodeIssues(t, "name = \"x\"\n\n[[service]]\nname = 4\n")
	must.Len(t, 1, all)
	must.Eq(t, 4, all[0].Line)
	must.Eq(t, "service[0].name", all[0].Key)
}

func TestSyntaxErrorIssueNamesLine(t *testing.T) {
	all := decodeIssues(t, "name = \"x\"\n[[service]\n")
	must.Len(t, 1, all)
	must.Eq(t, 2, all[0].Line)
}

// TestAddedIssueNamesNearestLine checks that an issue that is added after decoding names the
// line of its key or, if the file lacks the key, of the table that should contain it.
func TestAddedIssueNamesNearestLine(t *testing.T) {
	var into file
	doc := tomlfile.Decode([]byte(twoServices), "f.toml", &into)
	must.True(t, doc.IsValid())
	must.True(t, doc.Has("service[1].limit.rate"))
	must.False(t, doc.Has("service[0].limit.rate"))
	must.Eq(t, 8, doc.Line("service[1].limit.rate"))
	must.Eq(t, 3, doc.Line("service[0].group"))
	must.Eq(t, 0, doc.Line("nowhere"))
	doc.Add("service[1].group", "no group %q", "g")
	must.False(t, doc.IsValid())
	must.EqError(t, doc.Err(), `f.toml:6: service[1].group: no group "g"`)
}
