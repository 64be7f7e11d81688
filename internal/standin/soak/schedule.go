package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of an Event.
type Kind string

// The kinds of events. Those up to KindRecord are planned work, the others are faults.
const (
	// KindStop stops a node with SIGTERM and starts it again.
	KindStop Kind = "stop"
	// KindUnreadLog is KindStop with a log that nobody reads any more.
	KindUnreadLog Kind = "stop, log not read"
	// KindConfigure changes the configuration.
	KindConfigure Kind = "configure"
	// KindWithdraw takes a key away and gives it back later.
	KindWithdraw Kind = "withdraw"
	// KindHangup sends SIGHUP to a node.
	KindHangup Kind = "hang up"
	// KindRelease replaces the primary of a group as planned.
	KindRelease Kind = "release"
	// KindRecord stops two nodes of zone a at almost the same moment, beside other planned work.
	KindRecord Kind = "record"
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
	// KindRestore brings the store back from a copy some seconds old.
	KindRestore Kind = "restore"
	// KindLag makes the replicas of a group fall behind for a while.
	KindLag Kind = "lag"
	// KindGrow adds a node, KindShrink removes one for good. They are planned work.
	KindGrow   Kind = "grow"
	KindShrink Kind = "shrink"
	// KindRate lowers a customer's rate for a while. It is planned work.
	KindRate Kind = "rate"
	// KindEvacuate evacuates a zone for a while. It is planned work.
	KindEvacuate Kind = "evacuate"
	// KindSettings replaces a node's settings file, which is planned work too.
	KindSettings Kind = "settings"
)

var (
	plannedKinds  = []Kind{KindStop, KindStop, KindStop, KindUnreadLog, KindConfigure, KindWithdraw}
	morePlanned   = append(slices.Clone(plannedKinds), KindHangup, KindRelease, KindRecord)
	recordKinds   = []Kind{KindRecord, KindRecord, KindRecord, KindConfigure, KindRelease, KindHangup}
	widePlanned   = append(slices.Clone(morePlanned), KindGrow, KindShrink, KindSettings, KindSettings)
	allPlanned    = append(slices.Clone(widePlanned), KindRate, KindRate)
	domainPlanned = append(slices.Clone(allPlanned), KindEvacuate, KindEvacuate, KindEvacuate, KindEvacuate)
	domainFaults  = append(slices.Clone(faultKinds), KindLag, KindEvacuate, KindEvacuate, KindEvacuate)
	wideFaults    = append(slices.Clone(faultKinds), KindRestore, KindRestore, KindLag, KindLag)
	faultKinds    = []Kind{KindKill, KindPause, KindCrash, KindCrash, KindOddEntry, KindOddEntry, KindOddEntry, KindStore, KindStop}
)

// IsFault reports whether events of kind k are faults and not planned work.
func (k Kind) IsFault() bool {
	switch k {
	case KindStop, KindUnreadLog, KindConfigure, KindWithdraw, KindHangup, KindRelease, KindRecord, KindGrow, KindShrink, KindSettings, KindRate, KindEvacuate:
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
	// maxRecordGap is the longest time between two events of the schedule of the record, of which some
	// overlap and others don't.
	maxRecordGap = 9 * time.Second
)

// The schedules that a run can play.
const (
	// ScheduleAll has all kinds of planned work, and faults. ScheduleMixed lacks KindHangup, KindRelease and
	// KindRecord.
	ScheduleAll   = "all"
	ScheduleMixed = "mixed"
	// ScheduleWide has what ScheduleAll has, nodes that are added and removed for good, changed settings files, and a
	// store that is restored from a copy.
	ScheduleWide = "wide"
	// SchedulePlanned has the planned work of ScheduleWide, and a customer's rate that is lowered.
	SchedulePlanned = "planned"
	// ScheduleDomains has the planned work of SchedulePlanned and zones that are evacuated, at times beside faults. Zones
	// are in regions, some routes and customers have homes, targets are cold after their start, requests have priorities.
	ScheduleDomains = "domains"
	// ScheduleRecord has planned work only, mostly KindRecord.
	ScheduleRecord = "record"
)

// Draw returns the events of a schedule of the given length.
func Draw(schedule string, seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 1))
	longest := maxGap
	if schedule == ScheduleRecord {
		longest = maxRecordGap
	}
	var events []Event
	for at := warmUp; at < length; at += upTo(random, longest) {
		kinds := plannedKinds
		switch {
		case schedule == ScheduleRecord:
			kinds = recordKinds
		case schedule == SchedulePlanned:
			kinds = allPlanned
		case (at/phaseLength)%4 == 3 && schedule == ScheduleDomains:
			kinds = domainFaults
		case schedule == ScheduleDomains:
			kinds = domainPlanned
		case (at/phaseLength)%2 == 1 && schedule == ScheduleWide:
			kinds = wideFaults
		case (at/phaseLength)%2 == 1:
			kinds = faultKinds
		case schedule == ScheduleWide:
			kinds = widePlanned
		case schedule == ScheduleAll:
			kinds = morePlanned
		}
		events = append(events, Event{
			At: at, Kind: kinds[random.IntN(len(kinds))], Index: random.IntN(1 << 16), Variant: random.IntN(1 << 16),
		})
	}
	return events
}
