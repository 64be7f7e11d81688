package evidence

import "time"

// Intervals between two polls of one target.
const (
	// ConfirmPollInterval is used while answers wait for confirmation.
	ConfirmPollInterval = 2 * time.Millisecond
	// ActivePollInterval is used while requests arrive. It keeps the age of evidence well below
	// MaxObservationAge.
	ActivePollInterval = 100 * time.Millisecond
	// IdlePollInterval is used in groups without recent requests. It is less than
	// MaxObservationAge, so that the next request finds evidence that may still be used.
	IdlePollInterval = 400 * time.Millisecond
	// HeldReplicaPollInterval and HeldPrimaryPollInterval are used under held terms while nothing
	// waits for a poll. Polls of two replicas at this interval are enough to keep the age of the
	// evidence within MaxObservationAge.
	HeldReplicaPollInterval = 400 * time.Millisecond
	HeldPrimaryPollInterval = 400 * time.Millisecond
	// HeldWaitingPollInterval is used under held terms while an answer waits for confirmation, while
	// a request waits for a target, or while the target is on hold: until its release is seen, nothing
	// may be confirmed.
	HeldWaitingPollInterval = 20 * time.Millisecond
	// RetryDelay is the delay after a failed poll, and LongRetryDelay the delay after more than
	// maxShortRetries failures in a row.
	RetryDelay     = 50 * time.Millisecond
	LongRetryDelay = 200 * time.Millisecond
	// MinPollInterval is the least interval, however many answers wait for confirmation.
	MinPollInterval = 500 * time.Microsecond
)

// Demand describes what waits for the next poll of a target. It determines the poll interval.
type Demand struct {
	// Waiting is true while an answer waits for confirmation, or while a request waits for a
	// target.
	Waiting bool
	// Idle is true if no request arrived recently.
	Idle bool
	// OnHold is true if the target was on hold when it was polled last.
	OnHold bool
	// HeldTerms is Options.HeldTerms of the group. Primary is true if the polled target is the
	// primary.
	HeldTerms bool
	Primary   bool
	// Since is the latest Claim.Since among the waiting claims.
	Since time.Time
}

// maxShortRetries is the number of failed polls in a row that are repeated after RetryDelay.
const maxShortRetries = 10

// NextRetry returns when to repeat a poll that failed at failedAt. failures is the number of
// polls of the target that failed in a row.
func NextRetry(failedAt time.Time, failures int) time.Time {
	if failures <= maxShortRetries {
		return failedAt.Add(RetryDelay)
	}
	return failedAt.Add(LongRetryDelay)
}

// NextPoll returns when to poll a target next that was last polled at lastSent. If a waiting
// claim needs a poll later than lastSent, the interval is MinPollInterval. While anything else
// waits, such as a claim that the last poll did not confirm, it is ConfirmPollInterval. Under held
// terms the interval is heldPollInterval.
func NextPoll(lastSent time.Time, demand Demand) time.Time {
	if demand.HeldTerms {
		return lastSent.Add(heldPollInterval(demand))
	}
	switch {
	case !demand.Waiting && demand.Idle:
		return lastSent.Add(IdlePollInterval)
	case !demand.Waiting:
		return lastSent.Add(ActivePollInterval)
	case demand.Since.After(lastSent):
		return lastSent.Add(MinPollInterval)
	default:
		return lastSent.Add(ConfirmPollInterval)
	}
}

func heldPollInterval(demand Demand) time.Duration {
	switch {
	case demand.Waiting, demand.OnHold:
		return HeldWaitingPollInterval
	case demand.Primary:
		return HeldPrimaryPollInterval
	case demand.Idle:
		return IdlePollInterval
	default:
		return HeldReplicaPollInterval
	}
}
