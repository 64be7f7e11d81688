package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/shoenig/test/must"
	"github.com/zeebo/errs"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/ownership"
	"crocusyoke/internal/standin/deploy"
)

// Limits that are large enough for the proxy to be the only bottleneck.
const (
	slots       = 64
	connections = 400
	rate        = 1e9
)

// Names of the services. A deployment denies each customer one service, so a second one is
// needed for a customer to have access to any.
const (
	measuredService = "measured"
	otherService    = "other"
)

// system is the deployment that all benchmarks share.
type system struct {
	deployment *deploy.Deployment
	// directURL, ownerURL and entryURL are the connection strings for the target itself, for
	// the node that owns it, and for the other node, which forwards to the owner.
	directURL, ownerURL, entryURL string
}

var (
	startOnce sync.Once
	started   *system
	startErr  error
	tempDir   string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if started != nil {
		if err := started.deployment.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, "stop the deployment:", err)
			code = 1
		}
	}
	if tempDir != "" && !*keepDir {
		_ = os.RemoveAll(tempDir)
	}
	os.Exit(code)
}

// sharedSystem returns the shared system and starts it on the first call.
func sharedSystem(b *testing.B) *system {
	b.Helper()
	startOnce.Do(func() { started, startErr = startSystem() })
	must.NoError(b, startErr)
	return started
}

func startSystem() (*system, error) {
	var err error
	if tempDir, err = os.MkdirTemp("", "crocusyoke-bench"); err != nil {
		return nil, err
	}
	bin := *binaryDir
	if bin == "" {
		bin = filepath.Join(tempDir, "bin")
		if err := buildBinaries(bin); err != nil {
			return nil, err
		}
	}
	d, err := deploy.New(benchmarkPlan(), filepath.Join(tempDir, "run"))
	if err != nil {
		return nil, err
	}
	binaries := deploy.Binaries{
		Crocusyoke: filepath.Join(bin, "crocusyoke"),
		Standin:    filepath.Join(bin, "standin"),
	}
	if err := d.Start(context.Background(), binaries); err != nil {
		d.Processes.Close()
		return nil, err
	}
	s := newSystem(d)
	for _, url := range []string{s.ownerURL, s.entryURL} {
		if err := awaitRateShare(url); err != nil {
			return nil, errs.Combine(err, d.Stop())
		}
	}
	return s, nil
}

// Limits of awaitRateShare: it succeeds after rateShareStatements statements in a row.
const (
	rateShareTimeout       = 15 * time.Second
	rateShareRetryInterval = 50 * time.Millisecond
	rateShareStatements    = 500
)

// awaitRateShare waits until a node has its share of the customer's rate, which it shows by
// serving rateShareStatements statements in a row. Until then it may refuse statements.
func awaitRateShare(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), rateShareTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	for served := 0; served < rateShareStatements; served++ {
		if _, err = conn.Exec(ctx, "SELECT 1").ReadAll(); err != nil {
			if ctx.Err() != nil {
				return err
			}
			served = 0
			time.Sleep(rateShareRetryInterval)
		}
	}
	return nil
}

func buildBinaries(dir string) error {
	command := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "crocusyoke/cmd/...")
	if out, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w: %s", err, out)
	}
	return nil
}

func benchmarkPlan() deploy.Plan {
	return deploy.Plan{
		Name:        "bench",
		Domains:     []string{"a", "b", "c"},
		Nodes:       2,
		Services:    []string{measuredService, otherService},
		Slots:       slots,
		Connections: connections,
		Echo:        true,
		Profiling:   *profileDir != "",
		Customers: []deploy.CustomerPlan{
			{Name: "first", Rate: rate, Burst: rate, Weight: 1},
			{Name: "second", Rate: rate, Burst: rate, Weight: 1},
		},
		Profiles: []fleet.Profile{{
			Name: "session", Reads: fleet.ReadsSession, Confirm: fleet.ConfirmTerm,
			ReplicaWait: fleet.Duration(20 * time.Millisecond), RetryBudget: 0.1,
			Timeout: fleet.Duration(5 * time.Second),
		}},
		Profile: "session",
	}
}

// newSystem derives the connection strings from the deployment, which is running.
func newSystem(d *deploy.Deployment) *system {
	var nodes []ownership.Node
	for _, n := range d.Nodes {
		nodes = append(nodes, ownership.Node{Name: n.Name, Domain: n.Domain})
	}
	primary := d.Targets[0]
	ownerName := ownership.Owner(measuredService, primary.Domain, nodes)
	s := &system{deployment: d}
	s.directURL = connectionURL(d.User, d.Password, primary.Address, measuredService)
	for _, n := range d.Nodes {
		customer := d.Customers[0]
		url := connectionURL(customer.Name, customer.Key, n.Callers, measuredService)
		if n.Name == ownerName {
			s.ownerURL = url
		} else {
			s.entryURL = url
		}
	}
	return s
}

func connectionURL(user, password, address, database string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, address, database)
}

// usage is the cumulative resource usage of the deployment's processes.
type usage struct {
	// nodeAllocations and nodeCPU are the heap allocations and the CPU time of the nodes.
	nodeAllocations uint64
	nodeCPU         time.Duration
	// totalCPU is the CPU time of nodes, targets and callers together.
	totalCPU time.Duration
}

// usage returns the resource usage of all processes so far.
func (s *system) usage(b *testing.B) usage {
	b.Helper()
	var total usage
	for _, n := range s.deployment.Nodes {
		total.nodeAllocations += readDebugVars(b, n).Memory.Mallocs
		total.nodeCPU += cpuTime(b, s.deployment.Processes.PID(n.Name))
	}
	total.totalCPU = total.nodeCPU + cpuTime(b, os.Getpid())
	for _, t := range s.deployment.Targets {
		total.totalCPU += cpuTime(b, s.deployment.Processes.PID(t.Name))
	}
	return total
}

// clockTick is the unit of CPU time in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// cpuTime returns the CPU time that a process has used in user and kernel mode.
func cpuTime(b *testing.B, pid int) time.Duration {
	b.Helper()
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must.NoError(b, err)
	// The process name, which is in parentheses and may contain spaces, is field 2. fields[0] is
	// field 3, so that user and kernel time, fields 14 and 15, are fields[11] and fields[12].
	fields := strings.Fields(string(body[bytes.LastIndexByte(body, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	must.NoError(b, err)
	kernel, err := strconv.Atoi(fields[12])
	must.NoError(b, err)
	return time.Duration(user+kernel) * clockTick
}

// debugVars holds the counters that are read from a node's /debug/vars.
type debugVars struct {
	Memory struct{ Mallocs uint64 } `json:"memstats"`
}

func readDebugVars(b *testing.B, n deploy.Node) debugVars {
	b.Helper()
	response, err := http.Get("http://" + n.Ops + "/debug/vars")
	must.NoError(b, err)
	defer response.Body.Close()
	var v debugVars
	must.NoError(b, json.NewDecoder(response.Body).Decode(&v))
	return v
}
