package statement

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"crocusyoke/internal/budget"
)

func parse(name string, size int) *pgproto3.Parse {
	return &pgproto3.Parse{Name: name, Query: "select " + string(bytesOf('1', size))}
}

// TestOneExchangePreparesMoreThanASessionMay guards against the statements of one exchange that are within the
// limit one by one and above it together.
func TestOneExchangePreparesMoreThanASessionMay(t *testing.T) {
	var s Statements
	third := MaxStatementBytes / 3
	_, err := s.Plan(encodeFrontend(t, parse("a", third), parse("b", third), parse("c", third), &pgproto3.Sync{}))
	must.ErrorContains(t, err, "too many")
}

// TestReplacedStatementCountsBesideItsSuccessor guards against an unnamed statement that is refused because of the
// one that it replaces.
func TestReplacedStatementCountsBesideItsSuccessor(t *testing.T) {
	var s Statements
	for range 3 {
		p, err := s.Plan(encodeFrontend(t, parse("", MaxStatementBytes*2/3), &pgproto3.Sync{}))
		must.NoError(t, err)
		s.ApplyAll(p)
		s.EndExchange()
	}
}

// TestStatementsOfAllSessionsStayWithinTheBudget plays random exchanges of several sessions, of which targets
// confirm a part: after each, the budget holds what the sessions keep, and a share is always available.
func TestStatementsOfAllSessionsStayWithinTheBudget(t *testing.T) {
	const share, common = 4 << 10, 32 << 10
	rapid.Check(t, func(t *rapid.T) {
		node := budget.New(budget.Limits{Share: share, Common: common})
		sessions := []*Statements{{Account: node.Account()}, {Account: node.Account()}, {Account: node.Account()}}
		for range rapid.IntRange(1, 30).Draw(t, "exchanges") {
			s := rapid.SampledFrom(sessions).Draw(t, "session")
			name := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "name")
			size := rapid.IntRange(0, 20<<10).Draw(t, "size")
			needed := s.totalBytes + size + statementOverhead + 100
			var out []byte
			for _, m := range []pgproto3.FrontendMessage{&pgproto3.Close{ObjectType: 'S', Name: name}, parse(name, size), &pgproto3.Sync{}} {
				out, _ = m.Encode(out)
			}
			p, err := s.Plan(out)
			if err == nil {
				s.Apply(p, confirm(rapid.IntRange(0, 2).Draw(t, "confirmed")))
			} else {
				must.Greater(t, share, needed)
			}
			s.EndExchange()
			checkHeld(t, node, sessions)
		}
		for _, s := range sessions {
			s.Release()
		}
		must.Eq(t, 0, node.Held())
	})
}

// confirm returns an answer that confirms the first n messages of a Close and a Parse.
func confirm(n int) []byte {
	var out []byte
	for _, m := range []pgproto3.BackendMessage{&pgproto3.CloseComplete{}, &pgproto3.ParseComplete{}}[:n] {
		out, _ = m.Encode(out)
	}
	return out
}

func checkHeld(t *rapid.T, node *budget.Budget, sessions []*Statements) {
	total := 0
	for _, s := range sessions {
		size := 0
		for name, statement := range s.named {
			size += statement.size(name)
		}
		must.Eq(t, size, s.totalBytes)
		total += size
	}
	must.Eq(t, total, node.Held())
}

// TestIdleSessionKeepsItsLastExchange guards against a session that keeps the last exchange that it has planned,
// however long it was.
func TestIdleSessionKeepsItsLastExchange(t *testing.T) {
	const length = 1 << 20
	sessions := make([]Statements, 16)
	before := heapInUse()
	for i := range sessions {
		_, err := sessions[i].Plan(encodeFrontend(t, &pgproto3.Query{String: "set a.b = '" + string(bytesOf('1', length)) + "'"}))
		must.NoError(t, err)
		sessions[i].EndExchange()
	}
	must.Less(t, len(sessions)*length/4, heapInUse()-before)
	runtime.KeepAlive(sessions)
}

// TestPreparedSettingIsKeptTwice guards against a prepared SET that keeps its text beside its Parse message, which
// alone is accounted for.
func TestPreparedSettingIsKeptTwice(t *testing.T) {
	const length = 1 << 20
	sessions := make([]Statements, 16)
	before := heapInUse()
	for i := range sessions {
		p, err := sessions[i].Plan(encodeFrontend(t, &pgproto3.Parse{Query: "set search_path = public /*" + string(bytesOf('1', length)) + "*/"}, &pgproto3.Sync{}))
		must.NoError(t, err)
		sessions[i].ApplyAll(p)
		sessions[i].EndExchange()
	}
	must.Less(t, len(sessions)*length*5/4, heapInUse()-before)
	runtime.KeepAlive(sessions)
}

func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestRoomIsTakenAfterTheAnswer guards against a caller that is told that its statement is gone, or has been replaced,
// while the statement still takes its room from other sessions.
func TestRoomIsTakenAfterTheAnswer(t *testing.T) {
	node := budget.New(budget.Limits{Share: 0, Common: 1 << 20})
	s := Statements{Account: node.Account()}
	p, err := s.Plan(encodeFrontend(t, parse("a", 10<<10), &pgproto3.Sync{}))
	must.NoError(t, err)
	s.ApplyAll(p)
	must.Eq(t, s.totalBytes, node.Held())
	s.EndExchange()
	p, err = s.Plan(encodeFrontend(t, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	must.NoError(t, err)
	s.Apply(p, confirm(1))
	must.Zero(t, node.Held())
}
