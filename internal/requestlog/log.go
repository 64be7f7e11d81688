// Package requestlog writes one log line per decided request, so that operators can find the
// cause of a failure.
//
// Invariant: a caller never waits for the log, and the volume of the log is bounded. Lines are
// rate-limited per outcome, with a lower rate for ordinary successes. Lines suppressed by the
// rate limit are counted in the next line of the same outcome and in Counts. Lines that do not
// fit into the queue are dropped and counted in Counts.
package requestlog

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Bounds on the log's volume.
const (
	// linesPerSecond and lineBurst bound the lines of one outcome other than OutcomeOK.
	linesPerSecond = 20
	lineBurst      = 40
	// cutBurst is the burst of lines with OutcomeCut: a stop cuts many sessions at one moment.
	cutBurst = 400
	// successesPerSecond bounds the lines with OutcomeOK; their burst is 1.
	successesPerSecond = 2
	// queueCapacity is the number of lines that may wait for the writer.
	queueCapacity = 512
)

// Entry describes one decided request.
type Entry struct {
	// ID is the caller's identifier of the request, Session the identifier of its session.
	ID      string
	Session string
	// Outcome is the name of a refusal's code, OutcomeOK, OutcomeSlow, or a name chosen by the
	// caller of Write.
	Outcome string
	// Fields are further alternating keys and values, as for log.Logger.
	Fields []any
}

// Outcomes that have a meaning of their own for the log.
const (
	OutcomeOK = "ok"
	// OutcomeSlow is for successful requests that took long; they have a separate rate limit, the
	// same as that of refusals.
	OutcomeSlow = "slow"
	// OutcomeCut is for sessions that ended without the answer to a request.
	OutcomeCut = "cut"
)

// Log queues entries and writes them in the background. It is safe for concurrent use.
type Log struct {
	logger log.Logger
	queue  chan []any
	// Counts counts lines by what became of them: "written" (queued for the writer), "left_out"
	// (suppressed by the rate limit) and "dropped" (the queue was full).
	Counts expvar.Map

	mu       sync.Mutex
	outcomes map[string]*outcomeState
}

// outcomeState is the rate limiter of one outcome and the number of lines suppressed since
// the last one written.
type outcomeState struct {
	limiter    *rate.Limiter
	suppressed int
}

// New returns a Log that writes to logger. Nothing is written until Run is called.
func New(logger log.Logger) *Log {
	return &Log{logger: logger, queue: make(chan []any, queueCapacity), outcomes: make(map[string]*outcomeState)}
}

// Run writes queued lines until ctx is done, and then returns nil. Flush writes those that are
// still queued then.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case line := <-l.queue:
			_ = l.logger.Log(line...)
		case <-ctx.Done():
			return nil
		}
	}
}

// Flush writes the queued lines. It is called at the end of the process, when the requests that were
// broken off have been decided.
func (l *Log) Flush() {
	for {
		select {
		case line := <-l.queue:
			_ = l.logger.Log(line...)
		default:
			return
		}
	}
}

// Allow reports whether an entry with this outcome may be written at time now. It takes one
// token from the outcome's rate limiter, or counts the entry as suppressed. Call it before
// building an Entry, so that no work is spent on an entry that would be suppressed.
func (l *Log) Allow(outcome string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.outcomeState(outcome)
	if state.limiter.AllowN(now, 1) {
		return true
	}
	state.suppressed++
	l.Counts.Add("left_out", 1)
	return false
}

func (l *Log) outcomeState(outcome string) *outcomeState {
	state := l.outcomes[outcome]
	if state == nil {
		state = &outcomeState{limiter: rate.NewLimiter(linesPerSecond, lineBurst)}
		switch outcome {
		case OutcomeOK:
			state.limiter = rate.NewLimiter(successesPerSecond, 1)
		case OutcomeCut:
			state.limiter = rate.NewLimiter(linesPerSecond, cutBurst)
		}
		l.outcomes[outcome] = state
	}
	return state
}

// Write queues an entry for which Allow has returned true. It does not block: if the queue
// is full, the line is dropped and counted.
func (l *Log) Write(e Entry) {
	select {
	case l.queue <- l.line(e):
		l.Counts.Add("written", 1)
	default:
		l.Counts.Add("dropped", 1)
	}
}

// line returns the keys and values of e's line, with the number of lines suppressed before it.
func (l *Log) line(e Entry) []any {
	l.mu.Lock()
	state := l.outcomeState(e.Outcome)
	suppressed := state.suppressed
	state.suppressed = 0
	l.mu.Unlock()
	line := []any{"event", "request", "id", e.ID, "session", e.Session, "outcome", e.Outcome}
	line = append(line, e.Fields...)
	if suppressed > 0 {
		line = append(line, "left_out", suppressed)
	}
	return line
}
