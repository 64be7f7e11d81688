package platform_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/platform"
)

// TestJoinedKeysAreDistinct guards against two names of one row, as of a lease "2/g" and of a lease "g" in
// era 2.
func TestJoinedKeysAreDistinct(t *testing.T) {
	long := strings.Repeat("g", platform.MaxKeyBytes)
	keys := map[string]bool{}
	tuples := [][]string{
		{"lease", "g"},
		{"lease", "2", "g"},
		{"lease", "2/g"},
		{"lease", "2%2Fg"},
		{"lease", "2%252Fg"},
		{"lease", "", "g"},
		{"lease", "/g"},
		{"lease", "g/"},
		{"lease", "g", ""},
		{"lease", ""},
		{"lease/", "g"},
		{"lease", long},
		{"lease", long + "g"},
		{"lease", "2", long},
		{"lease", "G"},
		{"lease", "caf\u00e9"},
		{"lease", "cafe\u0301"},
	}
	for _, parts := range tuples {
		key := platform.JoinKey(parts...)
		must.False(t, keys[key], must.Sprintf("%q: %q", parts, key))
		must.LessEq(t, platform.MaxKeyBytes, len(key))
		keys[key] = true
	}
	must.True(t, keys["lease/2/g"])
	must.True(t, keys["lease/caf\u00e9"])
	must.False(t, keys[platform.JoinKey("lease", strings.TrimPrefix(platform.JoinKey("lease", long), "lease/"))])
}
