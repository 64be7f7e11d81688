// Package platform defines the interface to the platform's services: the table service, the
// object store and the list of VMs.
package platform

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error classes. After ErrOutcomeUnknown a write may or may not have taken effect, and the
// caller must read the row to find out.
var (
	ErrNotFound       = errs.Class("not found")
	ErrConflict       = errs.Class("conflict")
	ErrOutcomeUnknown = errs.Class("outcome unknown")
	ErrOutage         = errs.Class("platform outage")
	// ErrHistoryExpired means that the requested changes are no longer kept. The caller must read the
	// whole table again.
	ErrHistoryExpired = errs.Class("history is gone")
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version is assigned by the store with each write of the row; 0 if the row does not exist.
	// It is comparable only within one era.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// StoreTime is the reading of the store's monotonic clock when it answered; zero if the
	// store does not report it.
	StoreTime time.Duration `json:"-"`
	// Era is the store's era when it answered; 0 if the store does not state it.
	Era uint64 `json:"-"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns the row, or ErrNotFound or ErrOutage. With ErrNotFound, only the Era of the row
	// is set.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Put writes value and returns the new row if the row's current version is version, where 0
	// means that the row does not exist. It fails with ErrConflict if the version differs and
	// nothing was written, and with ErrOutcomeUnknown if the write may have taken effect.
	Put(ctx context.Context, key string, version uint64, value []byte) (Row, error)
}

// Names of the tables that a Feed can follow.
const (
	// TableConfiguration holds the operator's configuration.
	TableConfiguration = "configuration"
	// TableTargets holds the list of targets.
	TableTargets = "targets"
	// TableNodes holds the rows of this system's nodes.
	TableNodes = "nodes"
)

// Change is a row after a change. Value is empty if the row was deleted.
type Change struct {
	Row
	Deleted bool
}

// Feed reads whole tables and the changes to them. All tables share one sequence of revisions.
type Feed interface {
	// Read returns a table's rows and the revision that they reflect. The result may be older
	// than that of an earlier call.
	Read(ctx context.Context, table string) ([]Row, Revision, error)
	// Follow returns the changes to a table after the revision after, in order, and the revision
	// to pass to the next call. It waits for the first change for at most the duration wait. If
	// the returned revision is of another era than after, the changes do not continue from after.
	// It fails with ErrHistoryExpired if the changes are no longer kept.
	Follow(ctx context.Context, table string, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Objects is the object store.
type Objects interface {
	// PutObject stores body under name. It is idempotent.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the body, or ErrNotFound or ErrOutage.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM according to the platform.
type VMState string

// The states of a VM. A VM that no longer exists is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is a VM that runs a node. The platform's list of VMs lags behind their actual state.
type VM struct {
	// Name is not reused after the VM is gone.
	Name string `json:"name"`
	// Address is the IP:port at which the VM's node listens for peers.
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	State   VMState `json:"state"`
	// Fingerprint is the SHA-256, in hexadecimal, of the certificate that the node's process
	// generated when it started; empty if an authority signs the certificates.
	Fingerprint string `json:"fingerprint,omitempty"`
	// Capacity is the VM's processor, in thousandths of a core; 0 if it is not known.
	Capacity int `json:"capacity,omitempty"`
}

// VMs is the platform's list of the VMs that run nodes.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines the services of the platform.
type Platform interface {
	Table
	Objects
	VMs
}

// CallTimeout is the timeout of a call to the platform that has no earlier deadline.
const CallTimeout = 2 * time.Second
