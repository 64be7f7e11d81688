// Package status defines what a node says of itself to operators, and renders it as
// tables. The node fills a Report and serves it to peer.KindStatus.
package status

import (
	"time"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// Request asks a node for its Report.
type Request struct {
	// Brief leaves out all but the node's own line.
	Brief bool `cbor:"1,keyasint" json:"brief"`
}

// Report is one node's status.
type Report struct {
	Node    string `cbor:"1,keyasint" json:"node"`
	Domain  string `cbor:"2,keyasint" json:"domain"`
	Release string `cbor:"3,keyasint" json:"release"`
	// Run is random, new at every start of the process.
	Run    string        `cbor:"4,keyasint" json:"run"`
	Uptime time.Duration `cbor:"5,keyasint" json:"uptime_ns"`
	// ConfigVersion is the configuration version in force; 0 for none.
	ConfigVersion uint64 `cbor:"6,keyasint" json:"config_version"`
	// ConfigFresh is false when a newer version may have passed the node by.
	ConfigFresh bool `cbor:"7,keyasint" json:"config_fresh"`
	// Draining is true during a graceful stop.
	Draining bool      `cbor:"8,keyasint" json:"draining"`
	Groups   []Group   `cbor:"9,keyasint" json:"groups,omitempty"`
	Shares   []Share   `cbor:"10,keyasint" json:"shares,omitempty"`
	Peers    []Peer    `cbor:"11,keyasint" json:"peers,omitempty"`
	Refusals []Refusal `cbor:"12,keyasint" json:"refusals,omitempty"`
}

// Group is a database group as the reporting node sees it.
type Group struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Owner is the node that owns the group; only the owner fills Targets.
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
	// Lag is in log entries behind the primary.
	Lag uint64 `cbor:"5,keyasint" json:"lag_entries"`
	// Age is how old the target's data may be.
	Age time.Duration `cbor:"6,keyasint" json:"age_ns"`
	// Connections counts the reporting node's connections to the target.
	Connections int `cbor:"7,keyasint" json:"connections"`
	// Busy counts the slots in use.
	Busy int `cbor:"8,keyasint" json:"busy"`
	// Queued counts the requests that wait for a slot.
	Queued int `cbor:"9,keyasint" json:"queued"`
	// Leaving targets receive no new work.
	Leaving bool `cbor:"10,keyasint" json:"leaving"`
	// Reachable is false when the target doesn't answer.
	Reachable bool `cbor:"11,keyasint" json:"reachable"`
}

// Share is the node's part of a customer's rate.
type Share struct {
	Customer string `cbor:"1,keyasint" json:"customer"`
	// Tokens is the number of requests that the node may admit at once.
	Tokens float64 `cbor:"2,keyasint" json:"tokens"`
	// Demand is in requests per second.
	Demand float64 `cbor:"3,keyasint" json:"demand"`
	// Own is true while the node uses its own share of the rate, its coordinator being lost.
	Own bool `cbor:"4,keyasint" json:"own"`
	// Coordinator is the node that grants the customer's tokens.
	Coordinator string `cbor:"5,keyasint" json:"coordinator"`
}

// Peer is another node as the reporting node sees it.
type Peer struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Domain  string `cbor:"2,keyasint" json:"domain"`
	Address string `cbor:"3,keyasint" json:"address"`
	State   string `cbor:"4,keyasint" json:"state"`
	// ConfigVersion is the version that the peer reported last.
	ConfigVersion uint64 `cbor:"5,keyasint" json:"config_version"`
}

// Refusal counts the refusals of one code.
type Refusal struct {
	Code  string `cbor:"1,keyasint" json:"code"`
	Count uint64 `cbor:"2,keyasint" json:"count"`
}
