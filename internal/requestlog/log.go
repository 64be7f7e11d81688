// Package requestlog writes one line for what was decided about a request, for people who
// look for the cause of a failure.
//
// Invariant: a caller never waits for the log, and its volume is bounded: refusals are
// written up to a rate for each code, successes are sampled, and what is left out is
// counted in the next line of the same kind and in Counts.
package requestlog

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/time/rate"
)

// Bounds of the log's volume.
const (
	// refusalsPerSecond and refusalBurst bound the lines of one code.
	refusalsPerSecond = 20
	refusalBurst      = 40
	// successesPerSecond bounds the sampled successes.
	successesPerSecond = 2
	// queueLength is how many lines may wait for the writer.
	queueLength = 512
)

// Entry is what is known of one request when it has been decided.
type Entry struct {
	// ID is the caller's name for the request, Session the session's.
	ID      string
	Session string
	// Outcome is the name of a refusal's code, or OutcomeOK.
	Outcome string
	// Fields are further keys and values, as for log.Logger.
	Fields []any
}

// The outcomes of successes: OutcomeSlow is that of one which took long.
const (
	OutcomeOK   = "ok"
	OutcomeSlow = "slow"
)

// Log is safe for concurrent use.
type Log struct {
	logger log.Logger
	queue  chan []any
	// Counts counts lines that were written, left out by the bounds, and dropped because
	// the writer was behind.
	Counts expvar.Map

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the lines of one outcome.
type kind struct {
	limit   *rate.Limiter
	leftOut int
}

// New returns a Log that writes to logger while Run runs.
func New(logger log.Logger) *Log {
	return &Log{logger: logger, queue: make(chan []any, queueLength), kinds: make(map[string]*kind)}
}

// Run writes until ctx ends.
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

// Wants reports whether an entry of this outcome would be written now, and counts it as
// left out if not. It spares the making of entries that nobody would see.
func (l *Log) Wants(outcome string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kind(outcome)
	if k.limit.AllowN(now, 1) {
		return true
	}
	k.leftOut++
	l.Counts.Add("left_out", 1)
	return false
}

func (l *Log) kind(outcome string) *kind {
	k := l.kinds[outcome]
	if k == nil {
		k = &kind{limit: rate.NewLimiter(refusalsPerSecond, refusalBurst)}
		if outcome == OutcomeOK {
			k.limit = rate.NewLimiter(successesPerSecond, 1)
		}
		l.kinds[outcome] = k
	}
	return k
}

// Write queues an entry that Wants has allowed.
func (l *Log) Write(e Entry) {
	l.mu.Lock()
	k := l.kind(e.Outcome)
	leftOut := k.leftOut
	k.leftOut = 0
	l.mu.Unlock()
	line := []any{"event", "request", "id", e.ID, "session", e.Session, "outcome", e.Outcome}
	line = append(line, e.Fields...)
	if leftOut > 0 {
		line = append(line, "left_out", leftOut)
	}
	select {
	case l.queue <- line:
		l.Counts.Add("written", 1)
	default:
		l.Counts.Add("dropped", 1)
	}
}
