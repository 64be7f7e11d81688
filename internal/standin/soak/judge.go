package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The rules that a run is judged by.
const (
	ruleCut       = "no request is cut around a stop"
	ruleGrace     = "a stop ends within the grace period"
	ruleOwnEnd    = "no process ends by itself"
	ruleKept      = "each acknowledged write is kept"
	ruleOnce      = "no write takes effect twice"
	ruleWithdrawn = "a withdrawn key is refused"
	ruleSetup     = "a statement runs as its caller set it up"
	ruleSent      = "a target runs only what a caller sent"
	ruleRecovery  = "each node serves every group in the end"
	ruleAnswer    = "a success is what a target answered"
	ruleRate      = "a customer's rate is kept"
	// ruleWellFormed is for SET, PREPARE, DEALLOC and EXEC. Their sessions stay far below what a session may keep.
	ruleWellFormed = "what the protocol allows is not refused as malformed"
	ruleNotRun     = "a refusal that promises that nothing ran is true"
	ruleFresh      = "a read sees what it has to see"
	ruleResources  = "a node's memory and descriptors stay within its class"
	ruleInForce    = "a configuration is in force in time"
	ruleEvacuated  = "nothing reaches an evacuated failure domain"
	ruleCold       = "a target that has just started gets few requests"
	ruleHome       = "a request stays in its home regions"
	ruleNoReturn   = "a node does not return to an older configuration"
)

const (
	// stableTime is how long a fault excuses requests that are sent after it.
	stableTime = 4 * time.Second
	// slack is how long after its last byte was sent a statement must have been read.
	slack = 200 * time.Millisecond
	// maxViolations bounds the violations of a rule that a report lists, each of them once.
	maxViolations = 20
)

// Rule is the result of one rule.
type Rule struct {
	Checked    int      `json:"checked"`
	Violations []string `json:"violations"`
	// Broken counts all violations, also those that are not listed.
	Broken int `json:"broken"`
}

// judge collects what the rules check. It is safe for concurrent use.
type judge struct {
	mu    sync.Mutex
	rules map[string]*Rule
	// counts says how often what the rules check was met.
	counts map[string]int
	// faults holds the times from which to which faults were active.
	faults []span
}

type span struct{ from, to time.Time }

func newJudge() *judge {
	j := &judge{rules: make(map[string]*Rule), counts: make(map[string]int)}
	for _, name := range []string{ruleCut, ruleGrace, ruleOwnEnd, ruleKept, ruleOnce, ruleWithdrawn, ruleSetup, ruleSent, ruleNotRun, ruleWellFormed, ruleRate, ruleRecovery, ruleAnswer, ruleInForce, ruleNoReturn, ruleEvacuated, ruleCold, ruleHome, ruleFresh, ruleResources} {
		j.rules[name] = &Rule{Violations: []string{}}
	}
	return j
}

// check counts a case of the rule called name, and a violation unless held.
func (j *judge) check(name string, held bool, format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	rule := j.rules[name]
	rule.Checked++
	if held {
		return
	}
	rule.Broken++
	if len(rule.Violations) == maxViolations {
		return
	}
	if violation := fmt.Sprintf(format, args...); !slices.Contains(rule.Violations, violation) {
		rule.Violations = append(rule.Violations, violation)
	}
}

// count counts a case of what.
func (j *judge) count(what string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what]++
}

// countMost keeps the highest value of what.
func (j *judge) countMost(what string, value int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what] = max(j.counts[what], value)
}

// noteFault records that a fault was active.
func (j *judge) noteFault(from, to time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.faults = append(j.faults, span{from, to})
}

// isExcused reports whether a fault was active in the stableTime before from, or until to.
func (j *judge) isExcused(from, to time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, f := range j.faults {
		if f.from.Before(to) && f.to.Add(stableTime).After(from) {
			return true
		}
	}
	return false
}

// broken returns the names of the broken rules.
func (j *judge) broken() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var names []string
	for name, rule := range j.rules {
		if rule.Broken > 0 {
			names = append(names, name)
		}
	}
	return names
}
