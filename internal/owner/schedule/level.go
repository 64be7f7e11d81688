package schedule

import (
	"slices"
	"time"
)

// level is the new work of one priority. Fairness holds within a level; between levels the more
// urgent one goes first.
type level struct {
	priority    int
	flows       map[string]*flow
	activeFlows []*flow
	// ready holds the items that gave back their slots. They go first.
	ready  queue
	queued int
	// virtualTime is the highest virtual time that any of its flows had when it was granted a slot.
	virtualTime  float64
	meanSlotTime time.Duration
	use          use
}

// maxLevels bounds the number of levels. Above it a priority shares the level of the next less
// urgent one.
const maxLevels = 64

// levelOf returns the level of priority and creates it if needed.
func (s *Scheduler) levelOf(priority int) *level {
	if !s.options.Priorities || s.options.Policy == FIFO {
		priority = 0
	}
	i := s.levelIndex(priority)
	if i < len(s.levels) && s.levels[i].priority == priority {
		return s.levels[i]
	}
	if len(s.levels) >= maxLevels {
		return s.levels[min(i, len(s.levels)-1)]
	}
	l := &level{priority: priority, flows: make(map[string]*flow), meanSlotTime: initialSlotTime}
	s.levels = slices.Insert(s.levels, i, l)
	return l
}

// levelIndex returns the index of the first level that is not more urgent than priority.
func (s *Scheduler) levelIndex(priority int) int {
	for i, l := range s.levels {
		if l.priority >= priority {
			return i
		}
	}
	return len(s.levels)
}

// slotTime returns the mean slot time of new work of l.
func (s *Scheduler) slotTime(l *level) time.Duration {
	if !s.options.Priorities {
		return s.meanSlotTime
	}
	return l.meanSlotTime
}

// maxSample bounds a sample of a level's mean slot time, as a multiple of the mean, so that a statement without an
// answer does not make all others look long.
const maxSample = 4

// recordUse records the slot time that item used up to now.
func (s *Scheduler) recordUse(now time.Time, item *Item, used time.Duration) {
	if !s.options.Priorities {
		return
	}
	if item.flow == nil {
		s.transactionUse.add(now, used)
		return
	}
	l := item.flow.level
	l.meanSlotTime = movingAverage(l.meanSlotTime, min(used, maxSample*l.meanSlotTime))
	l.use.add(now, used)
}

// leaveQueue accounts for an item of f that no longer waits.
func (s *Scheduler) leaveQueue(f *flow) {
	s.queuedNew--
	f.level.queued--
	f.queued--
	f.deactivate()
}

// popNewWork removes and returns the item of new work to run next, or nil if none may run. It is
// the next one of the most urgent level with one that may run, unless less urgent work has been
// passed over for long enough.
func (s *Scheduler) popNewWork(now time.Time) *Item {
	if s.queuedNew == 0 {
		return nil
	}
	for i, l := range s.levels {
		if l.queued == 0 {
			continue
		}
		item := s.nextOf(l)
		if item == nil {
			continue
		}
		if s.passedOver.isDue(now) {
			if oldest := s.oldestBelow(i); oldest != nil {
				item = oldest
				s.passedOver = passedOver{}
			}
		}
		s.take(item)
		s.passedOver.record(now, s.waitsBelow(item.flow.level))
		return item
	}
	return nil
}

// nextOf returns the oldest runnable item of the customer of l with the least virtual time, or nil.
// Customers with equal virtual times are served in order of arrival.
func (s *Scheduler) nextOf(l *level) *Item {
	if item := s.nextReady(l); item != nil {
		return item
	}
	var best *flow
	var bestItem *Item
	for _, f := range l.activeFlows {
		item := s.oldestRunnable(f)
		if item == nil {
			continue
		}
		if best == nil || f.virtualTime < best.virtualTime || (f.virtualTime == best.virtualTime && item.arrivalSeq < bestItem.arrivalSeq) {
			best, bestItem = f, item
		}
	}
	return bestItem
}

// oldestBelow returns the oldest runnable item of the levels that are less urgent than the one at
// index i, or nil.
func (s *Scheduler) oldestBelow(i int) (oldest *Item) {
	for _, l := range s.levels[i+1:] {
		if item := s.nextReady(l); item != nil && (oldest == nil || item.arrivalSeq < oldest.arrivalSeq) {
			oldest = item
		}
		for _, f := range l.activeFlows {
			if item := s.oldestRunnable(f); item != nil && (oldest == nil || item.arrivalSeq < oldest.arrivalSeq) {
				oldest = item
			}
		}
	}
	return oldest
}

// waitsBelow reports whether work waits that is less urgent than l.
func (s *Scheduler) waitsBelow(l *level) bool {
	if s.queuedNew == 0 {
		return false
	}
	for i := len(s.levels) - 1; i >= 0 && s.levels[i] != l; i-- {
		if s.levels[i].queued > 0 {
			return true
		}
	}
	return false
}

// oldestRunnable returns the oldest waiting item of f that may run, or nil.
func (s *Scheduler) oldestRunnable(f *flow) *Item {
	var oldest *Item
	for class := range f.queues {
		item := f.queues[class].peek()
		if item == nil || !s.canRun(Class(class)) {
			continue
		}
		if oldest == nil || item.arrivalSeq < oldest.arrivalSeq {
			oldest = item
		}
	}
	return oldest
}

// The bound on what more urgent work takes while less urgent work waits: of the grants in
// passedOverTime, and of any passedOverGrants+1, one goes to the less urgent statement that arrived
// first. A statement with n older ones that are less urgent than others is therefore passed over for
// no longer than n+1 times that period, whichever of the two is longer.
const (
	passedOverTime   = 250 * time.Millisecond
	passedOverGrants = 16
)

// passedOver records for how long less urgent work has been passed over by more urgent work.
type passedOver struct {
	since  time.Time
	grants int
}

// record records a grant of new work at now. waits says whether less urgent work waits.
func (p *passedOver) record(now time.Time, waits bool) {
	if !waits {
		*p = passedOver{}
		return
	}
	if p.grants == 0 {
		p.since = now
	}
	p.grants++
}

// isDue reports whether the next slot goes to the oldest work that was passed over.
func (p *passedOver) isDue(now time.Time) bool {
	return p.grants >= passedOverGrants && now.Sub(p.since) >= passedOverTime
}
