package soak

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Report is the result of a run.
type Report struct {
	Seed       uint64           `json:"seed"`
	Length     string           `json:"length"`
	Schedule   string           `json:"schedule"`
	Events     []Event          `json:"events"`
	Rules      map[string]*Rule `json:"rules"`
	Counts     map[string]int   `json:"counts"`
	Written    int              `json:"acknowledged_writes"`
	Promotions int              `json:"promotions"`
}

// judgeWrites judges that each acknowledged write is in its group's log once.
func (r *run) judgeWrites(d *database) {
	leader := d.group.Leader()
	r.judge.check(ruleKept, leader != nil, "no target of %s leads in the end", d.group.Name)
	if leader == nil {
		return
	}
	writes := leader.Writes()
	r.statements.judgeLog(d.group.Name, writes)
	r.statements.fresh.judgeLog(d.group.Name, leader.Has)
	for _, item := range slices.Sorted(maps.Keys(r.written)) {
		if w := r.written[item]; w.database == d {
			r.judge.check(ruleKept, writes[item] > 0, "%q, acknowledged by %s at %s, is missing at %s",
				item, w.digest, w.at.UTC().Format("15:04:05.000"), leader.ID)
			r.judge.check(ruleOnce, writes[item] <= 1, "%q is there %d times", item, writes[item])
		}
	}
}

// finish judges what is left in the end and writes the report.
func (r *run) finish(events []Event) (*Report, error) {
	r.statements.settle(time.Now())
	promotions := 0
	for _, d := range r.databases {
		r.judgeWrites(d)
		promotions += len(d.group.Promotions())
	}
	report := &Report{
		Seed: r.options.Seed, Length: r.options.Length.String(), Schedule: r.options.Schedule,
		Events: events, Rules: r.judge.rules, Counts: r.judge.counts,
		Written: len(r.written), Promotions: promotions,
	}
	body, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	paths := []string{filepath.Join(r.options.Dir, "report.json")}
	if r.options.Out != "" {
		paths = append(paths, r.options.Out)
	}
	for _, path := range paths {
		if err := os.WriteFile(path, body, 0o600); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if broken := r.judge.broken(); len(broken) > 0 {
		return report, ErrBroken.New("%v", broken)
	}
	return report, nil
}
