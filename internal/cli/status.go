package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"crocusyoke/internal/change"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/status"
)

func (a *app) statusCommand() *cobra.Command {
	var node, hosted string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, groups, shares and refusals",
		Long: "Show nodes, groups, shares and refusals. For a fleet on the users' platform run it on one of\n" +
			"the fleet's VMs and name the settings file that the platform gave it: --hosted, or the variable\n" +
			HostedFileVariable + ".",
		Args: exactly(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, peers, err := a.openFleet(first(hosted, a.hooks.Getenv(HostedFileVariable)))
			if err != nil {
				return err
			}
			vms, err := list.ListVMs(cmd.Context())
			if err != nil {
				return err
			}
			vms = only(vms, node)
			if len(vms) == 0 {
				return fmt.Errorf("the platform lists no such node")
			}
			answers := change.Ask(cmd.Context(), peers, vms, status.Request{})
			return a.print(newStatusResult(answers))
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "ask one node only")
	cmd.Flags().StringVar(&hosted, "hosted", "", "the settings file of a VM on the users' platform")
	return cmd
}

// openFleet opens the list of nodes and the way to them: with the settings file of a hosted VM,
// or, without one, as the operator's options say.
func (a *app) openFleet(hosted string) (platform.VMs, peer.Caller, error) {
	if hosted != "" && a.hooks.Hosted != nil {
		return a.hooks.Hosted(hosted)
	}
	store, o, err := a.openPlatform()
	if err != nil {
		return nil, nil, err
	}
	peers, err := a.openPeers(o)
	return store, peers, err
}

func only(vms []platform.VM, node string) []platform.VM {
	if node == "" {
		return vms
	}
	var kept []platform.VM
	for _, vm := range vms {
		if vm.Name == node {
			kept = append(kept, vm)
		}
	}
	return kept
}

type statusResult struct {
	Reports []status.Report     `json:"reports"`
	Silent  []status.SilentNode `json:"silent"`
}

func newStatusResult(answers []change.NodeReport) statusResult {
	result := statusResult{Reports: []status.Report{}, Silent: []status.SilentNode{}}
	for _, answer := range answers {
		if answer.Err != nil {
			silent := status.SilentNode{Node: answer.VM.Name, Domain: answer.VM.Domain, Error: answer.Err.Error()}
			result.Silent = append(result.Silent, silent)
			continue
		}
		result.Reports = append(result.Reports, answer.Report)
	}
	return result
}

func (r statusResult) writeTable(w io.Writer) {
	status.WriteTables(w, r.Reports, r.Silent)
}
