package experiment

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"crocusyoke/internal/standin/check"
	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/httpjson"
	"crocusyoke/internal/status"
	"crocusyoke/internal/target"
)

const (
	// sampleInterval is the time between two rounds of samples of all nodes and targets.
	sampleInterval = 250 * time.Millisecond
	// sampleTimeout limits one sample of one node or target.
	sampleTimeout = 500 * time.Millisecond
)

// nodeCounters is the part of a node's /debug/vars that the experiment needs.
type nodeCounters struct {
	Configuration struct {
		Version uint64 `json:"version"`
	} `json:"configuration"`
	Owner struct {
		Reads    int64 `json:"reads"`
		Replicas int64 `json:"reads_by_replica"`
	} `json:"owner"`
	Promotion struct {
		Promotions int64 `json:"promotions"`
	} `json:"promotion"`
	Peer struct {
		CallBytes int64 `json:"call_bytes"`
		Calls     int64 `json:"calls"`
	} `json:"peer"`
}

// sampleUntilDone samples every node and every target repeatedly until ctx ends.
func (r *run) sampleUntilDone(ctx context.Context) {
	for sleep(ctx, sampleInterval) == nil {
		for _, n := range r.deployment.Nodes {
			r.sampleNode(ctx, n)
		}
		for _, t := range r.deployment.Targets {
			r.sampleTarget(ctx, t)
		}
	}
}

func (r *run) sampleNode(ctx context.Context, n deploy.Node) {
	at := r.recorder.Now()
	v, err := readCounters(ctx, n)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	vm := r.deployment.VMName(n)
	r.history.ConfigSamples = append(r.history.ConfigSamples, check.ConfigSample{Node: vm, At: at, Version: v.Configuration.Version})
	r.latestCounters[vm] = v
}

// sampleTarget records a promotion when a target is first seen as the primary of a term. The
// promotion was complete before that, so the recorded time may be late but is never early.
func (r *run) sampleTarget(ctx context.Context, t deploy.Target) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	state, err := r.deployment.TargetAdmin(t).State(ctx)
	if err != nil || state.Status.Role != target.RolePrimary || state.Status.Term == 1 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.history.Promotions {
		if p.Group == t.Group && p.Term == state.Status.Term {
			return
		}
	}
	p := check.Promotion{Group: t.Group, Term: state.Status.Term, At: r.recorder.Now()}
	r.history.Promotions = append(r.history.Promotions, p)
}

func readCounters(ctx context.Context, n deploy.Node) (nodeCounters, error) {
	ctx, cancel := context.WithTimeout(ctx, sampleTimeout)
	defer cancel()
	var v nodeCounters
	return v, httpjson.Call(ctx, http.MethodGet, "http://"+n.Ops+"/debug/vars", nil, &v)
}

// groupOwner returns the node that most nodes report as the group's owner, or "" if no report
// names one.
func (r *run) groupOwner(ctx context.Context, group string) string {
	output, err := r.deployment.OperateOutput(ctx, r.binaries, "status", "--output", "json")
	if err != nil {
		return ""
	}
	var result struct {
		Reports []status.Report `json:"reports"`
	}
	if json.Unmarshal(output, &result) != nil {
		return ""
	}
	votes := make(map[string]int)
	best := ""
	for _, report := range result.Reports {
		for _, g := range report.Groups {
			if g.Name != group {
				continue
			}
			votes[g.Owner]++
			if votes[g.Owner] > votes[best] {
				best = g.Owner
			}
		}
	}
	return best
}
