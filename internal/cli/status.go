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
	var node, hostedFile string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show nodes, groups, shares and refusals",
		Long: "Show nodes, groups, shares and refusals. For a fleet on the users' platform, run the command on\n" +
			"one of the fleet's VMs and give the VM's settings file with --hosted or the environment variable\n" +
			HostedSettingsEnvVar + ".",
		Args: exactArgs(0),
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, peers, err := a.openFleet(firstNonEmpty(hostedFile, a.hooks.Getenv(HostedSettingsEnvVar)))
			if err != nil {
				return err
			}
			vms, err := list.ListVMs(cmd.Context())
			if err != nil {
				return err
			}
			vms = filterByName(vms, node)
			if len(vms) == 0 {
				return fmt.Errorf("the platform lists no nodes, or none with the name given by --node")
			}
			answers := change.PollStatus(cmd.Context(), peers, vms, status.Request{})
			return a.print(newStatusResult(answers))
		},
	}
	cmd.Flags().StringVar(&node, "node", "", "show only the node with this name")
	cmd.Flags().StringVar(&hostedFile, "hosted", "", "settings file of a VM on the users' platform")
	return cmd
}

// openFleet returns the VM list and a client for calls to the nodes. It uses the settings file
// of a hosted VM if hostedFile is given and the build supports it, else the operator's options.
func (a *app) openFleet(hostedFile string) (platform.VMs, peer.Caller, error) {
	if hostedFile != "" && a.hooks.OpenHosted != nil {
		return a.hooks.OpenHosted(hostedFile)
	}
	store, o, err := a.openPlatform()
	if err != nil {
		return nil, nil, err
	}
	peers, err := a.openPeers(o)
	return store, peers, err
}

func filterByName(vms []platform.VM, node string) []platform.VM {
	if node == "" {
		return vms
	}
	var matching []platform.VM
	for _, vm := range vms {
		if vm.Name == node {
			matching = append(matching, vm)
		}
	}
	return matching
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
