package change

import (
	"context"

	"github.com/zeebo/errs"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("change")

// State is a version of the configuration as read from the platform.
type State struct {
	// Version is the version of the row; 0 if no configuration was ever written.
	Version uint64
	Record  configuration.Record
	// Config is nil at version 0.
	Config *fleet.Config
	// Body is the stored encoding of Config.
	Body []byte
	// era is the store's era when the row was read.
	era uint64
}

// Read returns the newest configuration of a deployment, or the zero State if there is none.
func Read(ctx context.Context, store platform.Platform, deployment string) (State, error) {
	row, record, err := readRow(ctx, store, deployment)
	if err != nil || row.Version == 0 {
		return State{era: row.Era}, err
	}
	state, err := readBody(ctx, store, row.Version, record)
	state.era = row.Era
	return state, err
}

func readBody(ctx context.Context, store platform.Platform, version uint64, record configuration.Record) (State, error) {
	body, err := platform.GetHashed(ctx, store, record.Body)
	if err != nil {
		return State{}, err
	}
	config, err := fleet.Parse(body, record.Body)
	if err != nil {
		return State{}, Error.Wrap(err)
	}
	config.Version = version
	return State{Version: version, Record: record, Config: config, Body: body}, nil
}

// readRow returns the row of a deployment and its decoded record. The version is 0 if the row
// does not exist.
func readRow(ctx context.Context, store platform.Table, deployment string) (platform.Row, configuration.Record, error) {
	row, err := store.Get(ctx, configuration.RowKey(deployment))
	if platform.ErrNotFound.Has(err) {
		return platform.Row{Era: row.Era}, configuration.Record{}, nil
	}
	if err != nil {
		return row, configuration.Record{}, err
	}
	record, err := configuration.DecodeRecord(row.Value)
	return row, record, err
}

// History returns at most limit entries of the configuration's audit trail, newest first.
func History(ctx context.Context, store platform.Platform, deployment string, limit int) ([]audit.Entry, error) {
	_, record, err := readRow(ctx, store, deployment)
	if err != nil {
		return nil, err
	}
	return audit.History(ctx, store, record.Audit, limit)
}

// ReadVersion returns the given version of the configuration. Earlier versions are found in
// the audit trail. The error has class platform.ErrNotFound if the version does not exist.
func ReadVersion(ctx context.Context, store platform.Platform, deployment string, version uint64) (State, error) {
	row, record, err := readRow(ctx, store, deployment)
	if err != nil {
		return State{}, err
	}
	if row.Version == version && version > 0 {
		return readBody(ctx, store, version, record)
	}
	found, err := findEntry(ctx, store, record.Audit, version)
	if err != nil {
		return State{}, err
	}
	return readBody(ctx, store, version, configuration.Record{Body: found.entry.Body, Audit: found.name})
}

// namedEntry is an audit entry with the name of the object that stores it.
type namedEntry struct {
	name  string
	entry audit.Entry
}

// findEntry follows the audit chain back from the entry called name to the one that produced
// version.
func findEntry(ctx context.Context, store platform.Objects, name string, version uint64) (namedEntry, error) {
	for name != "" {
		entry, err := audit.Read(ctx, store, name)
		if err != nil {
			return namedEntry{}, err
		}
		if entry.ToVersion == version {
			return namedEntry{name, entry}, nil
		}
		if entry.ToVersion < version {
			break
		}
		name = entry.Previous
	}
	return namedEntry{}, platform.ErrNotFound.New("version %d of the configuration", version)
}
