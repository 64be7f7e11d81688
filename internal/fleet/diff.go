package fleet

import (
	"fmt"
	"strings"
)

// Op is the kind of a Change: an object was added or removed, or one of its fields changed.
type Op string

// Values of Op.
const (
	OpAdd    Op = "add"
	OpRemove Op = "remove"
	OpChange Op = "change"
)

// Change is one difference between two configurations, or another state change that is
// recorded in an audit trail. It never contains a key, a key's hash or the token secret.
type Change struct {
	Op Op `json:"op"`
	// Object is the kind and name of the changed object, such as "profile rates" or
	// "key mill/2026-a".
	Object string `json:"object"`
	// Field is the changed field. It is empty if the whole object was added or removed.
	Field string `json:"field,omitempty"`
	// From and To are the values of the field before and after the change; both are empty for
	// a secret. For a whole object, they are summaries of its fields without secrets.
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

// String formats the change as one line for operators.
func (c Change) String() string {
	switch {
	case c.Field == "":
		return strings.TrimSpace(fmt.Sprintf("%s %s %s%s", c.Op, c.Object, c.From, c.To))
	case c.From == "" && c.To == "":
		return fmt.Sprintf("%s %s: %s", c.Op, c.Object, c.Field)
	default:
		return fmt.Sprintf("%s %s: %s %q -> %q", c.Op, c.Object, c.Field, c.From, c.To)
	}
}

// Diff returns the changes that turn old into new. A nil old stands for an empty
// configuration.
func Diff(old, new *Config) []Change {
	if old == nil {
		old = &Config{}
	}
	before := describeConfig(old)
	after := describeConfig(new)
	return append(removedObjects(before, after), changedObjects(before, after)...)
}

// object is a part of a configuration that Diff compares by name. Objects of the same kind
// have the same fields in the same order.
type object struct {
	name   string
	fields []field
}

type field struct {
	name, value string
	secret      bool
}

func (o object) summary() string {
	var parts []string
	for _, f := range o.fields {
		if !f.secret {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	return strings.Join(parts, " ")
}

func removedObjects(before, after []object) []Change {
	var changes []Change
	for _, o := range before {
		if findObject(after, o.name) == nil {
			changes = append(changes, Change{Op: OpRemove, Object: o.name, From: o.summary()})
		}
	}
	return changes
}

func changedObjects(before, after []object) []Change {
	var changes []Change
	for _, o := range after {
		previous := findObject(before, o.name)
		if previous == nil {
			changes = append(changes, Change{Op: OpAdd, Object: o.name, To: o.summary()})
			continue
		}
		changes = append(changes, changedFields(*previous, o)...)
	}
	return changes
}

func changedFields(before, after object) []Change {
	var changes []Change
	for i, f := range after.fields {
		previous := before.fields[i]
		if previous.value == f.value {
			continue
		}
		change := Change{Op: OpChange, Object: after.name, Field: f.name, From: previous.value, To: f.value}
		if f.secret {
			change.From, change.To = "", ""
		}
		changes = append(changes, change)
	}
	return changes
}

func findObject(objects []object, name string) *object {
	return find(objects, func(o *object) bool { return o.name == name })
}

func describeConfig(c *Config) []object {
	objects := []object{{"fleet", []field{
		{name: "token_secret", value: c.TokenSecret, secret: true},
		{name: "evacuated_domains", value: strings.Join(c.EvacuatedDomains, ",")},
	}}}
	for i := range c.Profiles {
		objects = append(objects, describeProfile(&c.Profiles[i]))
	}
	for i := range c.Customers {
		objects = append(objects, describeCustomer(&c.Customers[i])...)
	}
	for i := range c.Services {
		objects = append(objects, describeService(&c.Services[i]))
	}
	for i := range c.Groups {
		objects = append(objects, describeGroup(&c.Groups[i])...)
	}
	return objects
}

func describeProfile(p *Profile) object {
	return object{"profile " + p.Name, []field{
		{name: "reads", value: string(p.Reads)},
		{name: "max_age", value: p.MaxAge.Std().String()},
		{name: "replica_wait", value: p.ReplicaWait.Std().String()},
		{name: "confirm", value: string(p.Confirm)},
		{name: "retry_budget", value: fmt.Sprint(p.RetryBudget)},
		{name: "timeout", value: p.Timeout.Std().String()},
		{name: "priority", value: fmt.Sprint(p.Priority)},
		{name: "objective", value: p.Objective.Std().String()},
	}}
}

func describeCustomer(c *Customer) []object {
	objects := []object{{"customer " + c.Name, []field{
		{name: "rate", value: fmt.Sprint(c.Rate)},
		{name: "burst", value: fmt.Sprint(c.Burst)},
		{name: "weight", value: fmt.Sprint(c.Weight)},
		{name: "priority", value: fmt.Sprint(c.Priority)},
		{name: "home_regions", value: strings.Join(c.HomeRegions, ",")},
	}}}
	for _, key := range c.Keys {
		objects = append(objects, object{"key " + c.Name + "/" + key.ID, []field{
			{name: "hash", value: key.Hash, secret: true},
		}})
	}
	return objects
}

func describeService(s *Service) object {
	return object{"service " + s.Name, []field{
		{name: "group", value: s.Group},
		{name: "profile", value: s.Profile},
		{name: "customers", value: strings.Join(s.Customers, ",")},
		{name: "open", value: fmt.Sprint(s.Open)},
		{name: "home_regions", value: strings.Join(s.HomeRegions, ",")},
	}}
}

func describeGroup(g *Group) []object {
	objects := []object{{"group " + g.Name, []field{
		{name: "cold_start", value: g.ColdStart.Std().String()},
		{name: "cold_rate", value: fmt.Sprint(g.ColdRate)},
	}}}
	for _, t := range g.Targets {
		objects = append(objects, object{"target " + g.Name + "/" + t.Name, []field{
			{name: "address", value: t.Address},
			{name: "domain", value: t.Domain},
			{name: "slots", value: fmt.Sprint(t.Slots)},
			{name: "connections", value: fmt.Sprint(t.Connections)},
			{name: "leaving", value: fmt.Sprint(t.Leaving)},
		}})
	}
	return objects
}
