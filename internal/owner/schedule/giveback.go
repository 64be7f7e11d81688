package schedule

import "time"

// GiveBack frees the slot of an item of new work that can't use it yet, since its connection has to be opened, and
// returns the decisions made; the slice is valid until the next call. The slot time is not charged. The caller passes
// item to Submit again once it can run, or to Abandon. It then goes before other work of its priority. GiveBack reports
// false, and does nothing, if as many items as there are slots have given theirs back, since each holds a connection.
func (s *Scheduler) GiveBack(now time.Time, item *Item) (decisions []Decision, ok bool) {
	if !s.options.Priorities || item.state != stateRunning || item.flow == nil || s.gaveBack >= s.options.Slots {
		return nil, false
	}
	s.decisions = s.decisions[:0]
	s.gaveBack++
	item.state = stateGaveBack
	item.isReady = true
	s.inFlight--
	s.running[item.Class]--
	f := item.flow
	f.running--
	f.virtualTime -= f.cost(item.chargedTime)
	s.dispatch(now)
	return s.decisions, true
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
