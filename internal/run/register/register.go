// Package register implements node discovery through the platform's table. Each node keeps
// a row with its address, its failure domain and the fingerprint of its certificate. The
// package is used where the platform does not list VMs.
//
// Invariant: a node's row is written by that node only. Another node deletes the row only
// after it has found the node gone (state membership.Gone, in which neither it nor other
// nodes have reached the node for some time) for RemoveAfter without interruption. A node
// that finds its own row missing writes it again, at once if a restore of the store has lost it.
package register

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("register")

const (
	// keyPrefix is the prefix of the row keys of nodes.
	keyPrefix = "node/"
	// RemoveAfter is how long a node must have been gone without interruption before its
	// row is deleted.
	RemoveAfter = 30 * time.Second
	// checkInterval is the delay between two checks whether this node's row is current and
	// whether rows of gone nodes must be deleted.
	checkInterval = time.Second
	// rewriteDelay is how long after a successful write the row may be missing from what this
	// node knows of the table before it is written again.
	rewriteDelay = 6 * time.Second
	// knownRowAttempts and knownRowInterval are how often and how far apart KnownRow is called
	// until the table has been read.
	knownRowAttempts = 10
	knownRowInterval = 30 * time.Millisecond
	// awayRowAttempts is the same after a call that the store has not answered: the table shows when it is back.
	awayRowAttempts = 50
	// retryMin and retryMax bound the delay after a failed write, before jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// record is the value of a node's row.
type record struct {
	Address     string `cbor:"1,keyasint"`
	Domain      string `cbor:"2,keyasint"`
	Fingerprint string `cbor:"3,keyasint,omitempty"`
	Capacity    int    `cbor:"4,keyasint,omitempty"`
}

// Table is the part of the store that the register needs.
type Table interface {
	platform.Table
	Delete(ctx context.Context, key string, version uint64) error
}

// Options configures a Register.
type Options struct {
	Self   platform.VM
	Table  Table
	Clock  clock.Clock
	Logger log.Logger
	Random *rand.Rand
	// RemovableNodes returns the names of the gone nodes whose rows this node is
	// responsible for deleting. A row is deleted once RemovableNodes has named its node for
	// RemoveAfter.
	RemovableNodes func() []string
	// KnownRow returns the row with the given key as this node knows it, without a call to the
	// store. known is false as long as the table has not been read. It may be nil.
	KnownRow func(key string) (row platform.Row, known bool)
	// OnAnswer is called after each call that the store has answered; it may be nil.
	OnAnswer func()
	// FirstStart is true if the whole fleet starts for the first time, so that there is no row yet.
	FirstStart bool
}

// Register maintains this node's row and reads the rows of the others.
type Register struct {
	o Options
	// goneSince holds, for each name that RemovableNodes returned at the last check, since
	// when it has done so without interruption. After a failed deletion of the row it holds
	// the time of the failure instead, so the next attempt follows after RemoveAfter. Only
	// Run uses it.
	goneSince map[string]time.Time
	// mustRead is true if the last write failed, so that the row may differ from what this node
	// knows. Only Run uses it.
	mustRead bool
	// isAway is true if the last call failed because the store did not answer. Only Run uses it.
	isAway bool
	// writtenAt and writtenEra are when, and in which era of the store, the row was last written.
	// Only Run uses them.
	writtenAt  time.Time
	writtenEra uint64
}

var _ platform.VMs = (*Register)(nil)

// New returns a Register. It writes nothing before Run is called.
func New(o Options) *Register {
	return &Register{o: o, goneSince: make(map[string]time.Time)}
}

// ListVMs implements platform.VMs.
func (r *Register) ListVMs(ctx context.Context) ([]platform.VM, error) {
	rows, err := r.o.Table.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	return VMs(rows), nil
}

// VMs returns the nodes that rows describe. It skips rows of other kinds and rows that
// cannot be decoded.
func VMs(rows []platform.Row) []platform.VM {
	var vms []platform.VM
	for _, row := range rows {
		name, ok := strings.CutPrefix(row.Key, keyPrefix)
		if !ok {
			continue
		}
		var r record
		if cbor.Unmarshal(row.Value, &r) != nil {
			continue
		}
		vms = append(vms, platform.VM{
			Name: name, Address: r.Address, Domain: r.Domain, State: platform.VMLive, Fingerprint: r.Fingerprint,
			Capacity: r.Capacity,
		})
	}
	return vms
}

// Run maintains this node's row until ctx ends. isCurrent reports whether the row, as last
// read, describes this process.
func (r *Register) Run(ctx context.Context, isCurrent func() bool) error {
	pause := retryMin
	for {
		wait := checkInterval
		if !isCurrent() && !r.isWritten() {
			err := r.writeRow(ctx)
			r.isAway = platform.ErrOutage.Has(err)
			if err != nil {
				_ = r.o.Logger.Log("event", "register", "err", err)
				wait = pause/2 + time.Duration(r.o.Random.Int64N(int64(pause)))
				pause = min(2*pause, retryMax)
			} else {
				pause = retryMin
				r.writtenAt = r.o.Clock.Now()
				r.noteAnswer()
			}
		}
		r.deleteGoneRows(ctx)
		if r.o.Clock.Sleep(ctx, wait) != nil {
			return nil
		}
	}
}

func (r *Register) noteAnswer() {
	if r.o.OnAnswer != nil {
		r.o.OnAnswer()
	}
}

// isWritten reports whether the row was written so recently that it may only be missing from what
// this node knows of the table. A restore of the store loses it for good.
func (r *Register) isWritten() bool {
	if r.writtenAt.IsZero() || r.o.Clock.Now().Sub(r.writtenAt) >= rewriteDelay {
		return false
	}
	if r.o.KnownRow == nil {
		return true
	}
	row, known := r.o.KnownRow(r.key())
	return !known || row.Era <= r.writtenEra
}

func (r *Register) key() string { return keyPrefix + r.o.Self.Name }

// writeRow writes this node's row unless it already has the right value.
func (r *Register) writeRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	self := r.o.Self
	value, err := cbor.Marshal(record{
		Address: self.Address, Domain: self.Domain, Fingerprint: self.Fingerprint, Capacity: self.Capacity,
	})
	if err != nil {
		return Error.Wrap(err)
	}
	row, err := r.currentRow(ctx, r.key())
	if err != nil {
		return err
	}
	if string(row.Value) == string(value) {
		r.writtenEra = row.Era
		return nil
	}
	written, err := r.o.Table.Put(ctx, r.key(), row.Version, value)
	r.mustRead = err != nil
	r.writtenEra = written.Era
	return err
}

// currentRow returns the row as it is known without a call, or as the store has it if the last
// write failed. The row is empty if it does not exist.
func (r *Register) currentRow(ctx context.Context, key string) (platform.Row, error) {
	if r.o.KnownRow != nil && !r.mustRead {
		if row, known := r.awaitKnownRow(ctx, key); known || r.o.FirstStart {
			return row, nil
		}
	}
	row, err := r.o.Table.Get(ctx, key)
	if platform.ErrNotFound.Has(err) {
		return platform.Row{Era: row.Era}, nil
	}
	return row, err
}

// awaitKnownRow returns the row as it is known without a call. After a restart it waits a little
// for the table to be read.
func (r *Register) awaitKnownRow(ctx context.Context, key string) (row platform.Row, known bool) {
	attempts := knownRowAttempts
	if r.isAway {
		attempts = awayRowAttempts
	}
	for range attempts {
		if row, known = r.o.KnownRow(key); known || r.o.FirstStart {
			return row, known
		}
		if r.o.Clock.Sleep(ctx, knownRowInterval) != nil {
			break
		}
	}
	return platform.Row{}, false
}

// deleteGoneRows deletes the rows of nodes that have been gone for RemoveAfter.
func (r *Register) deleteGoneRows(ctx context.Context) {
	now := r.o.Clock.Now()
	names := r.o.RemovableNodes()
	stillGone := make(map[string]time.Time, len(names))
	for _, name := range names {
		since, known := r.goneSince[name]
		if !known {
			since = now
		}
		stillGone[name] = since
		if now.Sub(since) < RemoveAfter {
			continue
		}
		if err := r.deleteRow(ctx, name); err != nil {
			_ = r.o.Logger.Log("event", "remove node", "node", name, "err", err)
			stillGone[name] = now
		}
	}
	r.goneSince = stillGone
}

func (r *Register) deleteRow(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	row, err := r.o.Table.Get(ctx, keyPrefix+name)
	if platform.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	_ = r.o.Logger.Log("event", "remove node", "node", name, "gone_for", RemoveAfter)
	return r.o.Table.Delete(ctx, row.Key, row.Version)
}
