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
	// Version is the version of the configuration; 0 if none was ever written.
	Version uint64
	Record  configuration.Record
	// Config is nil at version 0.
	Config *fleet.Config
	// Body is the stored encoding of Config.
	Body []byte
	// row is the row that was read, without its value.
	row platform.Row
}

// errRestored returns the error of a command that needs the newest configuration, while the store has only the one
// from before a restore.
func errRestored(version uint64) error {
	return platform.ErrOutage.New("the store was restored from a copy with version %d of the configuration; until a node has written the newest one back, nothing can be read or changed: try again", version)
}

// isRestored reports whether the store was restored since the version was written, so that it may not be the newest.
func (s State) isRestored() bool { return s.Record.IsRestored(s.row) }

// Read returns the newest configuration of a deployment, or the zero State if there is none. It fails with
// platform.ErrOutage if the store was restored and the newest configuration is not yet written back.
func Read(ctx context.Context, store platform.Platform, deployment string) (State, error) {
	state, err := readNewest(ctx, store, deployment)
	if err == nil && state.isRestored() {
		err = errRestored(state.Version)
	}
	return state, err
}

// readNewest returns the newest configuration that the store has, also if the store was restored.
func readNewest(ctx context.Context, store platform.Platform, deployment string) (State, error) {
	row, record, err := readRow(ctx, store, deployment)
	if err != nil || row.Version == 0 {
		return State{row: row}, err
	}
	state, err := readBody(ctx, store, record.VersionIn(row), record)
	state.row = platform.Row{Version: row.Version, Era: row.Era}
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

// readRow returns the row of a deployment and its decoded record. If the row does not exist, only its era is set.
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
	if record.VersionIn(row) == version && version > 0 {
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

// findEntry returns the entry of the audit chain back from the one called name that produced version.
func findEntry(ctx context.Context, store platform.Objects, name string, version uint64) (namedEntry, error) {
	found, err := findLast(ctx, store, name, func(e audit.Entry) bool { return e.ToVersion <= version })
	if err == nil && found.entry.ToVersion != version {
		err = platform.ErrNotFound.New("version %d of the configuration", version)
	}
	return found, err
}

// findSuccessor returns the entry of the audit chain back from the one called name that replaced version.
func findSuccessor(ctx context.Context, store platform.Objects, name string, version uint64) (namedEntry, error) {
	found, err := findLast(ctx, store, name, func(e audit.Entry) bool { return e.FromVersion <= version })
	if err == nil && found.entry.FromVersion != version {
		err = platform.ErrNotFound.New("change of version %d of the configuration", version)
	}
	return found, err
}

// findLast follows the audit chain back from the entry called name to the first one that matches.
func findLast(ctx context.Context, store platform.Objects, name string, matches func(audit.Entry) bool) (namedEntry, error) {
	for name != "" {
		entry, err := audit.Read(ctx, store, name)
		if err != nil {
			return namedEntry{}, err
		}
		if matches(entry) {
			return namedEntry{name, entry}, nil
		}
		name = entry.Previous
	}
	return namedEntry{}, platform.ErrNotFound.New("entry of the audit trail")
}
