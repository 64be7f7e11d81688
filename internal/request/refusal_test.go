package request

import (
	"fmt"
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// TestProtocolPage: docs/PROTOCOL.md lists every code with its SQLSTATE, name, fate and retry
// rule as in Codes.
func TestProtocolPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROTOCOL.md")
	must.NoError(t, err)
	for _, c := range Codes {
		retry := "no"
		if c.Retryable {
			retry = "yes"
		}
		must.StrContains(t, string(page), fmt.Sprintf("| `%s` | %s | %s | %s |", c.SQLState, c.Name, c.Fate, retry))
	}
}
