package status

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// SilentNode is a node on the platform's list of VMs that did not answer when it was asked for its
// status.
type SilentNode struct {
	Node   string `json:"node"`
	Domain string `json:"domain"`
	Error  string `json:"error"`
}

// Name returns a name as a cell of a table shows it: quoted if it has blanks or characters that can't be
// printed, so that it stays one cell of one line.
func Name(name string) string {
	if strings.IndexFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }) < 0 {
		return name
	}
	return strconv.Quote(name)
}

// Text returns text as the last cell of a row shows it: quoted if it would not stay on one line.
func Text(text string) string {
	if strings.IndexFunc(text, func(r rune) bool { return !unicode.IsPrint(r) }) < 0 {
		return text
	}
	return strconv.Quote(text)
}

// WriteTables writes the reports and the silent nodes as tab-separated tables, which are
// separated by empty lines.
func WriteTables(w io.Writer, reports []Report, silent []SilentNode) {
	writeNodes(w, reports, silent)
	writeEvacuations(w, reports)
	writeGroups(w, reports)
	writeShares(w, reports)
	writeRefusals(w, reports)
}

func writeNodes(w io.Writer, reports []Report, silent []SilentNode) {
	fmt.Fprintln(w, "NODE\tDOMAIN\tSTATE\tCONFIG\tFRESH\tUPTIME\tPEERS\tRELEASE")
	for _, r := range reports {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%s\n", Name(r.Node), Name(r.Domain), nodeState(r),
			r.ConfigVersion, yesOrNo(r.ConfigFresh), r.Uptime.Round(time.Second), len(r.Peers), r.Release)
	}
	for _, s := range silent {
		fmt.Fprintf(w, "%s\t%s\tsilent\t-\t-\t-\t-\t%s\n", Name(s.Node), Name(s.Domain), Text(s.Error))
	}
}

// writeEvacuations writes which nodes have which failure domains evacuated, if there are any.
func writeEvacuations(w io.Writer, reports []Report) {
	nodes := make(map[string]int)
	for _, r := range reports {
		for _, domain := range r.EvacuatedDomains {
			nodes[domain]++
		}
	}
	if len(nodes) == 0 {
		return
	}
	fmt.Fprintln(w, "\nEVACUATED DOMAIN\tIN FORCE AT")
	for _, domain := range slices.Sorted(maps.Keys(nodes)) {
		fmt.Fprintf(w, "%s\t%d of %d nodes\n", Name(domain), nodes[domain], len(reports))
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
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", Name(g.Name), Name(r.Node), Name(t.Name), t.Role,
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
	case t.Evacuated:
		return "evacuated"
	default:
		return "-"
	}
}

func writeShares(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "\nCUSTOMER\tNODE\tTOKENS\tDEMAND/S\tOWN SHARE\tCOORDINATOR")
	for _, r := range reports {
		for _, s := range r.Shares {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%s\t%s\n", Name(s.Customer), Name(r.Node), s.Tokens, s.Demand,
				yesOrNo(s.OwnShare), Name(s.Coordinator))
		}
	}
}

func writeRefusals(w io.Writer, reports []Report) {
	fmt.Fprintln(w, "\nREFUSAL\tNODE\tCOUNT")
	for _, r := range reports {
		for _, f := range r.Refusals {
			fmt.Fprintf(w, "%s\t%s\t%d\n", Name(f.Code), Name(r.Node), f.Count)
		}
	}
}
