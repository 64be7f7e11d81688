// Package register lets nodes find each other through rows of their own: each node keeps
// one row that says where it is and by which certificate it is known. It stands in where
// the platform lists no VMs.
//
// Invariant: a node's row is written by the node itself, and deleted by another one only
// while that one has found it gone for RemoveAfter; a node that finds its row missing
// writes it again.
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
	// keyPrefix begins the keys of nodes' rows.
	keyPrefix = "node/"
	// RemoveAfter is how long a node must have been gone before its row is deleted.
	RemoveAfter = 30 * time.Second
	// checkEvery is the pause between two looks at the rows.
	checkEvery = time.Second
	// retryMin and retryMax bound the pause after a write that failed, before jitter.
	retryMin = 100 * time.Millisecond
	retryMax = 2 * time.Second
)

// record is the value of a node's row.
type record struct {
	Address     string `cbor:"1,keyasint"`
	Domain      string `cbor:"2,keyasint"`
	Fingerprint string `cbor:"3,keyasint,omitempty"`
}

// Table is what the register needs of the store.
type Table interface {
	platform.Table
	Delete(ctx context.Context, key string, version uint64) error
}

// Options of a Register.
type Options struct {
	Self   platform.VM
	Table  Table
	Clock  clock.Clock
	Logger log.Logger
	Random *rand.Rand
	// Gone returns the names of the nodes that this node is to remove when they have been
	// gone for long enough.
	Gone func() []string
}

// Register keeps this node's row and reads those of the others.
type Register struct {
	o Options
	// gone holds since when nodes have been gone. Only Run uses it.
	gone map[string]time.Time
}

var _ platform.VMs = (*Register)(nil)

// New returns a Register that has written nothing yet.
func New(o Options) *Register {
	return &Register{o: o, gone: make(map[string]time.Time)}
}

// ListVMs implements platform.VMs.
func (r *Register) ListVMs(ctx context.Context) ([]platform.VM, error) {
	rows, err := r.o.Table.List(ctx, keyPrefix)
	if err != nil {
		return nil, err
	}
	return VMs(rows), nil
}

// VMs returns the nodes that rows name. Rows of another kind, and those that can't be
// read, name none.
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
		})
	}
	return vms
}

// Run keeps this node's row until ctx ends. current reports whether the row says what is
// true of this process.
func (r *Register) Run(ctx context.Context, current func() bool) error {
	pause := retryMin
	for {
		wait := checkEvery
		if !current() {
			if err := r.write(ctx); err != nil {
				_ = r.o.Logger.Log("event", "register", "err", err)
				wait = pause/2 + time.Duration(r.o.Random.Int64N(int64(pause)))
				pause = min(2*pause, retryMax)
			} else {
				pause = retryMin
			}
		}
		r.removeGone(ctx)
		if r.o.Clock.Sleep(ctx, wait) != nil {
			return nil
		}
	}
}

// write makes this node's row say where it is.
func (r *Register) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platform.CallTimeout)
	defer cancel()
	key := keyPrefix + r.o.Self.Name
	self := r.o.Self
	value, err := cbor.Marshal(record{Address: self.Address, Domain: self.Domain, Fingerprint: self.Fingerprint})
	if err != nil {
		return Error.Wrap(err)
	}
	row, err := r.o.Table.Get(ctx, key)
	if err != nil && !platform.ErrNotFound.Has(err) {
		return err
	}
	if err == nil && string(row.Value) == string(value) {
		return nil
	}
	_, err = r.o.Table.Put(ctx, key, row.Version, value)
	return err
}

// removeGone deletes the rows of nodes that have been gone for long enough.
func (r *Register) removeGone(ctx context.Context) {
	now := r.o.Clock.Now()
	names := r.o.Gone()
	still := make(map[string]time.Time, len(names))
	for _, name := range names {
		since, known := r.gone[name]
		if !known {
			since = now
		}
		still[name] = since
		if now.Sub(since) < RemoveAfter {
			continue
		}
		if err := r.remove(ctx, name); err != nil {
			_ = r.o.Logger.Log("event", "remove node", "node", name, "err", err)
			still[name] = now
		}
	}
	r.gone = still
}

func (r *Register) remove(ctx context.Context, name string) error {
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
