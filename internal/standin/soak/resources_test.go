package soak

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"
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
	before, err := openDescriptors(os.Getpid())
	must.NoError(t, err)
	file, err := os.Open(os.DevNull)
	must.NoError(t, err)
	after, err := openDescriptors(os.Getpid())
	must.NoError(t, err)
	must.Eq(t, before+1, after)
	must.NoError(t, file.Close())
	_, err = residentMemory(-1)
	must.Error(t, err)
	must.Eq(t, 1, held[len(held)-1])
}
