package soak

import (
	"math/rand/v2"
	"time"
)

// Kind is the kind of an Event.
type Kind string

// The kinds of events. Those up to KindWithdraw are planned work, the others are faults.
const (
	// KindStop stops a node with SIGTERM and starts it again.
	KindStop Kind = "stop"
	// KindUnreadLog is KindStop with a log that nobody reads any more.
	KindUnreadLog Kind = "stop, log not read"
	// KindConfigure changes the configuration.
	KindConfigure Kind = "configure"
	// KindWithdraw takes a key away and gives it back later.
	KindWithdraw Kind = "withdraw"
	// KindKill kills a node with SIGKILL and starts it again.
	KindKill Kind = "kill"
	// KindPause stops a node for a while with SIGSTOP.
	KindPause Kind = "pause"
	// KindCrash crashes the primary, and starts it again later.
	KindCrash Kind = "crash"
	// KindOddEntry replaces the entry of a target by one of another writer, until its next heartbeat.
	KindOddEntry Kind = "odd entry"
	// KindStore makes the store turn calls away for a while.
	KindStore Kind = "store"
)

var (
	plannedKinds = []Kind{KindStop, KindStop, KindStop, KindUnreadLog, KindConfigure, KindWithdraw}
	faultKinds   = []Kind{KindKill, KindPause, KindCrash, KindCrash, KindOddEntry, KindOddEntry, KindOddEntry, KindStore, KindStop}
)

// IsFault reports whether events of kind k are faults and not planned work.
func (k Kind) IsFault() bool {
	switch k {
	case KindStop, KindUnreadLog, KindConfigure, KindWithdraw:
		return false
	}
	return true
}

// Event is one event of a schedule.
type Event struct {
	// At is when the event begins, counted from the start of the load.
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	// Index draws the node or the target that the event concerns, Variant its further choices.
	Index   int `json:"index"`
	Variant int `json:"variant"`
}

const (
	// warmUp is the time without events at the beginning.
	warmUp = 2 * time.Second
	// phaseLength is the length of the phases, which are in turn of planned work only, and mixed.
	phaseLength = 12 * time.Second
	// maxGap is the longest time between two events.
	maxGap = 1400 * time.Millisecond
)

// Draw returns the schedule of a run of the given length.
func Draw(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	var events []Event
	for at := warmUp; at < length; at += time.Duration(random.Int64N(int64(maxGap))) {
		kinds := plannedKinds
		if (at/phaseLength)%2 == 1 {
			kinds = faultKinds
		}
		events = append(events, Event{
			At: at, Kind: kinds[random.IntN(len(kinds))], Index: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		})
	}
	return events
}
