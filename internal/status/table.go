package status

import (
	"fmt"
	"io"
	"time"
)

// SilentNode is a node on the platform's list of VMs that did not answer when it was asked for its
// status.
type SilentNode struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	Error  string `json:"error"`
}

// WriteTables writes the reports and the silent nodes as tab-separated tables, which are
// separated by empty lines.
func WriteTables(w io.Writer, reports []Report, silent []SilentNode) {
	writeNodes(w, reports, silent)
	writeGroups(w, reports)
	writeShares(w, reports)
	writeRefusals(w, reports)
}

func writeNodes(w io.Writer, reports []Report, silent []SilentNode) {
	fmt.Fprintln(w, "NODE\tDOMAIN\tSTATE\tCONFIG\tFRESH\tUPTIME\tPEERS\tRELEASE")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", r.Node, r.Domain, nodeState(r),
			r.ConfigVersion, yesOrNo(r.ConfigFresh), r.Uptime.Round(time.Second), len(r.Peers), r.Release)
	}
	for _, s := range silent {
		fmt.Fprintf(w, "%s\t%s\tsilent\t-\t-\t-\t-\t%s\n", s.Node, s.Domain, s.Error)
	}
}

func nodeState(r Report) string {
	if r.Draining {
		return "draining"
	}
	return "serving"
}

func yesOrNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// writeGroups writes the targets of each group as reported by the owner of the group. If
// several nodes report the targets of a group, each has its own rows.
func writeGroups(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "\nGROUP\tOWNER\tTARGET\tROLE\tTERM\tPOSITION\tLAG\tAGE\tCONNECTIONS\tBUSY\tQUEUED\tNOTES")
	for _, r := range reports {
		for _, g := range r.Groups {
			for _, t := range g.Targets {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", g.Name, r.Node, t.Name, t.Role,
					t.Term, t.Position, t.Lag, t.Age.Round(time.Millisecond), t.Connections, t.Busy, t.Queued, targetNotes(t))
			}
		}
	}
}

func targetNotes(t Target) string {
	switch {
	case !t.Reachable:
		return "unreachable"
	case t.Leaving:
		return "leaving"
	default:
		return "-"
	}
}

func writeShares(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "\nCUSTOMER\tNODE\tTOKENS\tDEMAND/S\tOWN SHARE\tCOORDINATOR")
	for _, r := range reports {
		for _, s := range r.Shares {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%s\t%s\n", s.Customer, r.Node, s.Tokens, s.Demand, yesOrNo(s.OwnShare), s.Coordinator)
		}
	}
}

func writeRefusals(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "\nREFUSAL\tNODE\tCOUNT")
	for _, r := range reports {
		for _, f := range r.Refusals {
			fmt.Fprintf(w, "%s\t%s\t%d\n", f.Code, r.Node, f.Count)
		}
	}
}
