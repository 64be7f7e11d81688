// Package fleet defines the live configuration, which operators can change without
// restarting nodes. A Config is immutable once it is published, and the Version in force on
// a node never decreases. Settings that a node reads only at its start are in package
// settings.
package fleet

import (
	"slices"
	"time"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// Config is one complete version of the live configuration.
type Config struct {
	// Version is the version that the platform table's row got when this Config was written.
	Version uint64 `toml:"-" json:"version"`
	// TokenSecret is the secret that authenticates session tokens: at least 32 bytes, in hex.
	TokenSecret string `toml:"token_secret,omitempty" json:"token_secret,omitempty"`
	// EvacuatedDomains are the failure domains whose targets get no new requests, in order of their names.
	EvacuatedDomains []string   `toml:"evacuated_domains,omitempty" json:"evacuated_domains,omitempty"`
	Profiles         []Profile  `toml:"profile" json:"profiles"`
	Customers        []Customer `toml:"customer" json:"customers"`
	Services         []Service  `toml:"service" json:"services"`
	Groups           []Group    `toml:"group" json:"groups"`
}

// Confirm is the condition that a write must meet before it is acknowledged.
type Confirm string

// Values of Confirm.
const (
	// ConfirmTerm waits for fresh evidence that the primary's term is still current.
	ConfirmTerm Confirm = "term"
	// ConfirmMajority also waits until a majority of the group holds the write.
	ConfirmMajority Confirm = "majority"
)

// Reads is the rule for which targets may serve a read.
type Reads string

// Values of Reads.
const (
	// ReadsPrimary sends every read to the primary.
	ReadsPrimary Reads = "primary"
	// ReadsSession lets a replica serve a read once the replica has applied everything that
	// the session's token covers.
	ReadsSession Reads = "session"
	// ReadsAge lets a replica serve a read if the replica's data is at most MaxAge old and,
	// if the session has a token, the replica has applied everything that the token covers.
	ReadsAge Reads = "age"
)

// Profile is a named choice of read freshness, write confirmation and retries. A request
// uses the profile that it names, or else the one of its service.
type Profile struct {
	Name string `toml:"name" json:"name"`
	// Reads and MaxAge decide how fresh the data of a read must be.
	Reads  Reads    `toml:"reads" json:"reads"`
	MaxAge Duration `toml:"max_age" json:"max_age"`
	// ReplicaWait is how long a read waits for a replica to become fresh enough, provided
	// that one is close enough to do so in this time.
	ReplicaWait Duration `toml:"replica_wait" json:"replica_wait"`
	// Confirm decides when a write is acknowledged.
	Confirm Confirm `toml:"confirm" json:"confirm"`
	// RetryBudget limits the load of retries: it is the share of recent requests that may be
	// retried, from 0 to 1.
	RetryBudget float64 `toml:"retry_budget" json:"retry_budget"`
	// Timeout limits the duration of one request, counted from its arrival at the node that
	// the caller is connected to.
	Timeout Duration `toml:"timeout" json:"timeout"`
	// Priority orders requests that compete for the same room, 0 first. It has an effect only where the
	// node's settings enable priorities.
	Priority int `toml:"priority,omitempty" json:"priority,omitempty"`
	// Objective is the time within which a caller's operation should be answered; 0 if not stated.
	Objective Duration `toml:"objective,omitempty" json:"objective,omitempty"`
}

// Customer is a tenant of the fleet, with its quota and its keys.
type Customer struct {
	Name string `toml:"name" json:"name"`
	// Rate is the quota in requests per second, fleet-wide.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the number of requests by which the customer may exceed Rate at once,
	// fleet-wide.
	Burst float64 `toml:"burst" json:"burst"`
	// Weight is the customer's share of a contended target relative to other customers. It
	// is at least 1.
	Weight int `toml:"weight" json:"weight"`
	// Priority orders the customer's requests among those of profiles with the same Priority, 0 first.
	Priority int `toml:"priority,omitempty" json:"priority,omitempty"`
	// HomeRegions are the regions that the customer's requests may be sent to; empty means any.
	HomeRegions []string `toml:"home_regions,omitempty" json:"home_regions,omitempty"`
	Keys        []Key    `toml:"key" json:"keys"`
	// Unservable is true for a customer that no target can be told of, because its name can't be sent.
	// Only the platform's configuration has such names.
	Unservable bool `toml:"-" json:"unservable,omitempty"`
}

// Key identifies an API key of a customer. Only its hash is stored, never the key itself.
type Key struct {
	// ID identifies the key in logs and commands.
	ID string `toml:"id" json:"id"`
	// Hash is the hex SHA-256 of the key.
	Hash string `toml:"hash,omitempty" json:"hash,omitempty"`
}

// Service is a database as callers see it: they connect to it under its name.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Group is the database group that holds the service's data.
	Group string `toml:"group" json:"group"`
	// Profile is the profile of requests that name none.
	Profile string `toml:"profile" json:"profile"`
	// Customers are the names of the customers that may use the service. Ignored if Open.
	Customers []string `toml:"customers" json:"customers"`
	// Open lets every caller, with or without a key, run reads whose profile has
	// ReadsAge.
	Open bool `toml:"open" json:"open"`
	// AllCustomers lets every customer use the service.
	AllCustomers bool `toml:"-" json:"all_customers,omitempty"`
	// HomeRegions are the regions that the service's requests may be sent to; empty means any. Those of
	// the customer bind as well.
	HomeRegions []string `toml:"home_regions,omitempty" json:"home_regions,omitempty"`
	// OpenToAll lets every caller use the service, with or without a key, for anything.
	OpenToAll bool `toml:"-" json:"open_to_all,omitempty"`
	// Unservable is true for a service whose group's name can't be sent to targets. Only the platform's
	// configuration has such names.
	Unservable bool `toml:"-" json:"unservable,omitempty"`
}

// Group is one replicated database: a primary and its replicas.
type Group struct {
	Name    string   `toml:"name" json:"name"`
	Targets []Target `toml:"target" json:"targets"`
	// SyncReplicas is the number of replicas that must have received a commit before the primary
	// acknowledges it; 0 if replication is asynchronous. Only the platform's configuration states it.
	SyncReplicas int `toml:"-" json:"sync_replicas,omitempty"`
	// ColdStart is how long a target is cold after its start, and ColdRate the number of requests per second
	// that a cold one takes, fleet-wide. Either is 0 if the group's targets are never cold.
	ColdStart Duration `toml:"cold_start,omitempty" json:"cold_start,omitempty"`
	ColdRate  float64  `toml:"cold_rate,omitempty" json:"cold_rate,omitempty"`
}

// Target is a database server of a group.
type Target struct {
	Name string `toml:"name" json:"name"`
	// Address is IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain of the target.
	Domain string `toml:"domain" json:"domain"`
	// Slots is the number of statements that may run on the target at once.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the maximum number of connections to the target, fleet-wide.
	Connections int `toml:"connections" json:"connections"`
	// Leaving is true for a target that is being removed. It receives no new requests.
	Leaving bool `toml:"leaving" json:"leaving"`
	// Unlisted is true for a target that the platform's list no longer names but that may still run.
	// It is also Leaving: it counts towards majorities and may be promoted, but gets no requests.
	Unlisted bool `toml:"-" json:"unlisted,omitempty"`
	// Evacuated is true for a target in one of the EvacuatedDomains. It counts towards majorities, but gets
	// no new requests and is promoted only if no other target has its log.
	Evacuated bool `toml:"-" json:"evacuated,omitempty"`
}

// Source provides the Config in force. Only its implementation publishes a new Config;
// callers must not modify the one they get.
type Source interface {
	// Current returns the Config in force, or nil if none has arrived yet.
	Current() *Config
}

// UnmarshalText parses a duration such as "9s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText formats the duration for UnmarshalText.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Customer returns the customer with the given name, or nil.
func (c *Config) Customer(name string) *Customer {
	return find(c.Customers, func(v *Customer) bool { return v.Name == name })
}

// CustomerByKeyHash returns the customer that owns the key with the given hash, and that key. The
// customer is nil if no key has the hash.
func (c *Config) CustomerByKeyHash(hash string) (*Customer, Key) {
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			if k.Hash == hash {
				return &c.Customers[i], k
			}
		}
	}
	return nil, Key{}
}

// Service returns the service with the given name, or nil.
func (c *Config) Service(name string) *Service {
	return find(c.Services, func(v *Service) bool { return v.Name == name })
}

// Profile returns the profile with the given name, or nil.
func (c *Config) Profile(name string) *Profile {
	return find(c.Profiles, func(v *Profile) bool { return v.Name == name })
}

// Group returns the group with the given name, or nil.
func (c *Config) Group(name string) *Group {
	return find(c.Groups, func(v *Group) bool { return v.Name == name })
}

// HasHomes reports whether a service or a customer has home regions.
func (c *Config) HasHomes() bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return len(s.HomeRegions) > 0 }) ||
		slices.ContainsFunc(c.Customers, func(c Customer) bool { return len(c.HomeRegions) > 0 })
}

func find[T any](all []T, match func(*T) bool) *T {
	for i := range all {
		if match(&all[i]) {
			return &all[i]
		}
	}
	return nil
}
