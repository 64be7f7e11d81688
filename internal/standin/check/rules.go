package check

import (
	"fmt"
	"time"
)

func (r *ruleReport) countChecked() { r.result.Checked++ }

func (r *ruleReport) violationf(format string, args ...any) {
	v := Violation{Rule: r.result.Rule, Detail: fmt.Sprintf(format, args...)}
	r.result.Violations = append(r.result.Violations, v)
}

// isWrite reports whether the operation inserts rows.
func (o *Op) isWrite() bool { return o.Kind == Book || o.Kind == Transfer }

// checkReadYourWrites checks that a client's read returns at least the newest booking that
// was acknowledged to this client, or that it read, before. A client sends one operation at
// a time, so the order of its operations is known.
func checkReadYourWrites(h *History, r *ruleReport) {
	type clientGroup struct {
		client int
		group  string
	}
	newest := make(map[clientGroup]int)
	for i := range h.Ops {
		op := &h.Ops[i]
		if op.Outcome != OK {
			continue
		}
		key := clientGroup{op.Client, op.Group}
		switch op.Kind {
		case Book:
			newest[key] = max(newest[key], op.Serial)
		case ReadOwn:
			r.countChecked()
			if op.Serial < newest[key] {
				r.violationf("client %d read serial %d in group %s after serial %d was acknowledged or read (node %s, at %v)",
					op.Client, op.Serial, op.Group, newest[key], op.Node, op.Start)
			}
			newest[key] = max(newest[key], op.Serial)
		}
	}
}

// rowsByBooking groups the rows that exist at the end of the run by their booking.
func rowsByBooking(h *History) map[string][]Row {
	rows := make(map[string][]Row)
	for _, row := range h.Rows {
		rows[row.Booking] = append(rows[row.Booking], row)
	}
	return rows
}

func checkAcknowledgedWrites(h *History, r *ruleReport) {
	rows := rowsByBooking(h)
	for i := range h.Ops {
		op := &h.Ops[i]
		if !op.isWrite() || op.Outcome != OK {
			continue
		}
		r.countChecked()
		if len(rows[op.Booking]) == 0 {
			r.violationf("%s %s was acknowledged at %v by node %s, but has no row in group %s", op.Kind, op.Booking, op.End, op.Node, op.Group)
		}
	}
}

// checkReplacedPrimary checks that a write that was acknowledged after a promotion was
// complete is in the promoted primary's log: the replaced primary must not acknowledge it.
func checkReplacedPrimary(h *History, r *ruleReport) {
	rows := rowsByBooking(h)
	for _, p := range h.Promotions {
		for i := range h.Ops {
			op := &h.Ops[i]
			if op.Group != p.Group || !op.isWrite() || op.Outcome != OK || op.End < p.At {
				continue
			}
			r.countChecked()
			if len(rows[op.Booking]) == 0 {
				r.violationf("write %s was acknowledged at %v, after the promotion to term %d at %v, but is lost", op.Booking, op.End, p.Term, p.At)
			}
		}
	}
}

// checkTransfers checks that a transfer has left either no rows or both of its rows, and
// that they carry the number of its own client.
func checkTransfers(h *History, r *ruleReport) {
	clients := make(map[string]int)
	for i := range h.Ops {
		if h.Ops[i].Kind == Transfer {
			clients[h.Ops[i].Booking] = h.Ops[i].Client
		}
	}
	for booking, rows := range rowsByBooking(h) {
		client, ok := clients[booking]
		if !ok {
			continue
		}
		r.countChecked()
		steps := make(map[int]int)
		for _, row := range rows {
			steps[row.Step]++
			if row.Client != client {
				r.violationf("transfer %s of client %d has a row of client %d", booking, client, row.Client)
			}
		}
		if steps[1] != steps[2] || len(steps) != 2 {
			r.violationf("transfer %s has %d rows of step 1 and %d rows of step 2", booking, steps[1], steps[2])
		}
	}
}

func checkCustomerIsolation(h *History, r *ruleReport) {
	owners := make(map[string]string)
	for i := range h.Ops {
		op := &h.Ops[i]
		if op.Kind == ForeignAccess {
			r.countChecked()
			if op.Outcome != NotRun {
				r.violationf("customer %s got outcome %q from service %s, which it may not use", op.Customer, op.Outcome, op.Service)
			}
		}
		if op.isWrite() {
			owners[op.Booking] = op.Customer
		}
	}
	for _, row := range h.Rows {
		owner, ok := owners[row.Booking]
		if !ok {
			continue
		}
		r.countChecked()
		if owner != row.Customer {
			r.violationf("booking %s of customer %s is stored under customer %s", row.Booking, owner, row.Customer)
		}
	}
}

func checkKeyExposure(h *History, r *ruleReport) {
	for _, k := range h.KeyExposures {
		r.countChecked()
		if k.Exposures > 0 {
			r.violationf("target %s was sent key %s %d times", k.Target, k.KeyID, k.Exposures)
		}
	}
}

func checkWithdrawnKeys(h *History, r *ruleReport) {
	for _, w := range h.Withdrawals {
		for i := range h.Ops {
			op := &h.Ops[i]
			if op.KeyID != w.KeyID || op.Start < w.At+ConfigPropagationLimit {
				continue
			}
			r.countChecked()
			if op.Outcome == OK || op.Outcome == Unknown && op.SQLState != "" {
				r.violationf("key %s was accepted at %v on node %s, but was withdrawn at %v", w.KeyID, op.Start, op.Node, w.At)
			}
		}
	}
}

func checkAnswers(h *History, r *ruleReport) {
	for i := range h.Ops {
		op := &h.Ops[i]
		if op.Outcome != OK {
			continue
		}
		r.countChecked()
		if op.Crossed {
			r.violationf("client %d received another caller's answer at %v on node %s: %s", op.Client, op.End, op.Node, op.Detail)
		}
		if op.Partial {
			r.violationf("client %d received a partial answer at %v on node %s: %s", op.Client, op.End, op.Node, op.Detail)
		}
	}
}

// checkNotRun checks that a write has left no row if every send of it was refused as not
// run. Resends with the same idempotency key share the attempt of the first send, so one
// acknowledged send, or one with an unknown outcome, explains the row.
func checkNotRun(h *History, r *ruleReport) {
	attempts := make(map[string]bool)
	for _, row := range h.Rows {
		attempts[row.Attempt] = true
	}
	for i := range h.Ops {
		if h.Ops[i].Outcome == OK || h.Ops[i].Outcome == Unknown {
			delete(attempts, h.Ops[i].Attempt)
		}
	}
	for i := range h.Ops {
		op := &h.Ops[i]
		if !op.isWrite() || op.Outcome != NotRun {
			continue
		}
		r.countChecked()
		if attempts[op.Attempt] {
			r.violationf("attempt %s was refused as not run (%s, node %s, at %v), but left a row", op.Attempt, op.SQLState, op.Node, op.End)
		}
	}
}

func checkDuplicates(h *History, r *ruleReport) {
	for booking, rows := range rowsByBooking(h) {
		r.countChecked()
		perStep := make(map[int]int)
		for _, row := range rows {
			perStep[row.Step]++
		}
		for step, n := range perStep {
			if n > 1 {
				r.violationf("booking %s has %d rows (step %d), more than 1", booking, n, step)
			}
		}
	}
}

func checkLeavingTargets(h *History, r *ruleReport) {
	for _, l := range h.LeavingTargets {
		r.countChecked()
		if l.LateStatements > 0 {
			r.violationf("target %s received %d statements more than %v after it started to leave", l.Target, l.LateStatements, LeavingGracePeriod)
		}
	}
}

// checkPlannedStops checks that no operation that overlapped the planned stop of its node
// has an unknown outcome: each was answered or refused as not run.
func checkPlannedStops(h *History, r *ruleReport) {
	for _, s := range h.PlannedStops {
		for i := range h.Ops {
			op := &h.Ops[i]
			if op.Node != s.Node || op.End < s.From || op.Start > s.To {
				continue
			}
			r.countChecked()
			if op.Outcome == Unknown {
				r.violationf("client %d was left with an unknown outcome at %v by the planned stop of node %s (%v to %v): %s", op.Client, op.End, s.Node, s.From, s.To, op.Detail)
			}
		}
	}
}

func checkConfigReverts(h *History, r *ruleReport) {
	newest := make(map[string]uint64)
	for _, s := range h.ConfigSamples {
		r.countChecked()
		if s.Version < newest[s.Node] {
			r.violationf("node %s went back from configuration version %d to %d at %v", s.Node, newest[s.Node], s.Version, s.At)
		}
		newest[s.Node] = max(newest[s.Node], s.Version)
	}
}

// checkConfigPropagation checks that an accepted version, or a later one, is in force on a
// node once ConfigPropagationLimit is over. Samples of nodes that were down at some time
// since the acceptance are exempt.
func checkConfigPropagation(h *History, r *ruleReport) {
	for _, a := range h.AcceptedVersions {
		limit := a.At + ConfigPropagationLimit
		for _, s := range h.ConfigSamples {
			if s.At < limit || h.wasDown(s.Node, a.At, s.At) {
				continue
			}
			r.countChecked()
			if s.Version < a.Version {
				r.violationf("node %s had configuration version %d at %v, but version %d was accepted at %v", s.Node, s.Version, s.At, a.Version, a.At)
			}
		}
	}
}

// wasDown reports whether a node was down at some time between from and to.
func (h *History) wasDown(node string, from, to time.Duration) bool {
	for _, d := range h.Downtimes {
		if d.Node == node && d.From <= to && d.To >= from {
			return true
		}
	}
	return false
}

// checkTargetLimits checks that a target never ran more statements at once than it has slots
// and never had more connections than its limit. The first part is not checked for targets
// that may still run abandoned statements.
func checkTargetLimits(h *History, r *ruleReport) {
	for _, t := range h.Targets {
		r.countChecked()
		if t.PeakStatements > t.Slots && !t.MayRunAbandoned {
			r.violationf("target %s ran %d statements at once, but has %d slots", t.Target, t.PeakStatements, t.Slots)
		}
		if t.PeakConnections > t.ConnectionLimit {
			r.violationf("target %s had %d connections, but its limit is %d", t.Target, t.PeakConnections, t.ConnectionLimit)
		}
	}
}
