// Package catalog merges the operator's configuration and the platform's list of targets into
// the fleet.Config that nodes use.
//
// Invariant: each Config is computed from exactly one version of the configuration, one
// state of the groups' members and one set of evacuated failure domains. It contains no target whose group is not in the configuration. The package uses no goroutines, locks or clocks.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/fleet"
)

// Configuration is the operator's configuration. It does not include the targets.
type Configuration struct {
	// Version is assigned by the operator. It increases, but not always by 1.
	Version   uint64
	Profiles  []fleet.Profile
	Customers []fleet.Customer
	Services  []fleet.Service
	Groups    []Group
	// TransactionIdleTimeout is how long a transaction may be idle between statements before it
	// may be aborted.
	TransactionIdleTimeout time.Duration
}

// Unservable returns the names of the customers and of the services that can't be served.
func (c *Configuration) Unservable() (customers, services []string) {
	for i := range c.Customers {
		if c.Customers[i].Unservable {
			customers = append(customers, c.Customers[i].Name)
		}
	}
	for i := range c.Services {
		if c.Services[i].Unservable {
			services = append(services, c.Services[i].Name)
		}
	}
	return customers, services
}

// Group is a database group in the configuration.
type Group struct {
	Name string
	// Connections is the maximum number of connections to each target, fleet-wide.
	Connections int
	// SyncReplicas is the number of replicas that must have received a commit before the primary
	// acknowledges it; 0 if replication is asynchronous.
	SyncReplicas int
	// ColdStart and ColdRate are those of fleet.Group.
	ColdStart time.Duration
	ColdRate  float64
}

// Target is one entry of the platform's list of targets.
type Target struct {
	Name    string
	Group   string
	Address string
	Domain  string
	Slots   int
	Leaving bool
	// Unlisted is true for a member of the group that the list no longer names (package
	// controller/roster).
	Unlisted bool
	// StartedAt is when the target's process started, by its own clock, and Sequence numbers what
	// that process has said about itself. Both are 0 if the entry does not state them.
	StartedAt time.Time
	Sequence  uint64
	// ColdLeft is how much longer the target is cold, if ColdLeftKnown: if the entry states it.
	ColdLeft      time.Duration
	ColdLeftKnown bool
}

// Precedes reports whether t is an earlier entry of its target than other.
func (t Target) Precedes(other Target) bool {
	return cmp.Or(t.StartedAt.Compare(other.StartedAt), cmp.Compare(t.Sequence, other.Sequence)) < 0
}

// Decoder decodes the platform's encodings of the configuration and of targets.
type Decoder interface {
	// Configuration decodes the operator's configuration.
	Configuration(value []byte) (*Configuration, error)
	// Target decodes an entry of the list. ok is false if the entry does not describe a usable
	// target.
	Target(key string, value []byte) (target Target, ok bool)
}

// BuildConfig returns the Config for configuration c, the given members of the groups and the names of
// the evacuated failure domains.
func BuildConfig(c *Configuration, targets []Target, evacuated []string) *fleet.Config {
	config := &fleet.Config{
		Version:   c.Version,
		Profiles:  c.Profiles,
		Customers: c.Customers,
		Services:  c.Services,
		Groups:    make([]fleet.Group, 0, len(c.Groups)),

		EvacuatedDomains: evacuated,
	}
	for _, g := range c.Groups {
		config.Groups = append(config.Groups, fleet.Group{
			Name:         g.Name,
			SyncReplicas: g.SyncReplicas,
			ColdStart:    fleet.Duration(g.ColdStart),
			ColdRate:     g.ColdRate,
			Targets:      groupTargets(g, targets),
		})
	}
	config.MarkEvacuated()
	return config
}

func groupTargets(g Group, targets []Target) []fleet.Target {
	var out []fleet.Target
	for _, t := range targets {
		if t.Group != g.Name {
			continue
		}
		out = append(out, fleet.Target{
			Name:        t.Name,
			Address:     t.Address,
			Domain:      t.Domain,
			Slots:       t.Slots,
			Connections: g.Connections,
			Leaving:     t.Leaving || t.Unlisted,
			Unlisted:    t.Unlisted,
		})
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return strings.Compare(a.Name, b.Name) })
	return out
}
