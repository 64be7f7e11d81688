// Package cost measures the overhead of the control traffic per node. It runs deployments of
// several sizes without callers and compares counters of the kernel, of the nodes and of the
// platform before and after a fixed time.
package cost

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/httpjson"
)

// Error is the class of this package's errors.
var Error = errs.Class("cost")

const (
	// warmUpTime is how long a deployment runs before the first sample.
	warmUpTime = 10 * time.Second
	// measureTime is the time between the two samples.
	measureTime = 20 * time.Second
)

// Sample holds the sums of the counters over all nodes at one time. Except for
// ResidentBytes they only grow.
type Sample struct {
	At time.Time
	// CPUTime is the processor time that all nodes have used.
	CPUTime time.Duration
	// ResidentBytes is the resident memory of all nodes, in bytes.
	ResidentBytes int64
	// PeerCalls counts the control calls between nodes, PeerCallBytes the bytes of their
	// payload.
	PeerCalls, PeerCallBytes int64
	// TargetPolls counts the polls of targets by the owners of their groups.
	TargetPolls int64
	// DatagramsSent counts the UDP packets that the machine has sent. Nothing but the nodes
	// is expected to send any.
	DatagramsSent int64
	// LoopbackBytes counts the bytes sent over the loopback interface, by nodes, targets and
	// the platform.
	LoopbackBytes int64
	// PlatformReads and PlatformWrites count the reads and writes that the platform served.
	PlatformReads, PlatformWrites int64
}

// Row is the cost for one deployment size. Except where noted, values are averages per
// node, and all but CPUShare and ResidentBytes are per second.
type Row struct {
	Nodes          int
	CPUShare       float64 // used processor time, as a share of one core
	ResidentBytes  float64
	PeerCalls      float64
	PeerCallBytes  float64
	TargetPolls    float64 // sum over all owners
	DatagramsSent  float64
	LoopbackBytes  float64
	PlatformReads  float64 // sum over all nodes
	PlatformWrites float64 // sum over all nodes
}

// Measure runs the named deployment once for each number of nodes in sizes and prints a
// table with a row for each to w. The deployments keep their files in subdirectories of dir.
func Measure(ctx context.Context, w io.Writer, name, dir string, sizes []int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "nodes\t% of a core\tMB\tcalls/s\tpayload B/s\tUDP packets/s\tloopback B/s\tpolls/s, all\tplatform reads/s, all\twrites/s, all\t")
	for _, size := range sizes {
		row, err := measureSize(ctx, name, dir, size)
		if err != nil {
			return err
		}
		fmt.Fprintf(t, "%d\t%.2f\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\t%.2f\t\n", row.Nodes, 100*row.CPUShare, row.ResidentBytes/1e6,
			row.PeerCalls, row.PeerCallBytes, row.DatagramsSent, row.LoopbackBytes, row.TargetPolls, row.PlatformReads, row.PlatformWrites)
	}
	return t.Flush()
}

func measureSize(ctx context.Context, name, dir string, size int) (row Row, err error) {
	plan, err := deploy.NewPlan(name)
	if err != nil {
		return row, err
	}
	plan.Nodes = size
	binaries, err := deploy.DefaultBinaries()
	if err != nil {
		return row, err
	}
	d, err := deploy.New(plan, filepath.Join(dir, fmt.Sprintf("cost-%d", size)))
	if err != nil {
		return row, err
	}
	defer func() { err = errs.Combine(err, d.Stop()) }()
	if err := d.Start(ctx, binaries); err != nil {
		return row, err
	}
	if err := sleep(ctx, warmUpTime); err != nil {
		return row, err
	}
	before, err := takeSample(ctx, d)
	if err != nil {
		return row, err
	}
	if err := sleep(ctx, measureTime); err != nil {
		return row, err
	}
	after, err := takeSample(ctx, d)
	return rowBetween(before, after, size), err
}

func rowBetween(before, after Sample, nodes int) Row {
	seconds := after.At.Sub(before.At).Seconds()
	n := float64(nodes)
	rate := func(a, b int64) float64 { return float64(b-a) / seconds }
	return Row{
		Nodes:          nodes,
		CPUShare:       (after.CPUTime - before.CPUTime).Seconds() / seconds / n,
		ResidentBytes:  float64(after.ResidentBytes) / n,
		PeerCalls:      rate(before.PeerCalls, after.PeerCalls) / n,
		PeerCallBytes:  rate(before.PeerCallBytes, after.PeerCallBytes) / n,
		TargetPolls:    rate(before.TargetPolls, after.TargetPolls),
		DatagramsSent:  rate(before.DatagramsSent, after.DatagramsSent) / n,
		LoopbackBytes:  rate(before.LoopbackBytes, after.LoopbackBytes) / n,
		PlatformReads:  rate(before.PlatformReads, after.PlatformReads),
		PlatformWrites: rate(before.PlatformWrites, after.PlatformWrites),
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// takeSample reads all counters once.
func takeSample(ctx context.Context, d *deploy.Deployment) (Sample, error) {
	s := Sample{At: time.Now()}
	for _, n := range d.Nodes {
		if err := s.addNode(ctx, d, n); err != nil {
			return s, Error.New("%s: %w", n.Name, err)
		}
	}
	counters, err := d.PlatformAdmin().Counters(ctx)
	if err != nil {
		return s, Error.Wrap(err)
	}
	s.PlatformReads, s.PlatformWrites = counters.Reads, counters.Writes
	if s.DatagramsSent, err = datagramsSent(); err != nil {
		return s, err
	}
	s.LoopbackBytes, err = loopbackBytesSent()
	return s, err
}

// nodeCounters is the part of a node's /debug/vars that a Sample needs.
type nodeCounters struct {
	Peer struct {
		Calls     int64 `json:"calls"`
		CallBytes int64 `json:"call_bytes"`
	} `json:"peer"`
	Owner struct {
		Polls int64 `json:"polls"`
	} `json:"owner"`
}

func (s *Sample) addNode(ctx context.Context, d *deploy.Deployment, n deploy.Node) error {
	pid := d.Processes.PID(n.Name)
	processor, err := cpuTime(pid)
	if err != nil {
		return err
	}
	resident, err := residentMemory(pid)
	if err != nil {
		return err
	}
	var v nodeCounters
	if err := httpjson.Call(ctx, http.MethodGet, "http://"+n.Ops+"/debug/vars", nil, &v); err != nil {
		return err
	}
	s.CPUTime += processor
	s.ResidentBytes += resident
	s.PeerCalls += v.Peer.Calls
	s.PeerCallBytes += v.Peer.CallBytes
	s.TargetPolls += v.Owner.Polls
	return nil
}
