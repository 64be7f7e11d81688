package region

import (
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// TestBothHomesBind compares Homes and Allows with a plain reading of the rule: the domain's region is listed by the
// service, if that lists any, and by the customer, if that lists any.
func TestBothHomesBind(t *testing.T) {
	names := rapid.SampledFrom([]string{"a", "ab", "b", "", "c\x00a", "c"})
	rapid.Check(t, func(t *rapid.T) {
		service, customer := rapid.SliceOfN(names, 0, 4).Draw(t, "service"), rapid.SliceOfN(names, 0, 4).Draw(t, "customer")
		regions := Map{"1": "a", "2": "ab", "3": "b", "4": "c", "5": ""}
		homes := Homes(service, customer)
		for _, domain := range []string{"1", "2", "3", "4", "5", "unlisted"} {
			isHome := func(listed []string) bool {
				return len(listed) == 0 || regions[domain] != "" && slices.Contains(listed, regions[domain])
			}
			must.Eq(t, isHome(service) && isHome(customer), regions.Allows(homes, domain))
		}
		must.Eq(t, homes, Homes(customer, service))
		must.Eq(t, homes, NewSet(Common(service, customer)))
	})
}

func TestWithoutRegionsOnlyAnEmptySetBinds(t *testing.T) {
	must.True(t, Map(nil).Allows(NewSet([]string{"a"}), "x"))
	must.False(t, Map(nil).Allows(Homes([]string{"a"}, []string{"b"}), "x"))
	must.True(t, Map{"x": "a", "y": "b"}.IsDivided())
	must.False(t, Map{"x": "a", "y": "a"}.IsDivided())
	must.Eq(t, "a,b", Map{"x": "b", "y": "a"}.Of([]string{"x", "y", "x", "z"}).String())
}
