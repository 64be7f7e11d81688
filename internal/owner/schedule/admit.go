package schedule

import (
	"time"

	"crocusyoke/internal/request"
)

// ExpectedWait estimates how long a new statement of customer would wait for a slot. It divides
// the number of the customer's waiting statements of this priority, including the new one, by the
// customer's share of the slots, and multiplies the result by the mean slot time. The share is by
// weight among the customers with waiting work of this priority. More urgent work goes ahead: what
// waits of it is added, and the share of the slots that it used lately is taken off.
func (s *Scheduler) ExpectedWait(now time.Time, customer string, weight, priority int) time.Duration {
	if s.inFlight < s.options.Slots && s.queuedNew == 0 {
		return 0
	}
	l := s.levelOf(priority)
	own := l.flows[s.flowKey(customer)]
	ahead := 1
	if own != nil {
		ahead += own.queued
	}
	return s.waitBehind(l, s.aheadOf(now, l), own, ahead, weight)
}

// ahead is what goes ahead of a level.
type ahead struct {
	// time is the slot time of what waits, and share the share of the slots that it uses.
	time  time.Duration
	share float64
}

// aheadOf returns what goes ahead of l: more urgent levels and open transactions.
func (s *Scheduler) aheadOf(now time.Time, l *level) ahead {
	if !s.options.Priorities {
		return ahead{}
	}
	var a ahead
	used := s.transactionUse.decayed(now)
	for _, other := range s.levels {
		if other == l {
			break
		}
		a.time += time.Duration(other.queued) * other.meanSlotTime
		used += other.use.decayed(now)
	}
	a.share = min(maxAheadShare, used/(useWindow.Seconds()*float64(max(1, s.options.Slots))))
	return a
}

// waitBehind returns the expected wait of the item of flow own (nil if it has none yet) that is at the given
// position among the flow's waiting items, counted from 1.
func (s *Scheduler) waitBehind(l *level, a ahead, own *flow, position, weight int) time.Duration {
	weight = max(1, weight)
	total := weight
	for _, f := range l.activeFlows {
		if f != own {
			total += f.weight
		}
	}
	if s.options.Policy == FIFO {
		total = weight
	}
	slots := max(1, s.options.Slots)
	rounds := float64(position) * float64(total) / float64(weight*slots)
	wait := rounds * float64(s.slotTime(l))
	if s.options.Priorities {
		wait = (wait + float64(a.time)/float64(slots)) / (1 - a.share)
	}
	return time.Duration(wait)
}

// isGrantedAtOnce reports whether an item of new work gets a slot as it arrives: one is free, and
// no waiting item may use it.
func (s *Scheduler) isGrantedAtOnce(item *Item) bool {
	return s.inFlight < s.options.Slots && s.canRun(item.Class)
}

// admit returns the refusal of an item that can't be queued, or nil: its deadline has passed,
// the queue of its customer is full, or the expected wait exceeds the time left.
func (s *Scheduler) admit(now time.Time, item *Item) *request.Refusal {
	if deadlinePassed(now, item.Deadline) {
		return request.Refuse(request.CodeTimeout, "schedule", "", "deadline passed before the statement was queued")
	}
	if item.Class > BeginTransaction || item.isReady || s.isGrantedAtOnce(item) {
		return nil
	}
	l := s.levelOf(item.Priority)
	f := l.flows[s.flowKey(item.Customer)]
	if f != nil && f.queued >= s.options.QueueLimit {
		return s.overloaded(now, l, "customer has %d statements waiting", f.queued)
	}
	if item.Deadline.IsZero() {
		return nil
	}
	wait := s.ExpectedWait(now, item.Customer, item.Weight, item.Priority)
	left := item.Deadline.Sub(now)
	if wait > left {
		return s.overloaded(now, l, "expected wait %v exceeds the %v left", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

func (s *Scheduler) enqueue(item *Item) {
	item.state = stateQueued
	item.flow = nil
	if item.Class <= BeginTransaction {
		item.flow = s.flowOf(item)
		item.flow.queued++
		item.flow.level.queued++
		s.queuedNew++
		item.flow.activate()
	}
	s.queueOf(item).push(item)
}

func (s *Scheduler) queueOf(item *Item) *queue {
	switch item.Class {
	case Urgent:
		return &s.urgent
	case EndTransaction:
		return &s.endTransaction
	case InTransaction:
		return &s.inTransaction
	}
	switch {
	case item.isReady:
		return &item.flow.level.ready
	default:
		return &item.flow.queues[item.Class]
	}
}
