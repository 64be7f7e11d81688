package schedule

import (
	"time"

	"crocusyoke/internal/request"
)

// ExpectedWait estimates how long a new statement of customer would wait for a slot. It divides
// the number of the customer's waiting statements, including the new one, by the customer's
// share of the slots, and multiplies the result by the mean slot time. The share is by weight
// among the customers with waiting work.
func (s *Scheduler) ExpectedWait(customer string, weight int) time.Duration {
	if s.inFlight < s.options.Slots && s.queuedNew == 0 {
		return 0
	}
	weight = max(1, weight)
	ahead := 1
	total := weight
	own := s.flows[s.flowKey(customer)]
	if own != nil {
		ahead += own.queued
	}
	for _, f := range s.activeFlows {
		if f != own {
			total += f.weight
		}
	}
	if s.options.Policy == FIFO {
		total = weight
	}
	rounds := float64(ahead) * float64(total) / float64(weight*max(1, s.options.Slots))
	return time.Duration(rounds * float64(s.meanSlotTime))
}

// admit returns the refusal of an item that can't be queued, or nil: its deadline has passed,
// the queue of its customer is full, or the expected wait exceeds the time left.
func (s *Scheduler) admit(now time.Time, item *Item) *request.Refusal {
	if deadlinePassed(now, item.Deadline) {
		return request.Refuse(request.CodeTimeout, "schedule", "", "deadline passed before the statement was queued")
	}
	if item.Class > BeginTransaction {
		return nil
	}
	f := s.flows[s.flowKey(item.Customer)]
	if f != nil && f.queued >= s.options.QueueLimit {
		return request.Refuse(request.CodeOverloaded, "schedule", "", "customer has %d statements waiting", f.queued)
	}
	if item.Deadline.IsZero() {
		return nil
	}
	wait := s.ExpectedWait(item.Customer, item.Weight)
	left := item.Deadline.Sub(now)
	if wait > left {
		return request.Refuse(request.CodeOverloaded, "schedule", "",
			"expected wait %v exceeds the %v left", wait.Round(time.Millisecond), left.Round(time.Millisecond))
	}
	return nil
}

func (s *Scheduler) enqueue(item *Item) {
	item.state = stateQueued
	item.flow = nil
	if item.Class <= BeginTransaction {
		item.flow = s.flowOf(item)
		item.flow.queued++
		s.queuedNew++
		s.activate(item.flow)
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
	default:
		return &item.flow.queues[item.Class]
	}
}
