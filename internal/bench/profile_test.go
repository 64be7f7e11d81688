package bench

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	profileDir = flag.String("node-profiles", "", "directory for CPU profiles of the nodes; none are taken if empty")
	binaryDir  = flag.String("programs", "", "directory of the programs to run; they are built if empty")
	keepDir    = flag.Bool("keep", false, "keep the temporary directory with the deployment's logs")
)

// minProfiledN is the smallest b.N for which profiles are taken. It excludes the short runs with
// which the testing package determines b.N, so that only the final run is profiled.
const minProfiledN = 10000

// startProfiles starts taking a CPU profile of one second from every node, if -node-profiles is
// set. The caller waits for the returned group.
func (s *system) startProfiles(b *testing.B) *sync.WaitGroup {
	var wg sync.WaitGroup
	if *profileDir == "" || b.N < minProfiledN {
		return &wg
	}
	for _, n := range s.deployment.Nodes {
		name := strings.NewReplacer("/", "_", "=", "_").Replace(b.Name())
		path := filepath.Join(*profileDir, fmt.Sprintf("%s-%s.prof", name, n.Name))
		wg.Go(func() {
			response, err := http.Get("http://" + n.Ops + "/debug/pprof/profile?seconds=1")
			must.NoError(b, err)
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			must.NoError(b, err)
			must.NoError(b, os.WriteFile(path, body, 0o600))
		})
	}
	return &wg
}
