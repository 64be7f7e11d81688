// Package status defines the status that a node reports to operators and formats it as
// tables. A node answers calls of kind peer.KindStatus with a Report.
package status

import (
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// Request asks a node for its Report.
type Request struct {
	// Brief requests only the fields that describe the node itself, without Groups, Shares,
	// Peers and Refusals.
	Brief bool `cbor:"1,keyasint" json:"brief"`
}

// Report is the status of one node.
type Report struct {
	Node    string `cbor:"1,keyasint" json:"node"`
	Domain  string `cbor:"2,keyasint" json:"domain"`
	Release string `cbor:"3,keyasint" json:"release"`
	// Run is a random identifier that changes with every start of the process.
	Run    string        `cbor:"4,keyasint" json:"run"`
	Uptime time.Duration `cbor:"5,keyasint" json:"uptime_ns"`
	// ConfigVersion is the version of the configuration in force; 0 if there is none.
	ConfigVersion uint64 `cbor:"6,keyasint" json:"config_version"`
	// ConfigFresh is false if the node may have missed the acceptance of a newer version.
	ConfigFresh bool `cbor:"7,keyasint" json:"config_fresh"`
	// Draining is true during a graceful stop.
	Draining bool      `cbor:"8,keyasint" json:"draining"`
	Groups   []Group   `cbor:"9,keyasint" json:"groups,omitempty"`
	Shares   []Share   `cbor:"10,keyasint" json:"shares,omitempty"`
	Peers    []Peer    `cbor:"11,keyasint" json:"peers,omitempty"`
	Refusals []Refusal `cbor:"12,keyasint" json:"refusals,omitempty"`
	// EvacuatedDomains are the evacuated failure domains in the configuration in force.
	EvacuatedDomains []string `cbor:"13,keyasint,omitempty" json:"evacuated_domains,omitempty"`
}

// Group is a database group as the reporting node sees it.
type Group struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Owner is the node that owns the group. Only the owner reports Targets.
	Owner   string   `cbor:"2,keyasint" json:"owner"`
	Term    uint64   `cbor:"3,keyasint" json:"term"`
	Primary string   `cbor:"4,keyasint" json:"primary"`
	Targets []Target `cbor:"5,keyasint" json:"targets,omitempty"`
}

// Target is one target of a group.
type Target struct {
	Name     string          `cbor:"1,keyasint" json:"name"`
	Role     target.Role     `cbor:"2,keyasint" json:"role"`
	Term     uint64          `cbor:"3,keyasint" json:"term"`
	Position logpos.Position `cbor:"4,keyasint" json:"position"`
	// Lag is the number of log entries that the target is behind the primary's last known
	// position.
	Lag uint64 `cbor:"5,keyasint" json:"lag_entries"`
	// Age is the maximum age of the target's data; negative if it is unknown.
	Age time.Duration `cbor:"6,keyasint" json:"age_ns"`
	// Connections is the number of connections from the reporting node to the target.
	Connections int `cbor:"7,keyasint" json:"connections"`
	// Busy is the number of slots in use.
	Busy int `cbor:"8,keyasint" json:"busy"`
	// Queued is the number of requests that wait for a slot.
	Queued int `cbor:"9,keyasint" json:"queued"`
	// Leaving is true for a target that is being removed. It receives no new requests.
	Leaving bool `cbor:"10,keyasint" json:"leaving"`
	// Reachable is false if the target has not answered polls recently.
	Reachable bool `cbor:"11,keyasint" json:"reachable"`
	// Evacuated is true for a target in an evacuated failure domain. It receives no new requests.
	Evacuated bool `cbor:"12,keyasint,omitempty" json:"evacuated"`
}

// Share is the reporting node's share of a customer's quota.
type Share struct {
	Customer string `cbor:"1,keyasint" json:"customer"`
	// Tokens is the number of requests that the node may admit immediately.
	Tokens float64 `cbor:"2,keyasint" json:"tokens"`
	// Demand is the customer's demand at this node in requests per second.
	Demand float64 `cbor:"3,keyasint" json:"demand"`
	// OwnShare is true while the node uses its own share of the rate because it has lost contact
	// with the coordinator.
	OwnShare bool `cbor:"4,keyasint" json:"own"`
	// Coordinator is the node that grants tokens for the customer's quota.
	Coordinator string `cbor:"5,keyasint" json:"coordinator"`
}

// Peer is another node as the reporting node sees it.
type Peer struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Domain  string `cbor:"2,keyasint" json:"domain"`
	Address string `cbor:"3,keyasint" json:"address"`
	State   string `cbor:"4,keyasint" json:"state"`
	// ConfigVersion is the configuration version in the last report of the peer.
	ConfigVersion uint64 `cbor:"5,keyasint" json:"config_version"`
}

// Refusal is the number of requests that were refused with one code.
type Refusal struct {
	Code  string `cbor:"1,keyasint" json:"code"`
	Count uint64 `cbor:"2,keyasint" json:"count"`
}
