package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// script is a Codec that gives statements and keeps the answers.
type script struct {
	startup    Startup
	statements []Statement
	answers    []string
}

func (c *script) Startup() (Startup, error) { return c.startup, nil }

func (c *script) Next() (Statement, error) {
	if len(c.statements) == 0 {
		return Statement{}, io.EOF
	}
	st := c.statements[0]
	c.statements = c.statements[1:]
	return st, nil
}

func (c *script) Welcome() { c.answers = append(c.answers, "welcome") }

func (c *script) Answer(messages []byte, tx byte, _ logpos.Position) {
	c.answers = append(c.answers, string(messages)+" "+string(tx))
}

func (c *script) Done(tx byte) { c.answers = append(c.answers, "done "+string(tx)) }

func (c *script) Refuse(refusal *request.Refusal, tx byte) {
	c.answers = append(c.answers, refusal.Code.Name+" "+string(tx))
}

func (c *script) Reject(refusal *request.Refusal) {
	c.answers = append(c.answers, "reject "+refusal.Code.Name)
}

func (c *script) Flush() error { return nil }

// chain answers requests as the test orders, and keeps what it was sent.
type chain struct {
	seen   []string
	answer func(req *request.Request, call *Call) (*request.Response, error)
	ended  int
}

func (c *chain) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	call, err := DecodeCall(req.Messages)
	if err != nil {
		return nil, err
	}
	c.seen = append(c.seen, req.Kind.String()+" "+call.ID+" "+call.Text)
	return c.answer(req, call)
}

func (c *chain) End(string) { c.ended++ }

// target is the transaction state of a target that does all it is told.
type target struct{ tx byte }

func (d *target) answer(req *request.Request, _ *Call) (*request.Response, error) {
	switch req.Kind {
	case request.KindBegin, request.KindBeginRead:
		d.tx = stateOpen
	case request.KindCommit, request.KindRollback:
		d.tx = stateIdle
	}
	return &request.Response{Messages: []byte("ok"), TxStatus: d.tx}, nil
}

type source struct{ config *fleet.Config }

func (s source) Current() *fleet.Config { return s.config }

func testConfig() *fleet.Config {
	sum := sha256.Sum256([]byte("k1"))
	return &fleet.Config{
		Version:   1,
		Profiles:  []fleet.Profile{{Name: "orders"}},
		Services:  []fleet.Service{{Name: "orders", Group: "g", Profile: "orders", AllCustomers: true}},
		Customers: []fleet.Customer{{Name: "maker", Keys: []fleet.Key{{ID: "k", Hash: hex.EncodeToString(sum[:])}}}},
	}
}

func newServer(c *chain, codec Codec) *Server {
	config := source{testConfig()}
	return New(Options{
		Node: "n1", Config: config, Chain: c, Auth: auth.New(c, config, nil), Clock: clock.Wall{},
		Log: requestlog.New(log.NewNopLogger()), NewCodec: func(net.Conn) Codec { return codec },
		Rollback: "UNDO", MaxConnections: 1,
	})
}

// play runs one session over statements and returns the answers.
func play(t *testing.T, c *chain, key string, statements ...Statement) []string {
	t.Helper()
	codec := &script{startup: Startup{Service: "orders", Key: key}, statements: statements}
	s := newServer(c, codec)
	near, far := net.Pipe()
	defer far.Close()
	s.serve(near)
	s.wait.Wait()
	return codec.answers
}

func st(verb Verb, text string) Statement { return Statement{ID: "q", Verb: verb, Text: text} }

var (
	begin    = st(VerbBegin, "b")
	write    = st(VerbWrite, "w")
	read     = st(VerbRead, "r")
	commit   = st(VerbCommit, "c")
	rollback = st(VerbRollback, "u")
)

// TestOneAnswerEach: each statement gets one answer, and goes out as what it is.
func TestOneAnswerEach(t *testing.T) {
	d := &target{tx: stateIdle}
	c := &chain{answer: d.answer}
	prepare := Statement{ID: "q", Verb: VerbPrepare, Name: "s", Shape: Shape{Writes: true, Name: "x"}}
	execute := Statement{ID: "q", Verb: VerbExecute, Name: "s", Arguments: "7 a"}
	answers := play(t, c, "k1", read, write, begin, read, st(VerbSet, ""), commit, prepare, execute, commit, st(VerbInvalid, ""))
	must.Eq(t, "welcome|ok I|ok I|ok T|ok T|done T|ok I|done I|ok I|protocol I|protocol I", strings.Join(answers, "|"))
	must.Eq(t, "read q r|write q w|begin q b|in transaction q r|commit q c|write q 7 a", strings.Join(c.seen, "|"))
	must.Eq(t, 1, c.ended)
}

// TestLostTransaction: after a refusal inside a transaction nothing of it can be committed: it
// is rolled back whatever the caller asks, also if a target still holds it.
func TestLostTransaction(t *testing.T) {
	for _, end := range []Statement{commit, rollback} {
		d := &target{tx: stateIdle}
		c := &chain{}
		c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
			if call.Text == "w" {
				return nil, request.Refuse(request.CodeBadKey, "auth", "", "withdrawn")
			}
			return d.answer(req, call)
		}
		answers := play(t, c, "k1", begin, write, read, end, read)
		want := "welcome|ok T|bad_key E|protocol E|transaction_lost I|ok I"
		if end.Verb == VerbRollback {
			want = "welcome|ok T|bad_key E|protocol E|done I|ok I"
		}
		must.Eq(t, want, strings.Join(answers, "|"))
		must.Eq(t, "rollback - UNDO", c.seen[2])
		must.Eq(t, stateIdle, rune(d.tx))
	}
}

// TestCommitWithoutAnswer: a commit of unknown fate is said to be so, and ends the transaction.
func TestCommitWithoutAnswer(t *testing.T) {
	d := &target{tx: stateIdle}
	c := &chain{}
	c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
		if req.Kind == request.KindCommit {
			return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "no answer")
		}
		return d.answer(req, call)
	}
	must.Eq(t, "welcome|ok T|ok T|outcome_unknown I", strings.Join(play(t, c, "k1", begin, write, commit), "|"))
}

// TestSettingsAreCopies: a value set later does not change a call that is under way.
func TestSettingsAreCopies(t *testing.T) {
	s := newState()
	s.set("tz", "utc")
	first := s.call(&read)
	s.set("tz", "ist")
	must.Eq(t, []Setting{{Name: "tz", Value: "utc"}}, first.Settings)
	must.Eq(t, []Setting{{Name: "tz", Value: "ist"}}, s.call(&read).Settings)
}

func TestWrongKeyOpensNoSession(t *testing.T) {
	c := &chain{}
	must.Eq(t, "reject bad_key", strings.Join(play(t, c, "other", read), "|"))
	must.SliceEmpty(t, c.seen)
}

// TestSlowAnswerIsLogged: an answer that took long has a line by the request's id, with where
// its time went, however many came before it.
func TestSlowAnswerIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		requests := requestlog.New(log.NewLogfmtLogger(&out))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- requests.Run(ctx) }()
		d := &target{tx: stateIdle}
		c := &chain{answer: func(req *request.Request, call *Call) (*request.Response, error) {
			resp, err := d.answer(req, call)
			if call.ID == "late" {
				time.Sleep(slowAfter)
				resp.Times = request.Times{AtOwner: slowAfter, AtTarget: 30 * time.Millisecond, Exchanges: 2}
			}
			return resp, err
		}}
		statements := slices.Repeat([]Statement{read}, 20)
		statements = append(statements, Statement{ID: "late", Verb: VerbRead, Text: "r"})
		s := newServer(c, &script{startup: Startup{Service: "orders", Key: "k1"}, statements: statements})
		s.options.Log = requests
		near, far := net.Pipe()
		defer far.Close()
		s.serve(near)
		s.wait.Wait()
		synctest.Wait()
		stop()
		must.NoError(t, <-ended)
		must.StrContains(t, out.String(), "id=late")
		must.StrContains(t, out.String(), "outcome=slow")
		must.StrContains(t, out.String(), "took=500ms at_owner=500ms at_target=30ms exchanges=2")
	})
}

// brokenOnce is a listener whose first connection can't be taken.
type brokenOnce struct {
	net.Listener
	failed bool
}

func (l *brokenOnce) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A node that lacks file descriptors for a moment goes on taking callers after it.
func TestFailedAcceptIsNotTheEnd(t *testing.T) {
	s := newServer(&chain{}, &script{startup: Startup{Service: "orders", Key: "k1"}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, &brokenOnce{Listener: listener}) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer conn.Close()
	must.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	must.ErrorIs(t, err, io.EOF)
	must.Eq(t, "1", s.Counts.Get("sessions").String())
	must.Eq(t, "1", s.Counts.Get("accepts_failed").String())
	cancel()
	must.NoError(t, <-served)
}
