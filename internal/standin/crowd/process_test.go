package crowd

import (
	"fmt"
	"log"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/supervise"
)

const (
	// maxMemory bounds the resident memory of a process at its peak, in bytes. It is what the smallest VM has
	// for a node.
	maxMemory = 128 << 20
	// goMemoryLimit is the limit at which the Go runtime of a node collects garbage more often.
	goMemoryLimit = "96MiB"
	// maxConnections is the limit on callers' connections in the settings of the nodes.
	maxConnections = 200
	// maxDescriptors bounds the open descriptors of a process: callers' connections, and 700 for all else.
	maxDescriptors = maxConnections + 700
	// answeredWithin bounds the time in which an ordinary caller tries again until it is answered.
	answeredWithin = 20 * time.Second
	retryInterval  = 50 * time.Millisecond
	sampleInterval = 10 * time.Millisecond
	// fewDescriptors is the limit on the descriptors of a process that has too few for maxConnections.
	fewDescriptors = 250
)

// binaries are the shipped binary and the stand-ins, directory is where they and all files of the tests are.
var (
	binaries  deploy.Binaries
	directory string
)

func TestMain(m *testing.M) {
	code, err := runAll(m)
	if err != nil {
		log.Fatal(err)
	}
	os.Exit(code)
}

// runAll builds the binaries, runs all tests, and ends all processes.
func runAll(m *testing.M) (code int, err error) {
	if directory, err = os.MkdirTemp("", "crowd"); err != nil {
		return 0, err
	}
	defer os.RemoveAll(directory)
	build := exec.Command("go", "build", "-o", directory+"/", "crocusyoke/cmd/crocusyoke", "crocusyoke/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	binaries = deploy.Binaries{Crocusyoke: filepath.Join(directory, "crocusyoke"), Standin: filepath.Join(directory, "standin")}
	if err := os.Setenv("GOMEMLIMIT", goMemoryLimit); err != nil {
		return 0, err
	}
	defer stopPostgres()
	defer stopHosted()
	return m.Run(), nil
}

// victim is a node's process, which no earlier test has used.
type victim struct {
	pid       int
	isRunning func() bool
	// ask sends one ordinary request, over a connection of its own.
	ask func() error
}

// attack has a crowd come, which leaves when stopped is closed. The returned function waits for that.
type attack func(stopped <-chan struct{}) (wait func())

// suffer plays an attack against the victim, and checks what must hold whatever callers do. The ordinary request is
// sent when the attack has gone on for a time, and again once it has ended.
func (v *victim) suffer(t *testing.T, a attack, stay time.Duration) {
	t.Helper()
	must.NoError(t, v.answers(), must.Sprint("before the crowd comes"))
	stopped, most := make(chan struct{}), v.watchDescriptors(t.Context().Done())
	leave := a(stopped)
	time.Sleep(stay)
	during := v.answers()
	close(stopped)
	leave()
	afterwards := v.answers()
	must.True(t, v.isRunning(), must.Sprint("the process has ended"))
	memory, err := peakMemory(v.pid)
	must.NoError(t, err)
	t.Logf("%d MiB at most, %d descriptors at most", memory>>20, most.Load())
	must.LessEq(t, maxMemory, memory, must.Sprint("bytes of memory"))
	must.LessEq(t, maxDescriptors, most.Load(), must.Sprint("descriptors"))
	must.NoError(t, during, must.Sprint("while the crowd was there"))
	must.NoError(t, afterwards, must.Sprint("once the crowd had gone"))
}

// answers returns nil once the victim answers an ordinary request.
func (v *victim) answers() error {
	end := time.Now().Add(answeredWithin)
	for {
		err := v.ask()
		if err == nil || time.Now().After(end) || !v.isRunning() {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// watchDescriptors counts the victim's open descriptors until done is closed, and returns the highest count.
func (v *victim) watchDescriptors(done <-chan struct{}) *atomic.Int64 {
	most := new(atomic.Int64)
	go func() {
		for {
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", v.pid))
			if err == nil {
				most.Store(max(most.Load(), int64(len(entries))))
			}
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return most
}

// peakMemory returns the highest resident memory of a process since its start, in bytes.
func peakMemory(pid int) (int64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(body)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("/proc/%d/status has no VmHWM", pid)
}

// withDescriptors returns spec with a limit on the descriptors of its process.
func withDescriptors(spec supervise.Spec, limit int) supervise.Spec {
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit)
	spec.Args = append([]string{"-c", script, spec.Path}, spec.Args...)
	spec.Path = "/bin/sh"
	return spec
}
