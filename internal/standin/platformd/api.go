package platformd

import (
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
)

// Paths of the platform's HTTP interface. The name of a row or object follows PathRows or
// PathObjects; a slash and the name of a VM may follow PathVMs.
const (
	PathRows     = "/rows/"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
	PathFaults   = "/admin/faults"
	PathCounters = "/admin/counters"
)

// HeaderEra is the header of each answer of the table service that states the store's era, which
// grows with each restore.
const HeaderEra = "Platform-Era"

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 16 << 20

// DefaultVMLag is the delay before a change shows in the VM list, unless Faults.VMLag sets
// another one.
const DefaultVMLag = 2 * time.Second

// PutRequest is the body of a conditional write to the row named in the path.
type PutRequest struct {
	// Version is the version that the row must have for the write to succeed; 0 means that
	// the row must not exist.
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Rows is the response to a listing of rows.
type Rows struct {
	Rows []platform.Row `json:"rows"`
}

// VMList is the response to a listing of VMs.
type VMList struct {
	VMs []platform.VM `json:"vms"`
}

// Faults are the faults to inject. With the zero value the platform is healthy.
type Faults struct {
	// Outage refuses every call with status 503 before it takes effect.
	Outage bool `json:"outage"`
	// Hang blocks every call, before it takes effect, until the fault ends.
	Hang bool `json:"hang"`
	// Slow delays each call before it takes effect.
	Slow fleet.Duration `json:"slow"`
	// LoseCount is the number of following writes that take effect but get no response.
	LoseCount int `json:"lose_count"`
	// LoseShare is the share of writes, from 0 to 1, that take effect but get no response.
	LoseShare float64 `json:"lose_share"`
	// Seed seeds the random choice for LoseShare; 0 continues the current sequence.
	Seed uint64 `json:"seed"`
	// VMLag is the delay before later changes show in the VM list; 0 keeps the current lag.
	VMLag fleet.Duration `json:"vm_lag"`
}

// Counters counts the calls since the platform was started. Reads and Writes include the
// calls that were refused; Lost counts writes that took effect but got no response.
type Counters struct {
	Reads     int64 `json:"reads"`
	Writes    int64 `json:"writes"`
	Conflicts int64 `json:"conflicts"`
	Refused   int64 `json:"refused"`
	Lost      int64 `json:"lost"`
}
