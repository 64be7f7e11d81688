// Package catalog joins what the operator configures with the list of targets into the
// configuration that nodes work by.
//
// Invariant: a Config is made of one configuration and one state of the list; targets
// that no service names, or that can't be read, appear in none. The package holds no
// goroutine, lock or clock.
package catalog

import (
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/fleet"
)

// Configuration is what the operator configures, without the targets.
type Configuration struct {
	// Version is the operator's own number; it grows in uneven steps.
	Version   uint64
	Profiles  []fleet.Profile
	Customers []fleet.Customer
	Services  []fleet.Service
	Groups    []Group
	// TransactionIdle is how long a transaction may wait for its next statement before it
	// may be ended.
	TransactionIdle time.Duration
}

// Group is what the configuration says of a database group.
type Group struct {
	Name string
	// Connections is the most connections that the whole fleet may hold to a target.
	Connections int
	// Synced is true if the group's commits are acknowledged only once a replica has them.
	Synced bool
}

// Target is one entry of the list of targets.
type Target struct {
	Name    string
	Group   string
	Address string
	Domain  string
	Slots   int
	Leaving bool
}

// Decoder reads the platform's forms.
type Decoder interface {
	// Configuration reads the operator's configuration.
	Configuration(value []byte) (*Configuration, error)
	// Target reads an entry of the list. ok is false if it names no usable target.
	Target(key string, value []byte) (target Target, ok bool)
}

// Join returns the configuration to work by.
func Join(c *Configuration, targets []Target) *fleet.Config {
	config := &fleet.Config{
		Version:   c.Version,
		Profiles:  c.Profiles,
		Customers: c.Customers,
		Services:  c.Services,
		Groups:    make([]fleet.Group, 0, len(c.Groups)),
	}
	for _, g := range c.Groups {
		config.Groups = append(config.Groups, fleet.Group{Name: g.Name, Targets: members(g, targets)})
	}
	return config
}

func members(g Group, targets []Target) []fleet.Target {
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
			Leaving:     t.Leaving,
		})
	}
	slices.SortFunc(out, func(a, b fleet.Target) int { return strings.Compare(a.Name, b.Name) })
	return out
}
