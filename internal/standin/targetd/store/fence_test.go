package store_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/store"
)

func open(tb testing.TB, dir, name, follow string) *store.Store {
	tb.Helper()
	s, err := store.Open(dir, name, follow)
	must.NoError(tb, err)
	return s
}

// write commits a transaction of the one statement sql and returns its position.
func write(tb testing.TB, s *store.Store, sql string) (logpos.Position, error) {
	tb.Helper()
	tx, err := s.Begin(tb.Context(), false)
	if err != nil {
		return logpos.Position{}, err
	}
	if _, err := tx.Run(tb.Context(), sql, nil, true, false); err != nil {
		tx.Rollback()
		return logpos.Position{}, err
	}
	return tx.Commit(tb.Context())
}

// Guards against a commit that passes the check of the term before a concurrent adoption of
// a higher term and takes effect after it. The position that Adopt returns must remain the
// last one.
func TestNoCommitAfterAdoption(t *testing.T) {
	const rounds, writers = 40, 4
	s := open(t, t.TempDir(), "a", "")
	defer s.Close()
	_, err := write(t, s, "CREATE TABLE t (n INTEGER)")
	must.NoError(t, err)
	for round := range uint64(rounds) {
		var group sync.WaitGroup
		started := make(chan struct{}, writers)
		for range writers {
			group.Go(func() {
				for first := true; ; first = false {
					_, err := write(t, s, "INSERT INTO t VALUES (1)")
					if first {
						started <- struct{}{}
					}
					if err != nil {
						return
					}
				}
			})
		}
		<-started
		term := round + 2
		status, err := s.Adopt(term, "node-1")
		must.NoError(t, err)
		group.Wait()
		must.EqOp(t, status.Last, s.Position(), must.Sprint(fmt.Sprintf("term %d", term)))
		_, err = s.Promote(t.Context(), term, "node-1")
		must.NoError(t, err)
	}
}
