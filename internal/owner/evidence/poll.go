package evidence

import "time"

// Intervals between two polls of one target.
const (
	// FastPoll is used while answers await confirmation.
	FastPoll = 2 * time.Millisecond
	// SlowPoll is used while requests arrive; it keeps evidence well within Bound.
	SlowPoll = 100 * time.Millisecond
	// IdlePoll is used in groups without recent requests; it stays within Bound, so that
	// a first request finds evidence.
	IdlePoll = 400 * time.Millisecond
	// HeldReplicaPoll and HeldPrimaryPoll are used under Rules.Held, where nothing waits for
	// the next poll: two replicas asked so often keep evidence within Bound.
	HeldReplicaPoll = 400 * time.Millisecond
	HeldPrimaryPoll = 400 * time.Millisecond
	// HeldWaitPoll is used there while a request waits for a target.
	HeldWaitPoll = 20 * time.Millisecond
	// RetryPoll is the pause after a poll that failed, and LongRetryPoll after several.
	RetryPoll     = 50 * time.Millisecond
	LongRetryPoll = 200 * time.Millisecond
	// MinPoll is the least interval, however many answers wait.
	MinPoll = 500 * time.Microsecond
)

// Demand is what waits for the next poll of a target.
type Demand struct {
	// Waiting is true while any answer awaits confirmation, or a request a target.
	Waiting bool
	// Idle is true when no request arrived of late.
	Idle bool
	// Held is Rules.Held; Primary is true for the primary's poll.
	Held    bool
	Primary bool
	// Since is the latest time that a waiting claim asks observations from.
	Since time.Time
}

// fewFailures is how many polls in a row are repeated soon.
const fewFailures = 10

// NextRetry returns when a target whose last poll failed at failedAt, the failures-th in
// a row, is to be asked again.
func NextRetry(failedAt time.Time, failures int) time.Time {
	if failures <= fewFailures {
		return failedAt.Add(RetryPoll)
	}
	return failedAt.Add(LongRetryPoll)
}

// NextPoll returns when a target that was last asked at lastSent is to be asked again.
// A claim that arose after lastSent is served at once; one that an earlier poll didn't
// satisfy, after FastPoll.
func NextPoll(lastSent time.Time, demand Demand) time.Time {
	if demand.Held {
		return lastSent.Add(heldInterval(demand))
	}
	switch {
	case !demand.Waiting && demand.Idle:
		return lastSent.Add(IdlePoll)
	case !demand.Waiting:
		return lastSent.Add(SlowPoll)
	case demand.Since.After(lastSent):
		return lastSent.Add(MinPoll)
	default:
		return lastSent.Add(FastPoll)
	}
}

func heldInterval(demand Demand) time.Duration {
	switch {
	case demand.Waiting:
		return HeldWaitPoll
	case demand.Primary:
		return HeldPrimaryPoll
	case demand.Idle:
		return IdlePoll
	default:
		return HeldReplicaPoll
	}
}
