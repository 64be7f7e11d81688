package schedule

import (
	"slices"
	"time"
)

// GiveBack frees the slot of an item of new work that can't use it yet, since its connection has to be opened, and
// returns the decisions made; the slice is valid until the next call. The slot time is not charged. The caller calls
// EndOpening once the item can run or has failed, and unless it kept its slot, passes it to Submit again or to
// Abandon. It then goes before other work of its priority. If as many items as there are slots have given theirs back,
// since each holds a connection, the item keeps its slot until one of those is submitted again.
func (s *Scheduler) GiveBack(now time.Time, item *Item) []Decision {
	s.decisions = s.decisions[:0]
	if !s.options.Priorities || item.state != stateRunning || item.flow == nil {
		return s.decisions
	}
	if s.gaveBack >= s.options.Slots {
		s.opening = append(s.opening, item)
		return s.decisions
	}
	s.giveBack(item)
	s.dispatch(now)
	return s.decisions
}

// EndOpening ends the effect of GiveBack on an item that kept its slot, and reports whether it did.
func (s *Scheduler) EndOpening(item *Item) (hasSlot bool) {
	if i := slices.Index(s.opening, item); i >= 0 {
		s.opening = slices.Delete(s.opening, i, i+1)
	}
	return item.state == stateRunning
}

// giveBackNext gives back the slot of the item that has waited longest for that. Otherwise items that hold slots and
// wait for connections could wait for others that hold connections and wait for slots.
func (s *Scheduler) giveBackNext() {
	if len(s.opening) > 0 && s.gaveBack < s.options.Slots {
		item := s.opening[0]
		s.opening = slices.Delete(s.opening, 0, 1)
		s.giveBack(item)
	}
}

func (s *Scheduler) giveBack(item *Item) {
	s.gaveBack++
	item.state = stateGaveBack
	item.isReady = true
	s.inFlight--
	s.running[item.Class]--
	f := item.flow
	f.running--
	f.virtualTime -= f.cost(item.chargedTime)
}

// Abandon forgets an item that has given back its slot.
func (s *Scheduler) Abandon(item *Item) {
	if item.state == stateGaveBack {
		item.state = stateNone
		s.gaveBack--
	}
}

// nextReady returns the oldest item of l that may run of those that gave back their slots, or nil.
func (s *Scheduler) nextReady(l *level) *Item {
	for i := range l.ready.len() {
		if item := l.ready.at(i); s.canRun(item.Class) {
			return item
		}
	}
	return nil
}

// take removes item, which is the oldest of its class in its queue unless it gave back its slot, from its queue.
func (s *Scheduler) take(item *Item) {
	if q := s.queueOf(item); item.isReady {
		q.remove(item)
	} else {
		q.pop()
	}
	s.leaveQueue(item.flow)
}
