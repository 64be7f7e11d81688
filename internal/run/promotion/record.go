package promotion

import (
	"context"
	"crypto/rand"
	"time"

	"crocusyoke/internal/controller/promotion"
	"crocusyoke/internal/platform"
)

// Retry delays and total time limit for recording a promotion during an outage of the
// store.
const (
	recordRetryMin = 200 * time.Millisecond
	recordRetryMax = 10 * time.Second
	recordTimeout  = 30 * time.Minute
)

// Entry is the value of a group's row in the platform's table. It describes the group's
// newest promotion.
type Entry struct {
	Term    uint64           `json:"term"`
	Primary string           `json:"primary"`
	Reason  promotion.Reason `json:"reason"`
	By      string           `json:"by"`
	At      time.Time        `json:"at"`
	// Audit names the newest entry of the group's audit trail. Each entry of the trail is a
	// stored object that names the entry before it.
	Audit string `json:"audit,omitempty"`
}

// RowKey returns the key of a group's row.
func RowKey(deployment, group string) string { return platform.JoinKey(deployment, "group", group) }

// record writes the promotion to the group's row and its audit trail. It retries during
// outages of the store for at most recordTimeout; no other operation depends on its
// completion.
func (r *Runner) record(ctx context.Context, groupName string, a promotion.RecordPromotion) {
	writer := &recorder{
		store: r.options.Table,
		key:   RowKey(r.options.Deployment, groupName),
		group: groupName,
		id:    rand.Text(),
		entry: Entry{
			Term:    a.Term,
			Primary: a.Primary,
			Reason:  a.Reason,
			By:      r.options.Self,
			At:      r.options.Clock.Now().UTC(),
		},
	}
	r.write(ctx, writer)
}

// write repeats attempts to record a promotion until one succeeds or recordTimeout has elapsed.
func (r *Runner) write(ctx context.Context, writer *recorder) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for pause := recordRetryMin; ; pause = min(2*pause, recordRetryMax) {
		if writer.attempt(ctx) == nil {
			counters.Add(counterRecordsWritten, 1)
			r.remember(writer)
			return
		}
		if r.options.Clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}
