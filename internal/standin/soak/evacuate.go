package soak

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
)

const (
	// evacuationBound is how long after an order statements may still reach the targets of a zone.
	evacuationBound = 5 * time.Second
	// minEvacuated is how much longer than that a zone stays evacuated at least, and maxEvacuatedExtra what it may stay
	// beyond that.
	minEvacuated      = 2 * time.Second
	maxEvacuatedExtra = 5 * time.Second
	// evacuationRow is the key of an order, up to the zone's name.
	evacuationRow = "evacuate/"
	// unknownZone is a zone that no target is in.
	unknownZone = "nowhere"
)

// evacuation is an order and when it was acknowledged and taken back; the latter is zero while it holds.
type evacuation struct {
	zone             string
	ackedAt, endedAt time.Time
}

// evacuations judges what targets receive by the operator's orders. It is safe for concurrent use.
type evacuations struct {
	judge *judge

	mu     sync.Mutex
	orders []evacuation
}

// evacuate evacuates a zone for a while, unless it is evacuated already.
func (r *run) evacuate(e Event) {
	zone := append([]string{unknownZone}, zones...)[e.Index%(len(zones)+1)]
	order := r.evacuations.start(zone)
	if order < 0 {
		return
	}
	r.store.Put("op", evacuationRow+zone, []byte("{}"))
	r.evacuations.acknowledge(order, time.Now())
	time.Sleep(evacuationBound + minEvacuated + upTo(randomOf(e), maxEvacuatedExtra))
	r.evacuations.end(order, time.Now())
	r.store.Delete("op", evacuationRow+zone)
}

// start notes an order for a zone and returns its place, or -1 if there is one in force.
func (v *evacuations) start(zone string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.orders {
		if o.zone == zone && o.endedAt.IsZero() {
			return -1
		}
	}
	v.orders = append(v.orders, evacuation{zone: zone})
	return len(v.orders) - 1
}

func (v *evacuations) acknowledge(order int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orders[order].ackedAt = at
}

func (v *evacuations) end(order int, at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.orders[order].endedAt = at
}

// observe judges whether a caller's statement may have reached its target when it did.
func (v *evacuations) observe(ran hosted.Statement) {
	zone := zoneOf(ran.Target)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.orders {
		if o.zone != zone || o.ackedAt.IsZero() || ran.ReceivedAt.Before(o.ackedAt) || !o.endedAt.IsZero() && ran.ReceivedAt.After(o.endedAt) {
			continue
		}
		after := ran.ReceivedAt.Sub(o.ackedAt)
		late := after > evacuationBound && !v.judge.isExcused(o.ackedAt.Add(-stableTime), ran.ReceivedAt)
		v.judge.check(ruleEvacuated, !late, "%s got %s %s %s after zone %s was evacuated", ran.Target, ran.ID, shorten(ran.Text), after.Round(time.Millisecond), zone)
	}
}

// observe judges a statement that a target of a group carried out or refused.
func (r *run) observe(group string, ran hosted.Statement) {
	r.evacuations.observe(ran)
	r.statements.observe(group, ran)
}

// zoneOf returns the zone of a target, which its name tells: the first target of a group is in the zone of the group's
// place, the others in the next ones. A target that replaces another has its name and a further number.
func zoneOf(targetID string) string {
	base, _, _ := strings.Cut(targetID, "+")
	group, number, _ := strings.Cut(base, "-")
	n, _ := strconv.Atoi(number)
	for i, name := range groupNames {
		if name == group {
			return zones[(i+n-1)%len(zones)]
		}
	}
	return ""
}
