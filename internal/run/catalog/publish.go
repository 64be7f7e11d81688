package catalog

import (
	"bytes"

	"crocusyoke/internal/catalog"
	"crocusyoke/internal/contain"
	"crocusyoke/internal/platform"
)

// document is the newest known document of the operator's configuration, by the version that the
// operator has assigned. It may be newer than the row of the table if a restore of the store has
// lost that row.
type document struct {
	decoded *catalog.Configuration
	value   []byte
	// era is the store's era in which the document was found in the table.
	era uint64
}

// version returns the operator's version of the document; 0 if none is known.
func (d *document) version() uint64 {
	if d.decoded == nil {
		return 0
	}
	return d.decoded.Version
}

// isReplacedBy reports whether a document that was found in era replaces d. The operator's versions
// increase. Only a restore lets a version be assigned again, if the operator has not written it
// again as it was.
func (d *document) isReplacedBy(next *catalog.Configuration, value []byte, era uint64) bool {
	if next.Version == d.version() {
		return era > d.era && !bytes.Equal(value, d.value)
	}
	return next.Version > d.version()
}

// publish derives the configuration from the document and the members, puts it in force and notifies the
// subscribers. The caller holds r.mu.
func (r *Runner) publish() {
	if r.document.decoded == nil {
		return
	}
	config := catalog.BuildConfig(r.document.decoded, r.roster.Targets(), r.evacuations.Domains())
	r.current.Store(config)
	for _, f := range r.subscribers {
		f(config)
	}
}

// decodeConfigurationRow decodes the configuration's row, which came from source, if it has changed. The
// caller holds r.mu.
func (r *Runner) decodeConfigurationRow(source string) {
	row, ok := r.configuration.rows[r.o.ConfigurationKey]
	revision := platform.Revision{Era: r.configuration.followed.Era, Version: row.Version}
	if !ok || revision == r.decodedRow {
		return
	}
	r.decodedRow = revision
	r.takeDocument(row.Value, revision, source)
}

// takeDocument decodes a document of the configuration, which came from source, and takes it unless the
// known one is newer. It reports whether the document was taken. The caller holds r.mu.
func (r *Runner) takeDocument(value []byte, revision platform.Revision, source string) bool {
	decoded, err := contain.Call("decode configuration", func() (*catalog.Configuration, error) {
		return r.o.Decoder.Configuration(value)
	})
	if err != nil {
		_ = r.o.Logger.Log("event", "configuration unreadable", "row_version", revision.Version, "era", revision.Era, "err", err)
		return false
	}
	if !r.document.isReplacedBy(decoded, value, revision.Era) {
		_ = r.o.Logger.Log("event", "configuration kept", "version", r.document.version(), "offered", decoded.Version,
			"row_version", revision.Version, "era", revision.Era)
		return false
	}
	r.logTaken(decoded.Version, revision, source)
	r.logUnservable(decoded)
	isFirst := r.document.decoded == nil
	r.document = document{decoded: decoded, value: value, era: revision.Era}
	if !isFirst {
		r.announceChange()
	}
	return true
}

// logUnservable logs the customers and the services of a configuration that can't be served: how many there
// are, and the first one.
func (r *Runner) logUnservable(c *catalog.Configuration) {
	customers, services := c.Unservable()
	if len(customers) > 0 {
		_ = r.o.Logger.Log("event", "customers unservable", "version", c.Version, "count", len(customers), "customer", customers[0])
	}
	if len(services) > 0 {
		_ = r.o.Logger.Log("event", "services unservable", "version", c.Version, "count", len(services), "service", services[0])
	}
}
