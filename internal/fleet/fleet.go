// Package fleet holds the live configuration: what operators change while traffic
// runs. A Config is immutable once published; its Version only grows on every node.
// Settings that a node reads once at start are in package settings.
package fleet

import "time"

// Duration is a time.Duration that is written as text, such as "250ms".
type Duration time.Duration

// Config is one whole version of the live configuration.
type Config struct {
	// Version is the platform table's version of the row that accepted this Config.
	Version uint64 `toml:"-" json:"version"`
	// TokenSecret authenticates session tokens; hex, at least 32 bytes.
	TokenSecret string     `toml:"token_secret,omitempty" json:"token_secret,omitempty"`
	Profiles    []Profile  `toml:"profile" json:"profiles"`
	Customers   []Customer `toml:"customer" json:"customers"`
	Services    []Service  `toml:"service" json:"services"`
	Groups      []Group    `toml:"group" json:"groups"`
}

// Confirm says what a write waits for before it is acknowledged.
type Confirm string

// The levels of confirmation.
const (
	// ConfirmTerm waits for fresh evidence that the primary's term is still current.
	ConfirmTerm Confirm = "term"
	// ConfirmMajority also waits until a majority of the group holds the write.
	ConfirmMajority Confirm = "majority"
)

// Reads says which targets may serve a read.
type Reads string

// The places that may serve a read.
const (
	// ReadsPrimary sends every read to the primary.
	ReadsPrimary Reads = "primary"
	// ReadsSession lets a replica serve a read once it covers the session's token.
	ReadsSession Reads = "session"
	// ReadsAge lets a replica serve a read whose data is at most MaxAge old, and that
	// covers the session's token if the session has one.
	ReadsAge Reads = "age"
)

// Profile weighs freshness, cost and caution for the requests that name it.
type Profile struct {
	Name string `toml:"name" json:"name"`
	// Freshness.
	Reads  Reads    `toml:"reads" json:"reads"`
	MaxAge Duration `toml:"max_age" json:"max_age"`
	// ReplicaWait is how long a read waits for a replica that almost covers its token.
	ReplicaWait Duration `toml:"replica_wait" json:"replica_wait"`
	// Caution.
	Confirm Confirm `toml:"confirm" json:"confirm"`
	// Cost: RetryBudget is the share of recent requests that may be retried, 0 to 1.
	RetryBudget float64 `toml:"retry_budget" json:"retry_budget"`
	// Timeout bounds one request from its arrival at the entry node.
	Timeout Duration `toml:"timeout" json:"timeout"`
}

// Customer is one tenant of the fleet.
type Customer struct {
	Name string `toml:"name" json:"name"`
	// Rate is in requests per second over the whole fleet.
	Rate float64 `toml:"rate" json:"rate"`
	// Burst is the number of requests that may exceed the rate at once, fleet-wide.
	Burst float64 `toml:"burst" json:"burst"`
	// Weight is the customer's share of a contended target; at least 1.
	Weight int   `toml:"weight" json:"weight"`
	Keys   []Key `toml:"key" json:"keys"`
}

// Key is one key of a customer. The key itself is never stored.
type Key struct {
	// ID names the key in logs and commands.
	ID string `toml:"id" json:"id"`
	// Hash is the hex SHA-256 of the key.
	Hash string `toml:"hash,omitempty" json:"hash,omitempty"`
}

// Service is what callers name as their database.
type Service struct {
	Name string `toml:"name" json:"name"`
	// Group is the database group that holds the service's data.
	Group string `toml:"group" json:"group"`
	// Profile is used by callers that name none.
	Profile string `toml:"profile" json:"profile"`
	// Customers may use the service. Ignored when Open.
	Customers []string `toml:"customers" json:"customers"`
	// Open lets every caller, with or without a key, run reads that accept any age.
	Open bool `toml:"open" json:"open"`
	// AllCustomers lets every customer use the service.
	AllCustomers bool `toml:"-" json:"all_customers,omitempty"`
	// OpenToAll lets every caller use the service, with or without a key, for anything.
	OpenToAll bool `toml:"-" json:"open_to_all,omitempty"`
}

// Group is one replicated database.
type Group struct {
	Name    string   `toml:"name" json:"name"`
	Targets []Target `toml:"target" json:"targets"`
}

// Target is one database server of a group.
type Target struct {
	Name string `toml:"name" json:"name"`
	// Address is IP:port.
	Address string `toml:"address" json:"address"`
	// Domain is the failure domain that the target runs in.
	Domain string `toml:"domain" json:"domain"`
	// Slots is the number of statements the target runs at once.
	Slots int `toml:"slots" json:"slots"`
	// Connections is the most connections the whole fleet may hold to the target.
	Connections int `toml:"connections" json:"connections"`
	// Leaving targets receive no new work.
	Leaving bool `toml:"leaving" json:"leaving"`
}

// Source gives the Config in force. Providers publish; nobody else writes.
type Source interface {
	// Current returns the Config in force, or nil before the first one arrived.
	Current() *Config
}

// UnmarshalText reads a duration such as "9s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText writes the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Customer returns the customer called name, or nil.
func (c *Config) Customer(name string) *Customer {
	return find(c.Customers, func(v *Customer) bool { return v.Name == name })
}

// KeyHolder returns the customer whose key has the hash, and the key; nil if there is
// none.
func (c *Config) KeyHolder(hash string) (*Customer, Key) {
	for i := range c.Customers {
		for _, k := range c.Customers[i].Keys {
			if k.Hash == hash {
				return &c.Customers[i], k
			}
		}
	}
	return nil, Key{}
}

// Service returns the service called name, or nil.
func (c *Config) Service(name string) *Service {
	return find(c.Services, func(v *Service) bool { return v.Name == name })
}

// Profile returns the profile called name, or nil.
func (c *Config) Profile(name string) *Profile {
	return find(c.Profiles, func(v *Profile) bool { return v.Name == name })
}

// Group returns the group called name, or nil.
func (c *Config) Group(name string) *Group {
	return find(c.Groups, func(v *Group) bool { return v.Name == name })
}

func find[T any](all []T, match func(*T) bool) *T {
	for i := range all {
		if match(&all[i]) {
			return &all[i]
		}
	}
	return nil
}
