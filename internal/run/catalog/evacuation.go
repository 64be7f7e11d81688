package catalog

import (
	"strings"

	"crocusyoke/internal/controller/evacuation"
)

// updateEvacuations derives the evacuated failure domains from the rows of the table of configuration, which
// came from source. The caller holds r.mu.
func (r *Runner) updateEvacuations(source string) {
	changes := r.evacuations.Apply(r.configuration.followed.Era, r.evacuationRows())
	for _, c := range changes {
		r.logEvacuation(c, source)
	}
	if len(changes) > 0 && r.current.Load() != nil {
		r.announceChange()
	}
}

// evacuationRows returns the failure domains that the rows name. The caller holds r.mu.
func (r *Runner) evacuationRows() []string {
	if r.o.EvacuationPrefix == "" {
		return nil
	}
	var domains []string
	for key := range r.configuration.rows {
		if domain, ok := strings.CutPrefix(key, r.o.EvacuationPrefix); ok && domain != "" {
			domains = append(domains, domain)
		}
	}
	return domains
}

// logEvacuation logs a change, and how many targets it concerns: none if no failure domain has the name. The
// caller holds r.mu.
func (r *Runner) logEvacuation(c evacuation.Change, source string) {
	targets := 0
	for _, t := range r.roster.Targets() {
		if t.Domain == c.Domain {
			targets++
		}
	}
	r.Counters.Add("changes_evacuations", 1)
	_ = r.o.Logger.Log("event", "evacuation", "domain", c.Domain, "evacuated", c.Evacuated, "row_lost", c.Retained, "targets", targets,
		"source", source, "version", r.configuration.followed.Version, "era", r.configuration.followed.Era,
		"confirmed_ago", r.role.ConfirmedAge(r.o.Clock.Now()))
}
