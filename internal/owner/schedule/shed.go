package schedule

import (
	"time"

	"crocusyoke/internal/request"
)

// StepShed is the step of the refusal of an item that waited until more urgent work came.
const StepShed = "shed"

// shedInterval is the shortest time between two searches for work to shed.
const shedInterval = 5 * time.Millisecond

// shed refuses waiting work that more urgent work keeps from running before its deadline. Work of the
// most urgent level is not looked at, and nothing is while a slot is free.
func (s *Scheduler) shed(now time.Time) {
	if !s.options.Priorities || s.queuedNew == 0 || s.inFlight < s.options.Slots || now.Sub(s.lastShed) < shedInterval {
		return
	}
	s.lastShed = now
	for i := len(s.levels) - 1; i > 0; i-- {
		if s.levels[i].queued > 0 {
			s.shedLevel(now, s.levels[i])
		}
	}
}

func (s *Scheduler) shedLevel(now time.Time, l *level) {
	a := s.aheadOf(now, l)
	if a.time == 0 && a.share == 0 {
		return
	}
	var hopeless []*Item
	for _, f := range l.activeFlows {
		position := 1
		f.each(func(item *Item) {
			if !item.Deadline.IsZero() && s.waitBehind(l, a, f, position, f.weight) > item.Deadline.Sub(now) {
				hopeless = append(hopeless, item)
				return
			}
			position++
		})
	}
	for _, item := range hopeless {
		if s.Cancel(item) {
			refusal := s.overloaded(now, l, "more urgent work came, and this would not run before its deadline")
			refusal.Step = StepShed
			s.decisions = append(s.decisions, Decision{Item: item, Refusal: refusal})
		}
	}
}

// each calls visit with the waiting items of f in order of arrival.
func (f *flow) each(visit func(*Item)) {
	var next [numNewClasses]int
	for {
		var oldest *Item
		for class := range f.queues {
			if next[class] >= f.queues[class].len() {
				continue
			}
			if item := f.queues[class].at(next[class]); oldest == nil || item.arrivalSeq < oldest.arrivalSeq {
				oldest = item
			}
		}
		if oldest == nil {
			return
		}
		next[oldest.Class]++
		visit(oldest)
	}
}

// overloaded returns the refusal of an item of l for which there is no room. With priorities it says
// when to come back: once what waits ahead is done, more urgent callers first, and one after the other
// at the pace at which the target serves them.
func (s *Scheduler) overloaded(now time.Time, l *level, format string, args ...any) *request.Refusal {
	refusal := request.Refuse(request.CodeOverloaded, "schedule", "", format, args...)
	if !s.options.Priorities {
		return refusal
	}
	a := s.aheadOf(now, l)
	backlog := a.time + time.Duration(l.queued)*l.meanSlotTime
	slots := float64(max(1, s.options.Slots)) * (1 - a.share)
	return refusal.WithRetryAfter(s.comeback.Next(now, l.priority,
		time.Duration(float64(backlog)/slots), time.Duration(float64(l.meanSlotTime)/slots)))
}
