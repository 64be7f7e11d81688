package schedule

import "time"

// flow is the new work of one customer at one level, or of all customers under FIFO.
type flow struct {
	key     string
	level   *level
	weight  int
	queues  [numNewClasses]queue
	queued  int
	running int
	// virtualTime is the slot time charged so far, in seconds, divided by weight.
	virtualTime  float64
	meanSlotTime time.Duration
	active       bool
}

func (f *flow) cost(used time.Duration) float64 {
	return used.Seconds() / float64(f.weight)
}

// flowKey returns the key of the flow that customer belongs to.
func (s *Scheduler) flowKey(customer string) string {
	if s.options.Policy == FIFO {
		return ""
	}
	return customer
}

// flowOf returns the flow of item and creates it if needed. An idle flow resumes with at least
// the virtual time of its level, so that a customer gains no credit while it is idle. The
// virtual time of a level is the highest that any of its flows had when it was granted a slot.
func (s *Scheduler) flowOf(item *Item) *flow {
	key := s.flowKey(item.Customer)
	l := s.levelOf(item.Priority)
	f := l.flows[key]
	if f == nil {
		f = &flow{key: key, level: l, meanSlotTime: s.slotTime(l)}
		l.flows[key] = f
	}
	f.weight = max(1, item.Weight)
	if s.options.Policy == FIFO {
		f.weight = 1
	}
	if f.queued == 0 && f.running == 0 {
		f.virtualTime = max(f.virtualTime, l.virtualTime)
	}
	return f
}

func (f *flow) activate() {
	if f.active {
		return
	}
	f.active = true
	f.level.activeFlows = append(f.level.activeFlows, f)
}

// deactivate removes f from the flows of its level with waiting work if f has none.
func (f *flow) deactivate() {
	if f.queued > 0 || !f.active {
		return
	}
	f.active = false
	l := f.level
	for i, other := range l.activeFlows {
		if other == f {
			last := len(l.activeFlows) - 1
			l.activeFlows[i] = l.activeFlows[last]
			l.activeFlows[last] = nil
			l.activeFlows = l.activeFlows[:last]
			return
		}
	}
}

// maxIdleFlows is the number of flows above which idle ones are dropped even if their
// virtual time is ahead of their level's.
const maxIdleFlows = 1024

// dropIfIdle drops f if it has no work and its virtual time is not ahead of its level's.
// A flow that is ahead used more than its share and is kept, so that its customer does not
// start afresh; above maxIdleFlows it is dropped all the same.
func (f *flow) dropIfIdle() {
	idle := f.queued == 0 && f.running == 0
	isAhead := f.virtualTime > f.level.virtualTime
	if idle && (!isAhead || len(f.level.flows) > maxIdleFlows) {
		delete(f.level.flows, f.key)
	}
}

// queue is a first-in-first-out queue of items.
type queue struct {
	items []*Item
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) at(i int) *Item { return q.items[q.head+i] }

func (q *queue) push(item *Item) { q.items = append(q.items, item) }

func (q *queue) peek() *Item {
	if q.len() == 0 {
		return nil
	}
	return q.items[q.head]
}

func (q *queue) pop() *Item {
	if q.len() == 0 {
		return nil
	}
	item := q.items[q.head]
	q.items[q.head] = nil
	q.head++
	q.compact()
	return item
}

// remove removes item from any place in the queue. It returns false if item is not in it.
func (q *queue) remove(item *Item) bool {
	for i := q.head; i < len(q.items); i++ {
		if q.items[i] == item {
			copy(q.items[i:], q.items[i+1:])
			q.items[len(q.items)-1] = nil
			q.items = q.items[:len(q.items)-1]
			q.compact()
			return true
		}
	}
	return false
}

// compact releases the space before head once it is at least half of items.
func (q *queue) compact() {
	if q.head*2 < len(q.items) {
		return
	}
	n := copy(q.items, q.items[q.head:])
	clear(q.items[n:])
	q.items = q.items[:n]
	q.head = 0
}
