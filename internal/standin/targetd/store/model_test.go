package store_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/logpos"
	"crocusyoke/internal/standin/targetd/store"
	"crocusyoke/internal/target"
)

const (
	groupSize = 3
	majority  = 2
)

// model drives three stores through a random history of writes, pulls, promotions and
// restarts, and keeps track of the writes that a majority holds.
type model struct {
	t        *rapid.T
	dir      string
	stores   [groupSize]*store.Store
	lastTerm uint64
	lastID   int
	writes   []*committedWrite
}

// committedWrite is a committed write and the targets that were observed to hold it while
// they were in the write's term.
type committedWrite struct {
	id       int
	position logpos.Position
	holders  map[int]bool
}

func address(i int) string { return fmt.Sprint(i) }

func newModel(t *rapid.T, dir string) *model {
	m := &model{t: t, dir: dir, lastTerm: 1}
	for i := range m.stores {
		m.reopen(i)
	}
	_, err := m.write(0, "CREATE TABLE t (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	for i := range m.stores {
		m.pull(i, true)
	}
	return m
}

func (m *model) reopen(i int) {
	follow := ""
	if i > 0 {
		follow = address(0)
	}
	s, err := store.Open(filepath.Join(m.dir, address(i)), address(i), follow)
	must.NoError(m.t, err)
	m.stores[i] = s
}

func (m *model) write(i int, sql string) (logpos.Position, error) {
	tx, err := m.stores[i].Begin(context.Background(), false)
	if err != nil {
		return logpos.Position{}, err
	}
	_, err = tx.Run(context.Background(), sql, nil, true, false)
	must.NoError(m.t, err)
	return tx.Commit(context.Background())
}

func (m *model) insert(i int) {
	m.lastID++
	position, err := m.write(i, fmt.Sprintf("INSERT INTO t VALUES (%d)", m.lastID))
	if err != nil {
		return
	}
	m.writes = append(m.writes, &committedWrite{id: m.lastID, position: position, holders: map[int]bool{}})
}

// pull performs one pull of a replica as package replicate does. If whole is false, it
// applies only the first entry, or abandons a rebuild.
func (m *model) pull(i int, whole bool) {
	s := m.stores[i]
	from, term, _ := s.Following()
	if from == "" {
		return
	}
	primary := m.stores[from[0]-'0']
	pulled, err := primary.Pull(context.Background(), term, s.Position(), 0)
	if err != nil {
		return
	}
	if pulled.Diverged {
		m.rebuild(s, primary, term, whole)
		return
	}
	must.NoError(m.t, s.MarkMatched(term))
	if !whole && len(pulled.Entries) > 1 {
		pulled.Entries = pulled.Entries[:1]
	}
	must.NoError(m.t, s.Apply(context.Background(), term, pulled.Entries))
}

func (m *model) rebuild(s, primary *store.Store, term uint64, whole bool) {
	copied, err := s.StartRebuild()
	must.NoError(m.t, err)
	if !whole {
		must.NoError(m.t, copied.Discard())
		return
	}
	pulled, err := primary.Pull(context.Background(), term, copied.Position(), 0)
	must.NoError(m.t, err)
	must.NoError(m.t, copied.Apply(pulled.Entries))
	must.NoError(m.t, copied.Swap(context.Background(), term))
}

// promote lets the adopters adopt a new term. If they are a majority and finish is true, it
// promotes the one with the highest position.
func (m *model) promote(adopters []int, finish bool) {
	m.lastTerm++
	best, adopted := -1, 0
	var high logpos.Position
	for _, i := range adopters {
		status, err := m.stores[i].Adopt(m.lastTerm, "node")
		must.NoError(m.t, err)
		adopted++
		if best < 0 || high.Less(status.Last) {
			best, high = i, status.Last
		}
	}
	if adopted < majority || !finish {
		return
	}
	_, err := m.stores[best].Promote(context.Background(), m.lastTerm, "node")
	must.NoError(m.t, err)
	m.checkPrimary(best)
}

// follow makes target i follow the current primary with the highest term, if there is one.
func (m *model) follow(i int) {
	leader, term := -1, uint64(0)
	for j, s := range m.stores {
		status := s.Status()
		if status.Role == target.RolePrimary && status.Term > term {
			leader, term = j, status.Term
		}
	}
	if leader >= 0 && leader != i {
		_, _ = m.stores[i].Follow(term, address(leader))
	}
}

// observe records which targets hold which writes while they are in the writes' terms.
func (m *model) observe() {
	for i, s := range m.stores {
		status := s.Status()
		for _, w := range m.writes {
			if status.Term == w.position.Term && status.Last.Term == w.position.Term &&
				status.Last.Index >= w.position.Index {
				w.holders[i] = true
			}
		}
	}
}

// checkPrimary fails unless the new primary has every write that a majority held in the
// write's term.
func (m *model) checkPrimary(i int) {
	result, _, err := m.stores[i].Read("SELECT id FROM t", nil)
	must.NoError(m.t, err)
	rows := map[int]bool{}
	for _, row := range result.Rows {
		rows[int(row[0].(int64))] = true
	}
	for _, w := range m.writes {
		if len(w.holders) >= majority {
			must.True(m.t, rows[w.id], must.Sprintf("write %d at %v is lost", w.id, w.position))
		}
	}
}

// checkLogs fails unless any two logs that have an entry at the same position are equal up to
// that entry. It skips targets that do not serve reads.
func (m *model) checkLogs() {
	entries := map[logpos.Position]string{}
	for _, s := range m.stores {
		log := ""
		result, _, err := s.Read("SELECT term, idx, body FROM group_log ORDER BY idx", nil)
		if err != nil {
			must.ErrorIs(m.t, err, store.ErrRebuilding)
			continue
		}
		for _, row := range result.Rows {
			p := logpos.Position{Term: uint64(row[0].(int64)), Index: uint64(row[1].(int64))}
			log += fmt.Sprintf("%v%x ", p, row[2])
			if other, ok := entries[p]; ok {
				must.EqOp(m.t, other, log, must.Sprintf("logs differ before %v", p))
			}
			entries[p] = log
		}
	}
}

// Guards against the loss of a write that a majority of targets held before a promotion, in
// random histories of writes, partial pulls and rebuilds, unfinished promotions and restarts.
func TestConfirmedWritesSurviveAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(t.TempDir(), "group")
		must.NoError(rt, err)
		m := newModel(rt, dir)
		defer func() {
			for _, s := range m.stores {
				_ = s.Close()
			}
		}()
		any := rapid.IntRange(0, groupSize-1)
		adopters := rapid.SliceOfNDistinct(any, 1, groupSize, rapid.ID[int])
		insert := func(rt *rapid.T) { m.insert(any.Draw(rt, "target")) }
		pull := func(rt *rapid.T) { m.pull(any.Draw(rt, "target"), rapid.Bool().Draw(rt, "whole")) }
		rt.Repeat(map[string]func(*rapid.T){
			"insert": insert, "insert again": insert, "pull": pull, "pull again": pull,
			"promote": func(rt *rapid.T) {
				m.promote(adopters.Draw(rt, "adopters"), rapid.Bool().Draw(rt, "finish"))
			},
			"follow": func(rt *rapid.T) { m.follow(any.Draw(rt, "target")) },
			"restart": func(rt *rapid.T) {
				i := any.Draw(rt, "target")
				must.NoError(rt, m.stores[i].Close())
				m.reopen(i)
			},
			"": func(*rapid.T) { m.observe() },
		})
		m.checkLogs()
	})
}
