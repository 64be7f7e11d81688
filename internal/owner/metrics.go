package owner

import (
	"expvar"

	"crocusyoke/internal/request"
)

// counters holds the Manager's metrics. Manager.Vars returns them for publishing.
type counters struct {
	vars                *expvar.Map
	servedByPrimary     *expvar.Int
	servedByReplica     *expvar.Int
	reads               *expvar.Int
	readsByReplica      *expvar.Int
	repeatedAnswers     *expvar.Int
	refusals            *expvar.Map
	polls               *expvar.Int
	pollsFailed         *expvar.Int
	readsRerun          *expvar.Int
	silentConnections   *expvar.Int
	statementsCancelled *expvar.Int
	transactionsLost    *expvar.Int
	errorAnswers        *errorAnswers
	urgency             urgencyCounts
	outsideHome         *expvar.Int
	coldPlaced          *expvar.Int
	coldWaits           *expvar.Int
	coldRefused         *expvar.Int
	// evacuations counts targets that were evacuated or taken back.
	evacuations           *expvar.Int
	requestsMoved         *expvar.Int
	refusedEvacuated      *expvar.Int
	transactionsEvacuated *expvar.Int
	slotWaits             slotWaits
}

// newCounters returns counters. priorities says whether requests are counted by priority.
func newCounters(priorities bool) *counters {
	c := &counters{vars: new(expvar.Map), refusals: new(expvar.Map), errorAnswers: newErrorAnswers()}
	c.vars.Set("refusals", c.refusals)
	c.vars.Set("error_answers", c.errorAnswers.refused)
	c.vars.Set("set_ups_refused", c.errorAnswers.setUp)
	c.urgency.enabled = priorities
	c.servedByPrimary = c.add("served_by_primary")
	c.servedByReplica = c.add("served_by_replica")
	c.reads = c.add("reads")
	c.readsByReplica = c.add("reads_by_replica")
	c.repeatedAnswers = c.add("repeated_answers")
	c.polls = c.add("polls")
	c.pollsFailed = c.add("polls_failed")
	c.readsRerun = c.add("reads_run_again")
	c.silentConnections = c.add("silent_connections")
	c.statementsCancelled = c.add("statements_cancelled")
	c.transactionsLost = c.add("transactions_lost")
	c.vars.Set("served_by_priority", &c.urgency.served)
	c.vars.Set("refused_by_priority", &c.urgency.refused)
	c.vars.Set("waited_by_priority", &c.urgency.waited)
	c.vars.Set("shed_by_priority", &c.urgency.shed)
	c.outsideHome = c.add("outside_home")
	c.coldPlaced = c.add("cold_placed")
	c.coldWaits = c.add("cold_waits")
	c.coldRefused = c.add("cold_refused")
	c.evacuations = c.add("evacuations")
	c.requestsMoved = c.add("requests_moved")
	c.refusedEvacuated = c.add("refused_evacuated")
	c.transactionsEvacuated = c.add("transactions_evacuated")
	c.slotWaits = newSlotWaits(c)
	return c
}

func (c *counters) add(name string) *expvar.Int {
	v := new(expvar.Int)
	c.vars.Set(name, v)
	return v
}

// countServed counts an answered request. A preparation is not counted as a read.
func (c *counters) countServed(req *request.Request, response *request.Response) {
	if req.Kind == request.KindRead && !req.PrepareOnly {
		c.reads.Add(1)
		if response.Replica {
			c.readsByReplica.Add(1)
		}
	}
	c.urgency.count(&c.urgency.served, req.Priority)
	if response.Repeated {
		c.repeatedAnswers.Add(1)
	}
	if response.Replica {
		c.servedByReplica.Add(1)
		return
	}
	c.servedByPrimary.Add(1)
}

func (c *counters) countRefusal(refusal *request.Refusal) {
	c.refusals.Add(refusal.Code.Name, 1)
}

// Vars returns the Manager's counters, for expvar.Publish.
func (m *Manager) Vars() expvar.Var { return m.counts.vars }
