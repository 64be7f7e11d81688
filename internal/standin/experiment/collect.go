package experiment

import (
	"context"
	"fmt"
	"time"

	"crocusyoke/internal/standin/check"
	"crocusyoke/internal/standin/deploy"
	"crocusyoke/internal/standin/load"
	"crocusyoke/internal/target"
)

// collectTimeout limits the final queries to each target and each group.
const collectTimeout = 10 * time.Second

// collect completes the history at the end of the run with the recorded operations, the
// counters of the targets and the rows of the groups.
func (r *run) collect(ctx context.Context) error {
	r.history.Ops = r.recorder.Ops()
	r.history.Length = r.recorder.Now()
	for _, t := range r.deployment.Targets {
		if err := r.collectTarget(ctx, t); err != nil {
			return err
		}
	}
	for _, group := range r.deployment.Plan.Services {
		if err := r.collectRows(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) collectTarget(ctx context.Context, t deploy.Target) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	client := r.deployment.TargetAdmin(t)
	state, err := client.State(ctx)
	if err != nil {
		return Error.New("state of target %s: %w", t.Name, err)
	}
	r.history.Targets = append(r.history.Targets, check.TargetUsage{
		Target:          t.Name,
		Slots:           r.deployment.Plan.Slots,
		PeakStatements:  int(state.Counters.MaxInFlight),
		ConnectionLimit: r.deployment.Plan.Connections,
		PeakConnections: int(state.Counters.MaxConnections + state.Counters.RefusedConnections),
		MayRunAbandoned: r.mayRunAbandoned[t.Name],
	})
	for _, c := range r.deployment.Customers {
		seen, err := client.Seen(ctx, c.Key)
		if err != nil {
			return Error.New("received texts of target %s: %w", t.Name, err)
		}
		if seen.Dropped > 0 {
			return Error.New("the record of the texts that target %s received is incomplete: %d texts were dropped", t.Name, seen.Dropped)
		}
		r.history.KeyExposures = append(r.history.KeyExposures, check.KeyExposure{Target: t.Name, KeyID: qualifiedKeyID(c), Exposures: int(seen.Count)})
	}
	return nil
}

// collectRows reads the rows of a group from the primary with the highest term.
func (r *run) collectRows(ctx context.Context, group string) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	primary, err := r.primary(ctx, group)
	if err != nil {
		return err
	}
	d := r.deployment
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", d.User, d.Password, primary.Address, group)
	rows, err := load.ReadRows(ctx, url, group, r.runName())
	if err != nil {
		return Error.New("rows of group %s: %w", group, err)
	}
	r.history.Rows = append(r.history.Rows, rows...)
	return nil
}

// primary returns the group's primary; if several targets claim to be it, the one with the
// highest term.
func (r *run) primary(ctx context.Context, group string) (deploy.Target, error) {
	var best deploy.Target
	var term uint64
	for _, t := range r.deployment.Targets {
		if t.Group != group {
			continue
		}
		state, err := r.deployment.TargetAdmin(t).State(ctx)
		if err == nil && state.Status.Role == target.RolePrimary && state.Status.Term >= term {
			best, term = t, state.Status.Term
		}
	}
	if term == 0 {
		return best, Error.New("group %s has no primary at the end of the run", group)
	}
	return best, nil
}
