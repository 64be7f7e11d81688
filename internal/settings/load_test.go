package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const validSettings = `[node]
name = "n1"
domain = "rajkot-a"
deployment = "trust"

[callers]
address = "127.0.0.1:5432"
plaintext = true

[peers]
address = "127.0.0.1:6000"
certificate = "CERT"
key = "CERT"
authority = "CERT"

[platform]
url = "http://127.0.0.1:7000"

[targets]
user = "crocusyoke"

[ops]
address = "127.0.0.1:8000"
`

// loadWithReplacement loads validSettings with the first occurrence of from replaced by to and
// CERT replaced by the path of a readable file.
func loadWithReplacement(t *testing.T, from, to string) (*Settings, error) {
	t.Helper()
	must.StrContains(t, validSettings, from)
	dir := t.TempDir()
	certificate := filepath.Join(dir, "cert.pem")
	must.NoError(t, os.WriteFile(certificate, nil, 0o600))
	text := strings.Replace(validSettings, from, to, 1)
	text = strings.ReplaceAll(text, "CERT", certificate)
	path := filepath.Join(dir, "node.toml")
	must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestLoadAppliesDefaults(t *testing.T) {
	s, err := loadWithReplacement(t, "", "")
	must.NoError(t, err)
	must.Eq(t, DefaultDrain, s.Node.Drain)
	must.Eq(t, DefaultMaxConnections, s.Callers.MaxConnections)
	must.Eq(t, DefaultMaxMessage, s.Callers.MaxMessage)
}

func TestLoadErrorNamesFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`domain = "rajkot-a"`, `domian = "rajkot-a"`, "node.toml:3: node.domian: unknown key"},
		{`domain = "rajkot-a"`, `domain = 7`, "node.toml:3: node.domain: "},
		{`domain = "rajkot-a"`, `domain = "rajkot-a`, "node.toml:3: "},
		{`domain = "rajkot-a"`, `drain = "soon"`, `node.toml:3: node.drain: time: invalid duration "soon"`},
		{`domain = "rajkot-a"`, ``, `node.toml:1: node.domain: "" is not a valid name`},
		{`127.0.0.1:5432`, `localhost:5432`, `node.toml:7: callers.address: "localhost:5432" is not IP:port`},
		{`plaintext = true`, ``, "node.toml:6: callers.certificate: is missing"},
		{`plaintext = true`, `max_connections = 0`, "node.toml:8: callers.max_connections: must be at least 1"},
		{`plaintext = true`, `customer_share = 1.5`, "node.toml:8: callers.customer_share: must be above 0 and at most 1"},
		{`plaintext = true`, `startup_timeout = "0s"`, "node.toml:8: callers.startup_timeout: must be above zero"},
		{`plaintext = true`, `statement_timeout = "-1s"`, "node.toml:8: callers.statement_timeout: must be above zero"},
		{`plaintext = true`, `write_timeout = "0s"`, "node.toml:8: callers.write_timeout: must be above zero"},
		{`domain = "rajkot-a"`, "domain = \"rajkot-a\"\nmemory = 1000", "node.toml:4: node.memory: must be at least"},
		{`key = "CERT"`, `key = "/nowhere"`, "node.toml:13: peers.key: open /nowhere"},
		{`http://127`, `127`, "node.toml:17: platform.url: "},
		{`user = "crocusyoke"`, ``, "node.toml:19: targets.user: is missing"},
	} {
		_, err := loadWithReplacement(t, c.from, c.to)
		must.ErrorContains(t, err, c.want)
	}
}

func TestLoadReportsAllIssues(t *testing.T) {
	_, err := loadWithReplacement(t, `name = "n1"`, `name = "-"
drain = "-1s"`)
	must.ErrorContains(t, err, "node.toml:2: node.name: ")
	must.ErrorContains(t, err, "node.toml:3: node.drain: must be above zero")
}

func TestLoadMissingFile(t *testing.T) {
	_, err := Load("/nowhere/node.toml")
	must.ErrorContains(t, err, "/nowhere/node.toml")
}

func TestExamplesAreValid(t *testing.T) {
	for _, deployment := range []string{"trust", "bindery"} {
		body, err := os.ReadFile("../../examples/" + deployment + "/node.toml")
		must.NoError(t, err)
		readable := filepath.Join(t.TempDir(), "cert.pem")
		must.NoError(t, os.WriteFile(readable, nil, 0o600))
		text := regexp.MustCompile(`"certs/[^"]*"`).ReplaceAllString(string(body), `"`+readable+`"`)
		s, err := Parse([]byte(text), "node.toml")
		must.NoError(t, err)
		must.Eq(t, deployment, s.Node.Deployment)
	}
}
