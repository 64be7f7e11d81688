package configuration

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/go-kit/log/level"

	"crocusyoke/internal/audit"
	controller "crocusyoke/internal/controller/configuration"
	"crocusyoke/internal/platform"
)

// writeBack writes the configuration in force to a restored store if the controller asks for it. It is
// called after each read of the row; a write that fails is due again after the next read.
func (r *Runner) writeBack(ctx context.Context) {
	write, due := r.nextWriteBack()
	if !due {
		return
	}
	if err := r.putBack(ctx, write); err != nil {
		level.Warn(r.options.Logger).Log("event", "config_write_back_failed", "version", write.Version, "from", write.From, "err", err)
		return
	}
	level.Info(r.options.Logger).Log("event", "config_written_back", "version", write.Version, "from", write.From, "era", write.Era)
}

func (r *Runner) nextWriteBack() (controller.WriteBack, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.NextWriteBack(r.options.Clock.Now())
}

// putBack stores the body and an audit entry, and then replaces the restored row by one that names them.
func (r *Runner) putBack(ctx context.Context, write controller.WriteBack) error {
	body, err := platform.PutHashed(ctx, r.options.Platform, write.Body)
	if err != nil {
		return err
	}
	entry, err := r.appendAudit(ctx, write)
	if err != nil {
		return err
	}
	record := controller.Record{Body: body, Audit: entry, Version: write.Version, Era: write.Era}
	value, err := record.Encode()
	if err != nil {
		return err
	}
	_, err = r.options.Platform.Put(ctx, controller.RowKey(r.options.Deployment), write.RowVersion, value)
	return err
}

// appendAudit stores the audit entry of a write and returns its name.
func (r *Runner) appendAudit(ctx context.Context, write controller.WriteBack) (string, error) {
	previous, lost, err := audit.Resume(ctx, r.options.Platform, write.Record.Audit, write.RowAudit)
	if err != nil {
		return "", err
	}
	return audit.Append(ctx, r.options.Platform, audit.Entry{
		ID:          rand.Text(),
		Who:         r.options.Self,
		When:        r.options.Clock.Now().UTC().Round(time.Millisecond),
		FromVersion: write.From,
		ToVersion:   write.Version,
		Body:        write.Record.Body,
		Previous:    previous,
		Lost:        lost,
	})
}
