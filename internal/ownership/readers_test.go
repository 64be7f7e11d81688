package ownership

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// TestReadersAreLargeNodesOfTheirDomain checks that each failure domain of a group is read by a large node there, the
// owner in its own domain, and that no node reads more than the limit.
func TestReadersAreLargeNodesOfTheirDomain(t *testing.T) {
	nodes := mixedNodes(96)
	byName := make(map[string]Node, len(nodes))
	for _, n := range nodes {
		byName[n.Name] = n
	}
	groups := groupsOn(8, nodes)
	owners := Assign(groups, nodes)
	var keys []ReaderKey
	for _, g := range groups {
		for d := range domains {
			keys = append(keys, ReaderKey{Group: g.Name, Domain: fmt.Sprint(d)})
		}
	}
	readers := AssignReaders(keys, owners, nodes)
	must.Eq(t, len(keys), len(readers))
	load := make(map[string]int)
	for key, name := range readers {
		must.Eq(t, key.Domain, byName[name].Domain)
		must.Eq(t, 800, byName[name].Capacity)
		if byName[owners[key.Group]].Domain == key.Domain {
			must.Eq(t, owners[key.Group], name)
			continue
		}
		load[name]++
	}
	for name, count := range load {
		must.LessEq(t, groupLimit(len(groups), 2), count, must.Sprint(name))
	}
	must.MapEmpty(t, AssignReaders(keys[:1], map[string]string{}, nodes[1:2]))
}
