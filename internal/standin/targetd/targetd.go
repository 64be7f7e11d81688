// Package targetd implements a small stand-in for a database target. It serves the PostgreSQL
// protocol on top of SQLite, has a replicated log, terms and promotion as package target
// requires them, and supports fault injection.
package targetd

import (
	"context"
	"net"
	"net/http"
	"path/filepath"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/standin/targetd/admin"
	"crocusyoke/internal/standin/targetd/faults"
	"crocusyoke/internal/standin/targetd/record"
	"crocusyoke/internal/standin/targetd/replicate"
	"crocusyoke/internal/standin/targetd/store"
	"crocusyoke/internal/standin/targetd/wire"
)

// Default limits, which correspond to the sizes of the users' targets.
const (
	DefaultSlots       = 5
	DefaultConnections = 35
	DefaultAcceptDelay = 12 * time.Millisecond
)

// seenFile is the name of the file that records the texts that the target has received.
const seenFile = "seen"

// readHeaderTimeout bounds how long a client may take to send a request's header.
const readHeaderTimeout = 5 * time.Second

// Options configures a Target.
type Options struct {
	// Name is the target's name in its group.
	Name string
	// Directory is the directory of the data, the log and the term.
	Directory string
	// Follow is the address of the primary that the target follows at first. It is empty
	// for that primary itself. It is ignored if Directory already contains a store.
	Follow string
	// Wire holds the limits and the credentials that clients must present.
	Wire wire.Options
	// Faults are the faults that are active from the start.
	Faults faults.State
	// Logger may be nil, which disables logging.
	Logger log.Logger
}

// Target is a stand-in target.
type Target struct {
	// Store, Faults, Seen and Counters are exported for tests in the same process.
	Store    *store.Store
	Faults   *faults.Faults
	Seen     *record.Seen
	Counters *record.Counters

	options  Options
	server   *wire.Server
	follower *replicate.Follower
}

// New returns a target with the store in its directory, which it creates if needed. The
// target does not serve until Run.
func New(o Options) (*Target, error) {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	s, err := store.Open(o.Directory, o.Name, o.Follow)
	if err != nil {
		return nil, err
	}
	seen, err := record.OpenSeen(filepath.Join(o.Directory, seenFile))
	if err != nil {
		return nil, errs.Combine(err, s.Close())
	}
	t := &Target{
		Store: s, Faults: faults.New(o.Faults), Seen: seen,
		Counters: &record.Counters{}, options: o,
	}
	t.server = wire.New(o.Wire, s, t.Faults, t.Seen, t.Counters)
	t.follower = &replicate.Follower{
		Store: s, Faults: t.Faults, Counters: t.Counters, Logger: o.Logger,
		Name: o.Name, User: o.Wire.User, Password: o.Wire.Password,
	}
	return t, nil
}

// Run serves the PostgreSQL protocol on listener and the admin endpoint on adminListener,
// which may be nil, and replicates from the primary that the target follows, until ctx ends.
// It then closes the store and the record of received texts.
func (t *Target) Run(ctx context.Context, listener, adminListener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return t.server.Serve(ctx, listener) })
	group.Go(func() error {
		t.follower.Run(ctx)
		return nil
	})
	if adminListener != nil {
		group.Go(func() error { return t.serveAdmin(ctx, adminListener) })
	}
	err := group.Wait()
	return errs.Combine(err, t.Store.Close(), t.Seen.Close())
}

func (t *Target) serveAdmin(ctx context.Context, listener net.Listener) error {
	handler := &admin.Handler{Store: t.Store, Faults: t.Faults, Seen: t.Seen, Counters: t.Counters}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
