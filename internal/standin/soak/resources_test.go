package soak

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
)

// opened is how many descriptors the test opens, maxOthers how many others the process may have: earlier tests may still
// close some.
const (
	opened    = 500
	maxOthers = 300
)

// TestProcessResourcesAreRead checks that memory and descriptors of a process are read, and that one that has ended has
// none.
func TestProcessResourcesAreRead(t *testing.T) {
	held := make([]byte, 64<<20)
	for i := range held {
		held[i] = 1
	}
	memory, err := residentMemory(os.Getpid())
	must.NoError(t, err)
	must.Between(t, int64(len(held)), memory, 4<<30)
	for range opened {
		file, err := os.Open(os.DevNull)
		must.NoError(t, err)
		defer file.Close()
	}
	descriptors, err := openDescriptors(os.Getpid())
	must.NoError(t, err)
	must.Between(t, opened, descriptors, opened+maxOthers)
	_, err = residentMemory(-1)
	must.Error(t, err)
	must.Eq(t, 1, held[len(held)-1])
}
