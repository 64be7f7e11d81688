package fleet

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var testSecret = strings.Repeat("ab", MinTokenSecretBytes)

const minimalConfig = `token_secret = "SECRET"

[[profile]]
name = "booking"

[[customer]]
name = "mill"
rate = 10
burst = 20
  [[customer.key]]
  id = "a"
  hash = "HASH"

[[service]]
name = "orders"
group = "ledger"
profile = "booking"
customers = ["mill"]

[[group]]
name = "ledger"
  [[group.target]]
  name = "t1"
  address = "127.0.0.1:5001"
  domain = "rajkot-a"
  slots = 5
  connections = 35
`

// parseWithReplacement parses minimalConfig with the first occurrence of from replaced by to.
func parseWithReplacement(from, to string) (*Config, error) {
	text := strings.Replace(minimalConfig, from, to, 1)
	text = strings.Replace(text, "SECRET", testSecret, 1)
	text = strings.Replace(text, "HASH", HashKey("key"), 1)
	return Parse([]byte(text), "fleet.toml")
}

func TestParseFillsDefaults(t *testing.T) {
	c, err := parseWithReplacement("", "")
	must.NoError(t, err)
	must.Eq(t, []Profile{DefaultProfile("booking")}, c.Profiles)
	must.Eq(t, ConfirmMajority, c.Profiles[0].Confirm)
	must.Eq(t, DefaultWeight, c.Customers[0].Weight)
}

func TestParseKeepsExplicitZeroValues(t *testing.T) {
	c, err := parseWithReplacement(`name = "booking"`, `name = "booking"
retry_budget = 0.0
replica_wait = "0s"`)
	must.NoError(t, err)
	must.Eq(t, 0, c.Profiles[0].RetryBudget)
	must.Eq(t, 0, c.Profiles[0].ReplicaWait)
	c, err = Parse([]byte(`token_secret = "`+testSecret+`"
profile = [{name = "x", retry_budget = 0.0}]`), "inline.toml")
	must.NoError(t, err)
	must.Eq(t, 0, c.Profiles[0].RetryBudget, must.Sprint("a zero in an inline table is kept, too"))
}

func TestParseErrorNamesFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`name = "booking"`, `nmae = "booking"`, "fleet.toml:4: profile[0].nmae: unknown key"},
		{`name = "booking"`, `timeout = "5"`, `fleet.toml:4: profile[0].timeout: time: missing unit in duration "5"`},
		{`name = "booking"`, `reads = "age"`, `fleet.toml:3: profile[0].max_age: must be above zero for reads "age"`},
		{`"SECRET"`, `"abcd"`, "fleet.toml:1: token_secret: must be at least 32 bytes in hex"},
		{`rate = 10`, `rate = nan`, "fleet.toml:8: customer[0].rate: must be above zero"},
		{`"HASH"`, `"abcd"`, "fleet.toml:12: customer[0].key[0].hash: must be a SHA-256 in hex"},
		{`group = "ledger"`, `group = "x"`, `fleet.toml:16: service[0].group: there is no group "x"`},
		{`profile = "booking"`, `profile = "x"`, `fleet.toml:17: service[0].profile: there is no profile "x"`},
		{`["mill"]`, `["mill", "x"]`, `fleet.toml:18: service[0].customers[1]: there is no customer "x"`},
		{`["mill"]`, `[]`, "fleet.toml:18: service[0].customers: names no customer"},
		{`127.0.0.1:5001`, `db1:5001`, `fleet.toml:24: group[0].target[0].address: "db1:5001" is not IP:port`},
		{`slots = 5`, `slots = 36`, "fleet.toml:27: group[0].target[0].connections: must be at least the number of slots"},
		{`slots = 5`, `slots = 5
leaving = true`, `group[0].target: group "ledger" needs a target that is not leaving`},
	} {
		_, err := parseWithReplacement(c.from, c.to)
		must.ErrorContains(t, err, c.want)
	}
}

func TestParseFindsDuplicates(t *testing.T) {
	_, err := parseWithReplacement(`[[service]]`, `[[customer]]
name = "mill"
rate = 1
burst = 1
  [[customer.key]]
  id = "a"
  hash = "`+HashKey("key")+`"
[[service]]`)
	must.ErrorContains(t, err, `fleet.toml:15: customer[1].name: "mill" is used twice`)
	must.ErrorContains(t, err, "fleet.toml:20: customer[1].key[0].hash: is the hash of another key")
	must.StrNotContains(t, err.Error(), HashKey("key"))
}

func TestParseReportsAllIssues(t *testing.T) {
	_, err := parseWithReplacement(`rate = 10
burst = 20`, `rate = 0
bust = 1`)
	must.ErrorContains(t, err, "fleet.toml:8: customer[0].rate: must be above zero")
	must.ErrorContains(t, err, "fleet.toml:9: customer[0].bust: unknown key")
	must.ErrorContains(t, err, "fleet.toml:6: customer[0].burst: must be at least 1")
}

func TestEncodeParseRoundTrip(t *testing.T) {
	for _, path := range []string{"../../examples/trust/fleet.toml", "../../examples/bindery/fleet.toml"} {
		body, err := os.ReadFile(path)
		must.NoError(t, err)
		c, err := ParseDraft(body, path, func(c *Config) { c.RestoreSecrets(nil) })
		must.NoError(t, err)
		encoded, err := Encode(c)
		must.NoError(t, err)
		again, err := Parse(encoded, "encoded")
		must.NoError(t, err)
		must.SliceEmpty(t, Diff(c, again))
		twice, err := Encode(again)
		must.NoError(t, err)
		must.Eq(t, string(encoded), string(twice), must.Sprint("encoding is stable, so that equal configurations have equal hashes"))
		clone, err := again.Clone()
		must.NoError(t, err)
		must.Eq(t, again, clone)
	}
}

func TestDiffOmitsSecrets(t *testing.T) {
	before, err := parseWithReplacement("", "")
	must.NoError(t, err)
	after, err := before.Clone()
	must.NoError(t, err)
	after.TokenSecret = strings.Repeat("cd", MinTokenSecretBytes)
	after.Profiles[0].Timeout = Duration(time.Second)
	after.Customers[0].Keys = []Key{{ID: "b", Hash: HashKey("new")}}
	after.Groups[0].Targets[0].Leaving = true

	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	must.Eq(t, []string{
		"remove key mill/a",
		"change fleet: token_secret",
		`change profile booking: timeout "5s" -> "1s"`,
		"add key mill/b",
		`change target ledger/t1: leaving "false" -> "true"`,
	}, lines)

	rehashed, err := before.Clone()
	must.NoError(t, err)
	rehashed.Customers[0].Keys[0].Hash = HashKey("other")
	must.Eq(t, []Change{{Op: OpChange, Object: "key mill/a", Field: "hash"}}, Diff(before, rehashed))
	must.SliceEmpty(t, Diff(before, before))
}

func TestFillSecretsRestoresRedactedSecrets(t *testing.T) {
	current, err := parseWithReplacement("", "")
	must.NoError(t, err)
	shown, err := current.Clone()
	must.NoError(t, err)
	shown.Redact()
	body, err := Encode(shown)
	must.NoError(t, err)
	must.StrNotContains(t, string(body), testSecret)
	must.StrNotContains(t, string(body), HashKey("key"))

	edited, err := ParseDraft(body, "shown", func(c *Config) { c.RestoreSecrets(current) })
	must.NoError(t, err)
	must.Eq(t, current, edited)
	_, err = ParseDraft(body, "shown", func(c *Config) { c.RestoreSecrets(nil) })
	must.ErrorContains(t, err, "customer[0].key[0].hash: must be a SHA-256 in hex", must.Sprint("a key without a hash is rejected"))
}

// TestValidName checks that a name holds nothing that delimits fields, keys, rows or objects of the audit trail.
func TestValidName(t *testing.T) {
	for _, name := range []string{
		"", " ", "a b", "a/b", "a\nb", "a\n", "a\x00", "a=b", "a,b", "a#b", "a%2Fb", "a~", "a'b", "\"a\"", "../a", ".", "-a", "caf\u00e9", "a\xff",
		strings.Repeat("a", 64),
	} {
		must.False(t, ValidName(name), must.Sprintf("%q", name))
	}
	must.True(t, ValidName("A.b-c_9"))
	must.True(t, ValidName(strings.Repeat("a", 63)))
}
