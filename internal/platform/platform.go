// Package platform is the edge towards the platform: its table service, its object
// store and its list of VMs.
package platform

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Error classes. ErrUnknown means that a write may have taken effect: read it back.
var (
	ErrNotFound = errs.Class("not found")
	ErrConflict = errs.Class("conflict")
	ErrUnknown  = errs.Class("outcome unknown")
	ErrOutage   = errs.Class("platform outage")
	// ErrHistory: the changes asked for are no longer kept; read the table again.
	ErrHistory = errs.Class("history is gone")
)

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version counts the row's writes from 1; 0 stands for a row that does not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
	// StoreTime is what the store's steady clock showed when it answered; zero where the
	// store tells none.
	StoreTime time.Duration `json:"-"`
}

// Table is the transactional table service.
type Table interface {
	// Get returns the row, or ErrNotFound or ErrOutage.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose key starts with prefix, by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Put writes value if the row's version is still version (0: it does not exist) and
	// returns the new row. ErrConflict: not written. ErrUnknown: may be written.
	Put(ctx context.Context, key string, version uint64, value []byte) (Row, error)
}

// Tables that a Feed may follow.
const (
	// TableConfiguration holds the operator's configuration.
	TableConfiguration = "configuration"
	// TableTargets holds the list of targets.
	TableTargets = "targets"
	// TableNodes holds the rows of the system's nodes.
	TableNodes = "nodes"
)

// Change is a row as it became; Value is empty if it was deleted.
type Change struct {
	Row
	Deleted bool
}

// Feed follows whole tables. Versions are of one sequence over all tables.
type Feed interface {
	// Read returns a table's rows and the version at which they stood. It may be older
	// than what an earlier call returned.
	Read(ctx context.Context, table string) ([]Row, uint64, error)
	// Follow returns what changed after a version, in order, and the version to go on
	// from. It waits up to wait for a first change. ErrHistory: read the table again.
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Objects is the object store.
type Objects interface {
	// PutObject stores body under name; storing it again is harmless.
	PutObject(ctx context.Context, name string, body []byte) error
	// GetObject returns the body, or ErrNotFound or ErrOutage.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// VMState is what the platform says of a VM.
type VMState string

// The states of a VM. One that is gone is not listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry VM. The platform's list lags behind the truth.
type VM struct {
	// Name is never used again after the VM is gone.
	Name string `json:"name"`
	// Address is the IP:port at which its node hears peers.
	Address string  `json:"address"`
	Domain  string  `json:"domain"`
	State   VMState `json:"state"`
	// Fingerprint is that of the certificate which the node's process made at its start;
	// empty where an authority signs certificates.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// VMs is the platform's list of entry VMs.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform is all of it.
type Platform interface {
	Table
	Objects
	VMs
}

// CallTimeout bounds one call to the platform that has no earlier deadline.
const CallTimeout = 2 * time.Second
