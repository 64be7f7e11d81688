// Package replicate replicates a primary's log to a replica. It pulls entries over the
// PostgreSQL protocol and applies them in order after the injected replication lag. If the
// replica's log has diverged from the primary's, it rebuilds the replica from the primary's
// complete log.
package replicate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/record"
	"crocusyoke/internal/standin/targetd/store"
)

const (
	// PullWait is how long a pull waits at the primary for entries. An answer without
	// entries serves as the primary's heartbeat.
	PullWait = 100 * time.Millisecond
	// pullTimeout bounds a pull, so that a connection without answers is abandoned.
	pullTimeout = 3 * time.Second
	// retryDelay is the pause before the next connection to the primary.
	retryDelay = 20 * time.Millisecond
	// maxQueuedBatches limits the number of pulled batches that wait for the replication lag.
	maxQueuedBatches = 4096
)

var errDiverged = errors.New("the log has diverged from the primary's")

// Follower replicates the log of the primary that its store follows.
type Follower struct {
	Store    *store.Store
	Faults   *faults.Faults
	Counters *record.Counters
	Logger   log.Logger
	// Name is the target's name. User and Password are the credentials for the primary.
	Name, User, Password string
}

// Run replicates until ctx ends. While the store follows no primary, it waits for a change.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address, term, changed := f.Store.Following()
		if address == "" {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		f.follow(ctx, link{address: address, term: term})
		sleep(ctx, retryDelay)
	}
}

// link is a replication link: the address of a primary and the term in which the replica
// follows it.
type link struct {
	address string
	term    uint64
}

// follow replicates over the link until the link fails or the store follows another one. It
// rebuilds the replica if the logs have diverged.
func (f *Follower) follow(ctx context.Context, l link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.cancelOnLinkChange(ctx, l, cancel)
	conn, err := f.connect(ctx, l)
	if err != nil {
		return
	}
	defer conn.Conn().Close()
	err = f.stream(ctx, conn, l)
	if !errors.Is(err, errDiverged) {
		return
	}
	f.Counters.Diverged.Add(1)
	_ = f.Logger.Log("event", "log diverged", "primary", l.address, "term", l.term, "last", f.Store.Position())
	if err := f.rebuild(ctx, conn, l); err != nil {
		_ = f.Logger.Log("event", "rebuild failed", "primary", l.address, "err", err)
		return
	}
	f.Counters.Rebuilds.Add(1)
	_ = f.Logger.Log("event", "rebuilt", "primary", l.address, "term", l.term, "last", f.Store.Position())
}

// cancelOnLinkChange calls cancel once the store follows another link. It returns then, or
// when ctx ends.
func (f *Follower) cancelOnLinkChange(ctx context.Context, l link, cancel context.CancelFunc) {
	for {
		address, term, changed := f.Store.Following()
		if address != l.address || term != l.term {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// connect connects to the link's primary once replication is not stopped by a fault. The
// application name identifies the connection as a replica's.
func (f *Follower) connect(ctx context.Context, l link) (*pgconn.PgConn, error) {
	if err := f.Faults.WaitReplication(ctx); err != nil {
		return nil, err
	}
	host, port, err := net.SplitHostPort(l.address)
	if err != nil {
		return nil, errs.Wrap(err)
	}
	config, err := pgconn.ParseConfig(fmt.Sprintf("host=%s port=%s sslmode=disable database=replication", host, port))
	if err != nil {
		return nil, errs.Wrap(err)
	}
	config.User = f.User
	config.Password = f.Password
	config.RuntimeParams = map[string]string{"application_name": faults.ReplicaPrefix + f.Name}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return pgconn.ConnectConfig(ctx, config)
}

// delayedBatch holds the entries of one pull, which are applied at the time due.
type delayedBatch struct {
	due     time.Time
	entries []store.Entry
}

// stream pulls and applies entries concurrently, so that a replication lag delays entries
// without reducing the throughput.
func (f *Follower) stream(ctx context.Context, conn *pgconn.PgConn, l link) error {
	queue := make(chan delayedBatch, maxQueuedBatches)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer close(queue)
		return f.pullLoop(ctx, conn, l, queue)
	})
	group.Go(func() error { return f.applyLoop(ctx, l, queue) })
	return group.Wait()
}

// pullLoop pulls entries into queue until an error. It returns errDiverged if the logs have
// diverged.
func (f *Follower) pullLoop(ctx context.Context, conn *pgconn.PgConn, l link, queue chan<- delayedBatch) error {
	after := f.Store.Position()
	for {
		pulled, err := f.pull(ctx, conn, l, after, PullWait)
		if err != nil {
			return err
		}
		if pulled.Diverged {
			return errDiverged
		}
		if err := f.Store.MarkMatched(l.term); err != nil {
			return err
		}
		if len(pulled.Entries) == 0 {
			continue
		}
		after = pulled.Entries[len(pulled.Entries)-1].Position
		due := time.Now().Add(f.Faults.State().ReplicationLag)
		select {
		case queue <- delayedBatch{due: due, entries: pulled.Entries}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// applyLoop applies each batch from queue when it is due.
func (f *Follower) applyLoop(ctx context.Context, l link, queue <-chan delayedBatch) error {
	for next := range queue {
		sleep(ctx, time.Until(next.due))
		if err := f.Faults.WaitReplication(ctx); err != nil {
			return err
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := f.Store.Apply(ctx, l.term, next.entries); err != nil {
			return err
		}
	}
	return nil
}

// rebuild pulls the primary's complete log into a copy and replaces the store's data and log
// by it. After an error it discards the copy.
func (f *Follower) rebuild(ctx context.Context, conn *pgconn.PgConn, l link) error {
	copied, err := f.Store.StartRebuild()
	if err != nil {
		return err
	}
	for {
		pulled, err := f.pull(ctx, conn, l, copied.Position(), 0)
		if err != nil {
			return errs.Combine(err, copied.Discard())
		}
		if pulled.Diverged {
			return errs.Combine(errDiverged, copied.Discard())
		}
		if len(pulled.Entries) == 0 {
			break
		}
		if err := copied.Apply(pulled.Entries); err != nil {
			return errs.Combine(err, copied.Discard())
		}
	}
	if err := copied.Swap(ctx, l.term); err != nil {
		return errs.Combine(err, copied.Discard())
	}
	return nil
}

// pull performs one pull of the entries after the given position. If a fault stops
// replication before the answer arrives, pull returns the answer only after the fault ends.
func (f *Follower) pull(ctx context.Context, conn *pgconn.PgConn, l link, after logpos.Position, wait time.Duration) (store.PullResult, error) {
	if err := f.Faults.WaitReplication(ctx); err != nil {
		return store.PullResult{}, err
	}
	call := fmt.Sprintf("SELECT group_pull(%d, %d, %d, %d)", l.term, after.Term, after.Index, wait.Milliseconds())
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	results, err := conn.Exec(pullCtx, call).ReadAll()
	if err != nil {
		return store.PullResult{}, errs.Wrap(err)
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return store.PullResult{}, errs.New("pull from %s: no answer", l.address)
	}
	var pulled store.PullResult
	if err := json.Unmarshal(results[0].Rows[0][0], &pulled); err != nil {
		return store.PullResult{}, errs.Wrap(err)
	}
	if err := f.Faults.WaitReplication(ctx); err != nil {
		return store.PullResult{}, err
	}
	f.Store.RecordContact()
	return pulled, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
