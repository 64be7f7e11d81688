package catalog

import (
	"crocusyoke/internal/catalog"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/platform"
)

// publish derives the configuration from the tables, puts it in force and notifies the
// subscribers. If the configuration's row cannot be decoded or has no higher version than
// the last one that was decoded, publish uses that last one. The caller holds r.mu.
func (r *Runner) publish() {
	row, ok := r.configuration.rows[r.o.ConfigurationKey]
	if !ok {
		return
	}
	if row.Version != r.decodedRowVersion {
		r.decodedRowVersion = row.Version
		r.decodeConfiguration(row)
	}
	if r.decoded == nil {
		return
	}
	var targets []catalog.Target
	for _, t := range r.decodedTargets() {
		targets = append(targets, t)
	}
	for _, g := range r.removed {
		targets = append(targets, g.target)
	}
	config := catalog.BuildConfig(r.decoded, targets)
	r.current.Store(config)
	for _, f := range r.subscribers {
		f(config)
	}
}

// decodeConfiguration decodes the configuration's row. The caller holds r.mu.
func (r *Runner) decodeConfiguration(row platform.Row) {
	decoded, err := contain.Call("decode configuration", func() (*catalog.Configuration, error) {
		return r.o.Decoder.Configuration(row.Value)
	})
	switch {
	case err != nil:
		_ = r.o.Logger.Log("event", "configuration unreadable", "row_version", row.Version, "err", err)
	case r.decoded == nil || decoded.Version > r.decoded.Version:
		_ = r.o.Logger.Log("event", "configuration", "version", decoded.Version, "row_version", row.Version)
		r.decoded = decoded
	}
}
