package change

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/status"
)

// Limits of status polls.
const (
	// StatusPollInterval is the pause between two rounds of status polls.
	StatusPollInterval = 200 * time.Millisecond
	// StatusCallTimeout limits the status call to one node.
	StatusCallTimeout = time.Second
	// MaxConcurrentStatusCalls is the maximum number of nodes polled at once.
	MaxConcurrentStatusCalls = 64
)

// Acceptance is the progress of a version on the nodes, as of the last round of polls.
type Acceptance struct {
	// Accepted is true if a majority of the listed nodes had the version, or a newer one, in
	// force at the same time.
	Accepted bool `json:"accepted"`
	// Listed is the number of nodes on the platform's list.
	Listed int `json:"listed"`
	// InForce is the number of listed nodes that reported the version or a newer one.
	InForce int `json:"in_force"`
	// Behind has the names of the listed nodes that did not report the version or a newer one,
	// including those that did not answer.
	Behind []string `json:"behind,omitempty"`
}

// Await polls the nodes until version is accepted or ctx ends, and returns the last known
// state. It returns an error only if the platform's list of nodes could not be read before
// the first round.
func (w *Writer) Await(ctx context.Context, version uint64) (Acceptance, error) {
	var result Acceptance
	var previous []NodeReport
	for {
		vms, err := w.Platform.ListVMs(ctx)
		if err != nil && ctx.Err() == nil && result.Listed == 0 {
			return result, err
		}
		if err == nil {
			reports := PollStatus(ctx, w.Peers, vms, status.Request{Brief: true})
			result = evaluateRound(version, previous, reports)
			previous = reports
		}
		if result.Accepted || ctx.Err() != nil {
			return result, nil
		}
		if w.Clock.Sleep(ctx, StatusPollInterval) != nil {
			return result, nil
		}
	}
}

// NodeReport is the result of a status call to a listed VM. Report is valid if Err is nil.
type NodeReport struct {
	VM     platform.VM
	Report status.Report
	Err    error
}

// hasVersion reports whether the node answered that it has version, or a newer one, in force.
func (r NodeReport) hasVersion(version uint64) bool {
	return r.Err == nil && r.Report.ConfigVersion >= version
}

// PollStatus requests the status of each VM, with at most MaxConcurrentStatusCalls calls at
// once. The reports are in the order of vms.
func PollStatus(ctx context.Context, peers peer.Caller, vms []platform.VM, request status.Request) []NodeReport {
	reports := make([]NodeReport, len(vms))
	var group errgroup.Group
	group.SetLimit(MaxConcurrentStatusCalls)
	for i, vm := range vms {
		group.Go(func() error {
			reports[i] = askNode(ctx, peers, vm, request)
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

func askNode(ctx context.Context, peers peer.Caller, vm platform.VM, request status.Request) NodeReport {
	ctx, cancel := context.WithTimeout(ctx, StatusCallTimeout)
	defer cancel()
	report := NodeReport{VM: vm}
	report.Err = peers.Call(ctx, vm.Address, peer.KindStatus, request, &report.Report)
	if report.Err == nil && report.Report.Node != vm.Name {
		// Another node has taken over the address. Its answer must count only once, under its own
		// name.
		report.Err = Error.New("status of %s: its address was answered by node %s", vm.Name, report.Report.Node)
	}
	return report
}

// evaluateRound computes the acceptance of version from two successive rounds of polls. A
// node counts towards acceptance if it had the version in both rounds and did not restart in
// between.
func evaluateRound(version uint64, previous, reports []NodeReport) Acceptance {
	result := Acceptance{Listed: len(reports)}
	hadBefore := 0
	for _, r := range reports {
		if !r.hasVersion(version) {
			result.Behind = append(result.Behind, r.VM.Name)
			continue
		}
		result.InForce++
		if hadVersionBefore(version, previous, r) {
			hadBefore++
		}
	}
	result.Accepted = hadBefore > len(reports)/2
	return result
}

func hadVersionBefore(version uint64, previous []NodeReport, current NodeReport) bool {
	for _, r := range previous {
		if r.VM.Name == current.VM.Name {
			return r.hasVersion(version) && r.Report.Run == current.Report.Run
		}
	}
	return false
}
