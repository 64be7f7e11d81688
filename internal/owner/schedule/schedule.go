// Package schedule decides which statement a target runs next. A slot is the permission to run
// one statement, and slot time is the time for which a statement holds its slot.
//
// Invariant: no slot is granted while as many statements are in flight as the target has
// slots. Free slots go first to urgent statements, then to statements that end a
// transaction, then to other statements of open transactions, then to new work. New work
// is ordered by priority (see level), and within a priority by weighted fair queueing over
// customers: the virtual time of a customer grows by the slot time that it used divided by
// its weight, and the customer with the least virtual time is served next.
//
// New work of any priority that may run gets a slot in bounded time (see passedOver). When what
// waits does not fit before its deadlines, the least urgent is refused (see shed). Nothing is
// refused while a slot is free that it may use, unless its deadline has passed.
//
// A transaction occupies a slot only while one of its statements runs, but keeps its locks in
// between. Statements that wait for these locks could take every slot, and the transaction
// could not go on to release them. To prevent this, statements that may wait for locks leave
// slots free while transactions are open (see canRun).
//
// The package starts no goroutines, takes no locks and reads no clock: the caller passes
// in the time and carries out the returned decisions.
package schedule

import (
	"time"

	"crocusyoke/internal/owner/comeback"
	"crocusyoke/internal/request"
)

// Class determines the priority of a statement and the rules under which it gets a slot.
type Class uint8

// The classes. The first three are new work, which is queued per customer.
const (
	// Read is new work that never waits for locks.
	Read Class = iota
	// Write is new work that may wait for locks.
	Write
	// BeginTransaction opens a transaction, which pins its connection until it ends.
	BeginTransaction
	// InTransaction is a statement of an open transaction that does not end it.
	InTransaction
	// EndTransaction ends an open transaction.
	EndTransaction
	// Urgent is control work, such as a health probe.
	Urgent

	numNewClasses = int(BeginTransaction) + 1
)

// Policy selects how new work is ordered.
type Policy string

// The policies.
const (
	// Fair is weighted fair queueing over customers.
	Fair Policy = "fair"
	// FIFO serves all customers in order of arrival. It is the baseline for comparisons.
	FIFO Policy = "fifo"
)

// Options of a Scheduler.
type Options struct {
	Policy Policy
	// Slots is the number of statements that may be in flight at once.
	Slots int
	// MaxOpenTransactions is the maximum number of open transactions. It should be less than the
	// number of connections, so that some are never pinned. Zero means Slots.
	MaxOpenTransactions int
	// QueueLimit is the maximum number of new statements of one customer that wait. Zero
	// means DefaultQueueLimit.
	QueueLimit int
	// Priorities orders new work by Item.Priority, and says in refusals when to come back. The
	// QueueLimit then holds for each priority of a customer.
	Priorities bool
}

// DefaultQueueLimit is the default maximum number of new statements of one customer that
// wait at one target.
const DefaultQueueLimit = 256

// initialSlotTime is the slot time assumed for a statement until one was measured.
const initialSlotTime = 5 * time.Millisecond

// slotTimeSmoothing is the weight of the newest sample in the moving averages of slot time.
const slotTimeSmoothing = 0.1

// Item is one statement. The Scheduler owns it from Submit until it is refused, cancelled,
// or Done is called.
type Item struct {
	Customer string
	Weight   int
	Class    Class
	// Priority orders new work, the lowest first, if Options.Priorities is set.
	Priority int
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Value is for use by the caller; the Scheduler does not read it.
	Value any

	flow        *flow
	arrivalSeq  uint64
	startedAt   time.Time
	chargedTime time.Duration
	state       itemState
	// isReady is true once the item has given back a slot.
	isReady bool
}

type itemState uint8

const (
	stateNone itemState = iota
	stateQueued
	stateRunning
	stateGaveBack
)

// Running reports whether the item holds a slot.
func (i *Item) Running() bool { return i.state == stateRunning }

// Decision says that an item was granted a slot, or refused before it ran.
type Decision struct {
	Item *Item
	// Refusal is nil when the item was granted a slot.
	Refusal *request.Refusal
}

// TransactionChange is the effect of a finished statement on the number of open transactions.
type TransactionChange int

// The changes.
const (
	TransactionUnchanged TransactionChange = 0
	TransactionOpened    TransactionChange = 1
	TransactionClosed    TransactionChange = -1
)

// Scheduler decides in which order the statements of one target run. It must not be used
// by several goroutines at once.
type Scheduler struct {
	options          Options
	running          [Urgent + 1]int
	inFlight         int
	openTransactions int
	urgent           queue
	endTransaction   queue
	inTransaction    queue
	// levels holds new work by priority, the most urgent first.
	levels         []*level
	queuedNew      int
	meanSlotTime   time.Duration
	lastArrivalSeq uint64
	decisions      []Decision
	// passedOver, transactionUse, lastShed and comeback are used only with Options.Priorities.
	passedOver     passedOver
	transactionUse use
	lastShed       time.Time
	comeback       comeback.Plan
	// gaveBack is the number of items that gave back their slots and were not submitted again yet.
	gaveBack int
	// opening holds the items that keep their slots only until they can give them back.
	opening []*Item
}

// New returns an empty Scheduler.
func New(options Options) *Scheduler {
	if options.Policy == "" {
		options.Policy = Fair
	}
	if options.QueueLimit == 0 {
		options.QueueLimit = DefaultQueueLimit
	}
	if options.MaxOpenTransactions == 0 {
		options.MaxOpenTransactions = options.Slots
	}
	s := &Scheduler{options: options, meanSlotTime: initialSlotTime}
	s.levelOf(0)
	return s
}

// Resize changes the number of slots and the maximum number of open transactions.
// Statements in flight go on; if they exceed the new number of slots, no slot is granted
// until enough of them are done. The result is valid until the next call.
func (s *Scheduler) Resize(now time.Time, slots, maxOpen int) []Decision {
	s.options.Slots = slots
	s.options.MaxOpenTransactions = maxOpen
	s.decisions = s.decisions[:0]
	s.dispatch(now)
	return s.decisions
}

// Submit adds item and returns the decisions made; the slice is valid until the next call.
// If there is no decision on item, item waits for a slot.
func (s *Scheduler) Submit(now time.Time, item *Item) []Decision {
	s.decisions = s.decisions[:0]
	if item.state == stateGaveBack {
		s.Abandon(item)
		s.giveBackNext()
	}
	s.lastArrivalSeq++
	item.arrivalSeq = s.lastArrivalSeq
	if refusal := s.admit(now, item); refusal != nil {
		s.decisions = append(s.decisions, Decision{Item: item, Refusal: refusal})
		s.dispatch(now)
		return s.decisions
	}
	s.enqueue(item)
	s.dispatch(now)
	s.shed(now)
	return s.decisions
}

// Done frees the slot of item and returns the decisions made; the slice is valid until the
// next call. change tells whether the statement opened or closed a transaction. Done does
// nothing if item holds no slot.
func (s *Scheduler) Done(now time.Time, item *Item, change TransactionChange) []Decision {
	s.decisions = s.decisions[:0]
	if item.state != stateRunning {
		return s.decisions
	}
	item.state = stateNone
	s.inFlight--
	s.running[item.Class]--
	s.openTransactions = max(0, s.openTransactions+int(change))
	s.settleCharge(now, item)
	s.dispatch(now)
	s.shed(now)
	return s.decisions
}

// CloseTransaction records that an open transaction ended other than by a statement, for
// example with its connection. The result is valid until the next call.
func (s *Scheduler) CloseTransaction(now time.Time) []Decision {
	s.decisions = s.decisions[:0]
	s.openTransactions = max(0, s.openTransactions-1)
	s.dispatch(now)
	return s.decisions
}

// Cancel removes a waiting item from its queue. It returns false if item was not waiting.
func (s *Scheduler) Cancel(item *Item) bool {
	if item.state != stateQueued {
		return false
	}
	q := s.queueOf(item)
	if !q.remove(item) {
		return false
	}
	item.state = stateNone
	if item.flow != nil {
		s.leaveQueue(item.flow)
	}
	return true
}

// Expire refuses every waiting item whose deadline has passed. The result is valid until
// the next call.
func (s *Scheduler) Expire(now time.Time) []Decision {
	s.decisions = s.decisions[:0]
	for _, q := range []*queue{&s.urgent, &s.endTransaction, &s.inTransaction} {
		s.expireQueue(now, q)
	}
	for _, l := range s.levels {
		s.expireQueue(now, &l.ready)
		for i := len(l.activeFlows) - 1; i >= 0; i-- {
			f := l.activeFlows[i]
			for class := range f.queues {
				s.expireQueue(now, &f.queues[class])
			}
		}
	}
	return s.decisions
}

// InFlight returns the number of slots in use.
func (s *Scheduler) InFlight() int { return s.inFlight }

// Waiting returns the number of statements of all classes that wait for a slot.
func (s *Scheduler) Waiting() int {
	return s.queuedNew + s.urgent.len() + s.endTransaction.len() + s.inTransaction.len()
}

// Pace returns the mean time between two statements that get a slot while work waits.
func (s *Scheduler) Pace() time.Duration {
	return s.meanSlotTime / time.Duration(max(1, s.options.Slots))
}

// MeanSlotTime returns the moving average of the time for which a statement holds a slot.
func (s *Scheduler) MeanSlotTime() time.Duration { return s.meanSlotTime }

// OpenTransactions returns the number of open transactions.
func (s *Scheduler) OpenTransactions() int { return s.openTransactions }

// dispatch grants slots until none is free or no waiting statement may run.
func (s *Scheduler) dispatch(now time.Time) {
	for s.inFlight < s.options.Slots {
		item := s.popNext(now)
		if item == nil {
			return
		}
		if deadlinePassed(now, item.Deadline) {
			item.state = stateNone
			s.refuseExpired(item)
			continue
		}
		s.grant(now, item)
	}
}

// popNext removes the item to run next from its queue and returns it, or nil if none may run.
func (s *Scheduler) popNext(now time.Time) *Item {
	for _, q := range [...]*queue{&s.urgent, &s.endTransaction} {
		if item := q.pop(); item != nil {
			return item
		}
	}
	if s.inTransaction.len() > 0 && s.canRun(InTransaction) {
		return s.inTransaction.pop()
	}
	return s.popNewWork(now)
}

// canRun reports whether a statement of class may take a free slot. Writes and statements of
// open transactions may wait for locks, so the number that run at once is limited, but never to
// less than one. While one transaction is open, writes leave a slot for its statements. While
// several are open, writes leave two slots, and statements of transactions leave one, so that a
// statement that ends another transaction gets a slot.
func (s *Scheduler) canRun(class Class) bool {
	lockUsers := s.running[Write] + s.running[InTransaction]
	switch class {
	case InTransaction:
		return s.openTransactions <= 1 || lockUsers < max(1, s.options.Slots-1)
	case Write:
		return s.openTransactions == 0 || lockUsers < max(1, s.options.Slots-min(2, s.openTransactions))
	case BeginTransaction:
		return s.openTransactions+s.running[BeginTransaction] < s.options.MaxOpenTransactions
	default:
		return true
	}
}

func (s *Scheduler) grant(now time.Time, item *Item) {
	item.state = stateRunning
	item.startedAt = now
	s.inFlight++
	s.running[item.Class]++
	if f := item.flow; f != nil {
		f.running++
		f.level.virtualTime = max(f.level.virtualTime, f.virtualTime)
		item.chargedTime = f.meanSlotTime
		f.virtualTime += f.cost(item.chargedTime)
	}
	s.decisions = append(s.decisions, Decision{Item: item})
}

// settleCharge replaces the slot time that was charged in advance with the time used.
func (s *Scheduler) settleCharge(now time.Time, item *Item) {
	used := max(0, now.Sub(item.startedAt))
	s.meanSlotTime = movingAverage(s.meanSlotTime, used)
	s.recordUse(now, item, used)
	f := item.flow
	if f == nil {
		return
	}
	f.running--
	f.virtualTime += f.cost(used - item.chargedTime)
	f.meanSlotTime = movingAverage(f.meanSlotTime, used)
	f.dropIfIdle()
}

func (s *Scheduler) refuseExpired(item *Item) {
	refusal := request.Refuse(request.CodeTimeout, "schedule", "", "deadline passed while waiting for a slot")
	s.decisions = append(s.decisions, Decision{Item: item, Refusal: refusal})
}

func (s *Scheduler) expireQueue(now time.Time, q *queue) {
	for i := q.len() - 1; i >= 0; i-- {
		item := q.at(i)
		if deadlinePassed(now, item.Deadline) && s.Cancel(item) {
			s.refuseExpired(item)
		}
	}
}

func deadlinePassed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !now.Before(deadline)
}

func movingAverage(average, sample time.Duration) time.Duration {
	return average + time.Duration(slotTimeSmoothing*float64(sample-average))
}
