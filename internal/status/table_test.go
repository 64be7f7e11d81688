package status_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/status"
	"crocusyoke/internal/target"
)

func renderTables(reports []status.Report, silent ...status.SilentNode) string {
	var out strings.Builder
	status.WriteTables(&out, reports, silent)
	return out.String()
}

// TestTablesShowDegradedStates checks that the tables show draining and silent nodes, leaving,
// evacuated and unreachable targets, evacuated failure domains, a lost coordinator and refusals.
func TestTablesShowDegradedStates(t *testing.T) {
	report := status.Report{
		Node: "vm-1", Domain: "rajkot-a", Draining: true, ConfigVersion: 7, Uptime: 90 * time.Second,
		Groups: []status.Group{{
			Name: "ledger-1",
			Targets: []status.Target{
				{Name: "t1", Role: target.RolePrimary, Term: 4, Reachable: true},
				{Name: "t2", Role: target.RoleReplica, Term: 4, Lag: 12, Age: 1500 * time.Millisecond, Leaving: true},
				{Name: "t3", Role: target.RoleReplica, Term: 4, Leaving: true, Reachable: true},
				{Name: "t4", Role: target.RoleReplica, Term: 4, Evacuated: true, Reachable: true},
			},
		}},
		Shares:   []status.Share{{Customer: "mill", Tokens: 12.34, Demand: 5, OwnShare: true, Coordinator: "n2"}},
		Refusals: []status.Refusal{{Code: "over_rate", Count: 9}},

		EvacuatedDomains: []string{"morbi-b"},
	}
	out := renderTables([]status.Report{report}, status.SilentNode{Node: "vm-2", Domain: "morbi-b", Error: "no answer"})
	for _, line := range []string{
		"vm-1\trajkot-a\tdraining\t7\tno\t1m30s\t0\t",
		"vm-2\tmorbi-b\tsilent\t-\t-\t-\t-\tno answer",
		"ledger-1\tvm-1\tt2\treplica\t4\t0/0\t12\t1.5s\t0\t0\t0\tunreachable",
		"ledger-1\tvm-1\tt3\treplica\t4\t0/0\t0\t0s\t0\t0\t0\tleaving",
		"ledger-1\tvm-1\tt4\treplica\t4\t0/0\t0\t0s\t0\t0\t0\tevacuated",
		"morbi-b\t1 of 1 nodes",
		"mill\tvm-1\t12.3\t5.0\tyes\tn2",
		"over_rate\tvm-1\t9",
	} {
		must.StrContains(t, out, line)
	}
}

// TestTablesShowEveryOwner checks that both nodes are shown while two nodes report to own the
// same group.
func TestTablesShowEveryOwner(t *testing.T) {
	groups := []status.Group{{Name: "ledger-1", Targets: []status.Target{{Name: "t1", Reachable: true}}}}
	out := renderTables([]status.Report{{Node: "vm-1", Groups: groups}, {Node: "vm-2", Groups: groups}})
	must.StrContains(t, out, "ledger-1\tvm-1\tt1")
	must.StrContains(t, out, "ledger-1\tvm-2\tt1")
}

// TestNameStaysOneCell guards against a name from the configuration that fills several cells or lines.
func TestNameStaysOneCell(t *testing.T) {
	name := "a\tb\nc d"
	report := status.Report{
		Node: name, Domain: name,
		Groups:   []status.Group{{Name: name, Targets: []status.Target{{Name: name, Role: target.RoleReplica}}}},
		Shares:   []status.Share{{Customer: name, Coordinator: name}},
		Refusals: []status.Refusal{{Code: name}},
	}
	plain := renderTables([]status.Report{{
		Groups: []status.Group{{Targets: []status.Target{{}}}}, Shares: []status.Share{{}}, Refusals: []status.Refusal{{}},
	}}, status.SilentNode{})
	out := renderTables([]status.Report{report}, status.SilentNode{Node: name, Domain: name, Error: "no\nanswer"})
	for _, separator := range []string{"\t", "\n"} {
		must.Eq(t, strings.Count(plain, separator), strings.Count(out, separator))
	}
	must.StrContains(t, out, `"a\tb\nc d"`)
	must.StrContains(t, out, `"no\nanswer"`)
}
