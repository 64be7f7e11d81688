package statement

import (
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/request"
)

func TestClassify(t *testing.T) {
	for sql, want := range map[string]Class{
		"": ClassEmpty, " ; -- nothing\n;": ClassEmpty,
		"select 1": ClassRead,
		"SELECT count(*) FROM t WHERE a IN (1,2)":        ClassRead,
		"(select 1) union (select 2)":                    ClassRead,
		"select 1; select 2;":                            ClassRead,
		"values (1)":                                     ClassRead,
		"/* begin /* nested */ */ select 'a;b''c'":       ClassRead,
		"select 1 -- ; delete from t":                    ClassRead,
		"select $q$; delete from t$q$":                   ClassRead,
		`select E'\'; delete from t where a = \''`:       ClassRead,
		"select v from orders where id = $1":             ClassRead,
		"select 1; delete from t":                        ClassWrite,
		`select '\'; delete from t where a = '1'`:        ClassWrite,
		"select 1 /* ; */ ; delete from t":               ClassWrite,
		"select book_order(1)":                           ClassWrite,
		"select book_order /* x */ (1)":                  ClassWrite,
		`select "count"(1)`:                              ClassWrite,
		"select public.lower('a')":                       ClassWrite,
		"select nextval('s')":                            ClassWrite,
		"select * into u from t":                         ClassWrite,
		"select * from t for no key update":              ClassWrite,
		"with x as (delete from t returning 1) select 1": ClassWrite,
		"explain analyze delete from t":                  ClassWrite,
		"insert into t values (1)":                       ClassWrite,
		"rollback to savepoint a":                        ClassWrite,
		"begin":                                          ClassBegin,
		"start transaction read write":                   ClassBegin,
		"begin; insert into t values (1)":                ClassBegin,
		"BEGIN ISOLATION LEVEL SERIALIZABLE, READ ONLY":  ClassBeginRead,
		"begin read only, read write":                    ClassBegin,
		"commit":                                         ClassCommit, "end work": ClassCommit, "commit and no chain": ClassCommit,
		"rollback": ClassRollback, "abort": ClassRollback,
		"set transaction read only":        ClassWrite,
		"set crocusyoke.request_id to 'a'": ClassSetting, "show all": ClassSetting,
		"commit and chain": ClassUnsupported, "commit prepared 'x'": ClassUnsupported,
		"insert into t values (1); commit": ClassUnsupported, "set a = 1; select 1": ClassUnsupported,
		"listen x": ClassUnsupported, "copy t to stdout": ClassUnsupported, "deallocate all": ClassUnsupported,
		"create temporary table t (a int)": ClassUnsupported, "select 1 into temp t": ClassUnsupported,
		"declare c cursor with hold for select 1":    ClassUnsupported,
		"select pg_catalog.pg_advisory_lock(1)":      ClassUnsupported,
		"update t set a = set_config('x','y',false)": ClassUnsupported,
	} {
		must.Eq(t, want, Classify(sql).Class, must.Sprint(sql))
	}
}

func TestClassifySetting(t *testing.T) {
	for sql, want := range map[string]Setting{
		"set local a.b = 'it''s'":                {Name: "a.b", Value: "it's", Local: true},
		"SET SESSION DateStyle TO ISO, MDY":      {Name: "datestyle", Value: "ISO,MDY"},
		"set time zone 'UTC'":                    {Name: "timezone", Value: "UTC"},
		"set names 'utf8'":                       {Name: "client_encoding", Value: "utf8"},
		`set search_path = "$user", public`:      {Name: "search_path", Value: "$user,public"},
		"reset all":                              {Verb: VerbReset, Name: "all"},
		"show crocusyoke.session -- the token\n": {Verb: VerbShow, Name: "crocusyoke.session"},
	} {
		must.Eq(t, want, Classify(sql).Setting, must.Sprint(sql))
	}
}

func TestKindOfInTransaction(t *testing.T) {
	must.Eq(t, request.KindInTransaction, KindOf(ClassRead, 'T'))
	must.Eq(t, request.KindCommit, KindOf(ClassCommit, 'T'))
	must.Eq(t, request.KindRollback, KindOf(ClassCommit, 'E'))
	must.Eq(t, request.KindInTransaction, KindOf(ClassWrite, 'E'))
}

func encodeFrontend(t testing.TB, messages ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		must.NoError(t, err)
	}
	return out
}

func messageTypes(messages []byte) string {
	out := ""
	for {
		m, rest, ok := Next(messages)
		if !ok {
			return out
		}
		out += string(m.Type)
		messages = rest
	}
}

func encodeBackend(t testing.TB, messages ...pgproto3.BackendMessage) []byte {
	var out []byte
	for _, m := range messages {
		var err error
		out, err = m.Encode(out)
		must.NoError(t, err)
	}
	return out
}

func TestNamedStatementsBecomeUnnamed(t *testing.T) {
	var s Statements
	prepare := encodeFrontend(t, &pgproto3.Parse{Name: "a", Query: "select 1"}, &pgproto3.Describe{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{})
	p, err := s.Plan(prepare)
	must.NoError(t, err)
	must.False(t, p.Executes)
	must.Eq(t, "PDS", messageTypes(p.Messages))
	s.Apply(p, encodeBackend(t, &pgproto3.ParseComplete{}, &pgproto3.NoData{}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	_, err = s.Plan(prepare)
	must.ErrorContains(t, err, "already exists")

	run := encodeFrontend(t, &pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{[]byte("x")}}, &pgproto3.Execute{},
		&pgproto3.Parse{Query: "delete from t"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{})
	p, err = s.Plan(run)
	must.NoError(t, err)
	must.Eq(t, "PBEPBEPBES", messageTypes(p.Messages))
	must.Eq(t, ClassWrite, p.Info.Class)
	one := []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}, &pgproto3.CommandComplete{}}
	answer := append(append(append([]pgproto3.BackendMessage{}, one...), one...), one...)
	answer = append(answer, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	must.Eq(t, "2C12C2CZ", messageTypes(s.Apply(p, encodeBackend(t, answer...))))

	p, err = s.Plan(encodeFrontend(t, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	must.NoError(t, err)
	must.True(t, p.AnswerableLocally)
	s.ApplyAll(p)
	_, err = s.Plan(run)
	must.ErrorContains(t, err, "does not exist")
	must.Eq(t, 1, len(s.named), must.Sprint("only the unnamed statement is left"))
}

// TestStatementsAfterBeginAreSplit checks that what follows a BEGIN in the same exchange is sent
// as an exchange of its own, so that it is confirmed like any other statement of a transaction.
func TestStatementsAfterBeginAreSplit(t *testing.T) {
	var s Statements
	p, err := s.Plan(encodeFrontend(t, &pgproto3.Query{String: "begin; /* x */ update t set a = 1; select 2"}))
	must.NoError(t, err)
	var head, tail pgproto3.Query
	must.NoError(t, head.Decode(p.Messages[headerLength:p.SplitOffset]))
	must.NoError(t, tail.Decode(p.Messages[p.SplitOffset+headerLength:]))
	must.Eq(t, "begin;", head.String)
	must.Eq(t, " /* x */ update t set a = 1; select 2", tail.String)

	p, err = s.Plan(encodeFrontend(t, &pgproto3.Parse{Name: "s", Query: "delete from t"},
		&pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{},
		&pgproto3.Bind{PreparedStatement: "s"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	must.NoError(t, err)
	must.Eq(t, "PPBES", messageTypes(p.Messages[:p.SplitOffset]))
	must.Eq(t, "PBES", messageTypes(p.Messages[p.SplitOffset:]))
	must.Eq(t, request.KindBegin, p.Kind('I'))

	p, err = s.Plan(encodeFrontend(t, &pgproto3.Parse{Query: "BEGIN"}, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	must.NoError(t, err)
	must.Eq(t, 0, p.SplitOffset)
}

// TestUnnamedStatementOutlivesItsBatch guards against running the wrong statement: a Bind of the
// unnamed statement of an earlier batch must parse it again, since a named statement has taken its
// place at the target in between.
func TestUnnamedStatementOutlivesItsBatch(t *testing.T) {
	var s Statements
	for _, batch := range [][]byte{
		encodeFrontend(t, &pgproto3.Parse{Name: "named", Query: "select 1"}, &pgproto3.Parse{Query: "delete from t"}, &pgproto3.Sync{}),
		encodeFrontend(t, &pgproto3.Bind{PreparedStatement: "named"}, &pgproto3.Execute{}, &pgproto3.Sync{}),
	} {
		p, err := s.Plan(batch)
		must.NoError(t, err)
		s.ApplyAll(p)
	}
	p, err := s.Plan(encodeFrontend(t, &pgproto3.Bind{}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	must.NoError(t, err)
	must.Eq(t, ClassWrite, p.Info.Class)
	must.StrContains(t, string(p.Messages), "delete from t")
}

func TestFailedParseIsForgotten(t *testing.T) {
	var s Statements
	p, err := s.Plan(encodeFrontend(t, &pgproto3.Parse{Name: "good", Query: "select 1"}, &pgproto3.Parse{Name: "bad", Query: "selekt"}, &pgproto3.Sync{}))
	must.NoError(t, err)
	s.Apply(p, encodeBackend(t, &pgproto3.ParseComplete{}, &pgproto3.ErrorResponse{Code: "42601"}, &pgproto3.ReadyForQuery{TxStatus: 'I'}))
	must.NotNil(t, s.named["good"])
	must.Nil(t, s.named["bad"])
}

func TestStatementsAreBounded(t *testing.T) {
	var s Statements
	long := "select " + string(bytesOf('1', MaxStatementBytes/2))
	for _, name := range []string{"a", "b"} {
		p, err := s.Plan(encodeFrontend(t, &pgproto3.Parse{Name: name, Query: long}, &pgproto3.Sync{}))
		if name == "b" {
			must.ErrorContains(t, err, "too many")
			return
		}
		must.NoError(t, err)
		s.ApplyAll(p)
	}
}

func bytesOf(c byte, n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = c
	}
	return out
}

// FuzzStatement checks with arbitrary SQL and batches that nothing panics, and that what is sent
// to a target consists of whole messages, names no statement, and binds only a statement that
// the same batch has parsed.
func FuzzStatement(f *testing.F) {
	f.Add("select 1; begin", encodeFrontend(f, &pgproto3.Parse{Name: "a", Query: "x"}, &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}, &pgproto3.Sync{}))
	f.Add("set a.b = 'x'", encodeFrontend(f, &pgproto3.Describe{ObjectType: 'S'}, &pgproto3.Close{ObjectType: 'S', Name: "known"}, &pgproto3.Sync{}))
	f.Add("/*", encodeFrontend(f, &pgproto3.Bind{PreparedStatement: "known"}, &pgproto3.Execute{}, &pgproto3.Query{String: "select 1"}))
	f.Fuzz(func(t *testing.T, sql string, batch []byte) {
		Classify(sql)
		var s Statements
		known, err := s.Plan(encodeFrontend(t, &pgproto3.Parse{Name: "known", Query: "select 1"}, &pgproto3.Sync{}))
		must.NoError(t, err)
		s.ApplyAll(known)
		p, err := s.Plan(batch)
		if err != nil {
			return
		}
		s.Apply(p, batch)
		parsed := false
		size := 0
		for rest := p.Messages; len(rest) > 0; {
			m, after, ok := Next(rest)
			must.True(t, ok)
			switch m.Type {
			case typeParse:
				must.Eq(t, byte(0), m.Body()[0])
				parsed = true
			case typeBind:
				var bind pgproto3.Bind
				must.NoError(t, bind.Decode(m.Body()))
				must.Eq(t, "", bind.PreparedStatement)
				must.True(t, parsed)
			}
			size += len(m.Raw)
			rest = after
		}
		must.Eq(t, len(p.Messages), size)
	})
}

// TestOrdinaryStatementLeavesState checks which statements may leave state on a connection.
func TestOrdinaryStatementLeavesState(t *testing.T) {
	for sql, want := range map[string]bool{
		"select 1": false, "select count(*) from t where a in (1, 2)": false,
		"insert into t (a, b) values (1, 2) returning a": false, `insert into s."t" (a) values (coalesce(1, 2))`: false,
		"update t set a = lower(b)": false, "begin": false, "commit": false, ";": false, "": false,
		"insert into t (a) values (f(1))": true, "insert into t select f(1)": true, "insert into t (a) select s.f(1)": true,
		"do $$ begin end $$": true, "select 1; call p()": true, "(select f())": true, "with x as (select f()) select 1": true,
		`select "lower"(a) from t`: true, "select 1 /* do */": false, "select 'call f()'": false,
	} {
		must.Eq(t, want, LeavesState(encodeFrontend(t, &pgproto3.Query{String: sql})), must.Sprint(sql))
		must.Eq(t, want, LeavesState(encodeFrontend(t, &pgproto3.Parse{Name: "n", Query: sql}, &pgproto3.Sync{})), must.Sprint(sql))
	}
	must.False(t, LeavesState([]byte("Q\x00\x00")))
}
