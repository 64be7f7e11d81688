package change

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
)

// Timing of retries.
const (
	// RetryInterval is the pause before a write whose answer was lost is tried again.
	RetryInterval = 200 * time.Millisecond
	// WriteTimeout is how long each of the three writes of a change is retried.
	WriteTimeout = 15 * time.Second
)

// Writer writes configuration changes of one deployment.
type Writer struct {
	Platform   platform.Platform
	Peers      peer.Caller
	Clock      clock.Clock
	Deployment string
	// Who is the operator name that is recorded in the audit trail.
	Who string
}

// Result is the outcome of Edit or Apply.
type Result struct {
	// Version is the written version, or the existing one if nothing changed.
	Version uint64
	// Unchanged is true if the stored configuration was equal already and nothing was written.
	Unchanged bool
	Changes   []fleet.Change
}

// ConflictError is the error of a change whose base version was already replaced by another
// change. The change did not take effect.
type ConflictError struct {
	// From is the version that the change was based on.
	From uint64
	// Winner is the change that replaced From.
	Winner audit.Entry
	// Newest is the newest version on the platform.
	Newest uint64
}

// Error implements error.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("conflict: version %d, which the change is based on, was replaced by version %d of %s at %s; the newest version is %d; nothing was written",
		c.From, c.Winner.ToVersion, c.Winner.Who, c.Winner.When.UTC().Format(time.RFC3339), c.Newest)
}

// Edit reads the newest configuration, applies edit to a copy of it and writes the copy. It
// fails with *Conflict if another change was written in the meantime.
func (w *Writer) Edit(ctx context.Context, edit func(*fleet.Config) error) (Result, error) {
	state, err := w.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if state.Config == nil {
		return Result{}, platform.ErrNotFound.New("deployment %q has no configuration; write one with config apply", w.Deployment)
	}
	config, err := state.Config.Clone()
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	if err := edit(config); err != nil {
		return Result{}, err
	}
	return w.write(ctx, state, config)
}

// Apply writes config as the next version. The parameter from is the version that config is
// based on; 0 means that no configuration exists yet. Apply fails with *Conflict if from is not
// the newest version, unless the newest version equals config.
func (w *Writer) Apply(ctx context.Context, from uint64, config *fleet.Config) (Result, error) {
	state, err := w.read(ctx)
	if err != nil {
		return Result{}, err
	}
	if state.Version == from {
		return w.write(ctx, state, config)
	}
	if body, err := fleet.Encode(config); err == nil && !state.isRestored() && bytes.Equal(body, state.Body) {
		return Result{Version: state.Version, Unchanged: true}, nil
	}
	return Result{}, w.newConflict(ctx, from, state.Version, state.Record)
}

// write validates config and replaces state by it.
func (w *Writer) write(ctx context.Context, state State, config *fleet.Config) (Result, error) {
	body, err := fleet.Encode(config)
	if err != nil {
		return Result{}, Error.Wrap(err)
	}
	if _, err := fleet.Parse(body, "configuration"); err != nil {
		return Result{}, err
	}
	if bytes.Equal(body, state.Body) && !state.isRestored() {
		return Result{Version: state.Version, Unchanged: true}, nil
	}
	entry := audit.Entry{
		ID:          rand.Text(),
		Who:         w.Who,
		When:        w.Clock.Now().UTC().Round(time.Millisecond),
		FromVersion: state.Version,
		ToVersion:   state.next(),
		Body:        platform.HashName(body),
		Changes:     fleet.Diff(state.Config, config),
		Previous:    state.Record.Audit,
	}
	record, err := w.putObjects(ctx, body, entry)
	if err != nil {
		return Result{}, err
	}
	record.Version, record.Era = entry.ToVersion, state.row.Era
	if err := w.putRow(ctx, state, record); err != nil {
		return Result{}, err
	}
	return Result{Version: entry.ToVersion, Changes: entry.Changes}, nil
}

func (w *Writer) putObjects(ctx context.Context, body []byte, entry audit.Entry) (configuration.Record, error) {
	var record configuration.Record
	err := w.retryUnknown(ctx, func() (err error) {
		record.Body, err = platform.PutHashed(ctx, w.Platform, body)
		return err
	})
	if err != nil {
		return record, err
	}
	err = w.retryUnknown(ctx, func() (err error) {
		record.Audit, err = audit.Append(ctx, w.Platform, entry)
		return err
	})
	return record, err
}

// retryUnknown repeats an idempotent write for up to WriteTimeout while its outcome is
// unknown.
func (w *Writer) retryUnknown(ctx context.Context, write func() error) error {
	deadline := w.Clock.Now().Add(WriteTimeout)
	for {
		err := write()
		if !platform.ErrOutcomeUnknown.Has(err) || w.Clock.Now().After(deadline) {
			return err
		}
		if err := w.Clock.Sleep(ctx, RetryInterval); err != nil {
			return err
		}
	}
}

// putRow writes record to the row if the row is still the one that state was read from. An error of class
// platform.ErrOutcomeUnknown means that the write may have taken effect or may still do so.
func (w *Writer) putRow(ctx context.Context, state State, record configuration.Record) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	deadline := w.Clock.Now().Add(WriteTimeout)
	mayBeWritten := false
	for {
		row, err := w.Platform.Put(ctx, configuration.RowKey(w.Deployment), state.row.Version, value)
		if err == nil {
			return checkEra(state, row, record)
		}
		if !mayBeWritten && platform.ErrOutage.Has(err) {
			return err
		}
		mayBeWritten = true
		done, err := w.resolveWrite(ctx, state, record)
		if done {
			return err
		}
		if w.Clock.Now().After(deadline) {
			return platform.ErrOutcomeUnknown.New("write of version %d: check config history before trying again", record.Version)
		}
		if err := w.Clock.Sleep(ctx, RetryInterval); err != nil {
			return platform.ErrOutcomeUnknown.New("write of version %d: %w", record.Version, err)
		}
	}
}

// checkEra returns an error of class platform.ErrOutcomeUnknown if the store was restored between the reading of state
// and that of row. The version of the row that state was read from may then have been given out again.
func checkEra(state State, row platform.Row, record configuration.Record) error {
	if row.Era == state.row.Era {
		return nil
	}
	return platform.ErrOutcomeUnknown.New("write of version %d: the store was restored from a copy meanwhile: check config history before trying again", record.Version)
}

// resolveWrite reads the row to determine the outcome of a write of record that was based on state. It returns true
// and nil if the write took effect, and true and a *Conflict if another write did. It returns false if the outcome is
// still unknown.
func (w *Writer) resolveWrite(ctx context.Context, state State, record configuration.Record) (done bool, err error) {
	row, newest, err := readRow(ctx, w.Platform, w.Deployment)
	if err != nil {
		return false, err
	}
	if err := checkEra(state, row, record); err != nil {
		return true, err
	}
	if row.Version <= state.row.Version {
		return false, nil
	}
	winner, err := findSuccessor(ctx, w.Platform, newest.Audit, state.Version)
	if err != nil {
		return false, err
	}
	if winner.name == record.Audit {
		return true, nil
	}
	return true, &ConflictError{From: state.Version, Winner: winner.entry, Newest: newest.VersionIn(row)}
}

// newConflict returns a *Conflict for a change whose base version, the parameter from, was
// already replaced by another change. If the audit entry of that other change cannot be read, its
// author is given as "unknown".
func (w *Writer) newConflict(ctx context.Context, from, newest uint64, record configuration.Record) error {
	winner, err := findSuccessor(ctx, w.Platform, record.Audit, from)
	if err != nil {
		winner.entry = audit.Entry{Who: "unknown", ToVersion: newest}
	}
	return &ConflictError{From: from, Winner: winner.entry, Newest: newest}
}
