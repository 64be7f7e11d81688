package store

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/target"
)

// LockTimeout is the maximum time that a transaction waits for the writer lock.
const LockTimeout = 2 * time.Second

// Store holds one target's data, log and term. It is safe for concurrent use.
type Store struct {
	name, dir string

	// writerLock is held by the transaction that uses the writing connection, or while
	// replicated entries are applied. It is locked before commitMu.
	writerLock chan struct{}
	// waiters is the number of goroutines that wait for writerLock.
	waiters atomic.Int64

	// commitMu guards meta, openTx and every change of position.
	commitMu sync.Mutex
	meta     meta
	openTx   *Tx
	// changed is closed and replaced when meta or position changes.
	changed chan struct{}

	position atomic.Pointer[logpos.Position]
	// serving is a copy of meta.canServeReads().
	serving atomic.Bool
	// lastContact is the time of the last answer from the primary that the target follows.
	lastContact atomic.Pointer[time.Time]

	// dataMu is read-locked by each read, and write-locked while the database is replaced.
	// It is locked after commitMu. generation counts the replacements.
	dataMu     sync.RWMutex
	data       *database
	generation int
}

// Open opens the store in dir. If dir has no store yet, the target starts in the first term,
// as a replica of the primary at address follow, or as the primary if follow is empty. An
// existing store ignores follow.
func Open(dir, name, follow string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, errs.Wrap(err)
	}
	m, found, err := loadMeta(dir)
	if err != nil {
		return nil, err
	}
	if !found {
		m = firstMeta(follow)
		if err := m.save(dir); err != nil {
			return nil, err
		}
	}
	s := &Store{
		name: name, dir: dir, meta: m,
		writerLock: make(chan struct{}, 1), changed: make(chan struct{}),
	}
	s.serving.Store(m.canServeReads())
	s.RecordContact()
	if s.data, err = openDatabase(filepath.Join(dir, m.File)); err != nil {
		return nil, err
	}
	if err := s.recoverLog(); err != nil {
		return nil, errs.Combine(err, s.data.close())
	}
	return s, nil
}

func firstMeta(follow string) meta {
	m := meta{File: fileName(1), FileCount: 1, Term: firstTerm, LedTerm: firstTerm}
	if follow != "" {
		m.LedTerm = 0
		m.Following = follow
		m.FollowTerm = firstTerm
	}
	return m
}

func fileName(n int) string { return fmt.Sprintf("data-%d.db", n) }

// recoverLog reads the position of the last entry. If the process ended during a promotion,
// it writes the missing first entry of the term.
func (s *Store) recoverLog() error {
	last, err := s.data.lastPosition()
	if err != nil {
		return err
	}
	s.position.Store(&last)
	if s.meta.isPrimary() && last.Term < s.meta.Term {
		return s.writeFirstEntry()
	}
	return nil
}

// Close waits until the writer lock is free and closes the store.
func (s *Store) Close() error {
	s.writerLock <- struct{}{}
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	s.dataMu.Lock()
	defer s.dataMu.Unlock()
	return s.data.close()
}

// Position returns the position of the last committed entry.
func (s *Store) Position() logpos.Position { return *s.position.Load() }

// Status returns the target's status.
func (s *Store) Status() target.Status {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	return s.status()
}

func (s *Store) status() target.Status {
	role := target.RoleReplica
	if s.meta.isPrimary() {
		role = target.RolePrimary
	}
	status := target.Status{
		Target: s.name, Role: role, Term: s.meta.Term, Orderer: s.meta.Orderer,
		Last: s.Position(),
	}
	if s.meta.canPull() {
		status.Following = s.meta.Following
		status.LinkAge = time.Since(*s.lastContact.Load())
	}
	return status
}

// Following returns the address of the primary to pull from, the target's term, and a channel
// that is closed at the next change of the metadata or the log. The address is empty if the
// target must not pull.
func (s *Store) Following() (address string, term uint64, changed <-chan struct{}) {
	s.commitMu.Lock()
	defer s.commitMu.Unlock()
	if !s.meta.canPull() {
		return "", s.meta.Term, s.changed
	}
	return s.meta.Following, s.meta.Term, s.changed
}

// RecordContact records the current time as that of the last answer from the followed
// primary.
func (s *Store) RecordContact() {
	now := time.Now()
	s.lastContact.Store(&now)
}

// notify wakes the goroutines that wait for a change. The caller holds commitMu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// lockWriter acquires the writer lock. An idle transaction block that holds it yields it at
// once. After LockTimeout, lockWriter returns ErrLockTimeout, and once ctx ends,
// ErrCancelled.
func (s *Store) lockWriter(ctx context.Context) error {
	select {
	case s.writerLock <- struct{}{}:
		return nil
	default:
	}
	s.waiters.Add(1)
	defer s.waiters.Add(-1)
	s.commitMu.Lock()
	holder := s.openTx
	s.commitMu.Unlock()
	if holder != nil {
		holder.yield()
	}
	timer := time.NewTimer(LockTimeout)
	defer timer.Stop()
	select {
	case s.writerLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ErrCancelled
	case <-timer.C:
		return ErrLockTimeout
	}
}

func (s *Store) unlockWriter() { <-s.writerLock }
