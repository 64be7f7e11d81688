package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
	"crocusyoke/internal/requestlog"
)

// scriptedCodec is a Codec that takes the caller's statements from a list and records the answers.
type scriptedCodec struct {
	startup    Startup
	statements []Statement
	answers    []string
}

func (c *scriptedCodec) Startup() (Startup, error) { return c.startup, nil }

func (c *scriptedCodec) Next() (Statement, error) {
	if len(c.statements) == 0 {
		return Statement{}, io.EOF
	}
	st := c.statements[0]
	c.statements = c.statements[1:]
	return st, nil
}

func (c *scriptedCodec) SessionOpened() { c.answers = append(c.answers, "welcome") }

func (c *scriptedCodec) Answer(messages []byte, tx byte, _ logpos.Position) {
	c.answers = append(c.answers, string(messages)+" "+string(tx))
}

func (c *scriptedCodec) Completed(tx byte) { c.answers = append(c.answers, "done "+string(tx)) }

func (c *scriptedCodec) Refuse(refusal *request.Refusal, tx byte) {
	c.answers = append(c.answers, refusal.Code.Name+" "+string(tx))
}

func (c *scriptedCodec) Reject(refusal *request.Refusal) {
	c.answers = append(c.answers, "reject "+refusal.Code.Name)
}

func (c *scriptedCodec) Flush() error { return nil }

// fakeChain is a filter chain that records requests and answers them by a function of the test.
type fakeChain struct {
	mu     sync.Mutex
	seen   []string
	answer func(req *request.Request, call *Call) (*request.Response, error)
	ended  int
	// dropped counts the transactions that were ended without an answer.
	dropped int
}

func (c *fakeChain) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	call, err := DecodeCall(req.Messages)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.seen = append(c.seen, req.Kind.String()+" "+call.ID+" "+call.Text)
	c.mu.Unlock()
	return c.answer(req, call)
}

func (c *fakeChain) End(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended++
}

// fakeTarget is a target that runs every statement. It holds only its transaction status.
type fakeTarget struct{ tx byte }

func (d *fakeTarget) answer(req *request.Request, _ *Call) (*request.Response, error) {
	switch req.Kind {
	case request.KindBegin, request.KindBeginRead:
		d.tx = txOpen
	case request.KindCommit, request.KindRollback:
		d.tx = txIdle
	}
	return &request.Response{Messages: []byte("ok"), TxStatus: d.tx}, nil
}

type fixedConfig struct{ config *fleet.Config }

func (s fixedConfig) Current() *fleet.Config { return s.config }

func testConfig() *fleet.Config {
	sum := sha256.Sum256([]byte("k1"))
	return &fleet.Config{
		Version:   1,
		Profiles:  []fleet.Profile{{Name: "orders"}},
		Services:  []fleet.Service{{Name: "orders", Group: "g", Profile: "orders", AllCustomers: true}},
		Customers: []fleet.Customer{{Name: "maker", Keys: []fleet.Key{{ID: "k", Hash: hex.EncodeToString(sum[:])}}}},
	}
}

func newServer(c *fakeChain, codec Codec) *Server {
	config := fixedConfig{testConfig()}
	return New(Options{
		Node: "n1", Config: config, Chain: c, EndTransaction: func(string) { c.dropped++ }, Auth: newAuth(c, config), Clock: clock.Wall{},
		Log: requestlog.New(log.NewNopLogger()), NewCodec: func(net.Conn) Codec { return codec },
		Owner: func(string) string { return "n2" }, Rollback: "UNDO", MaxConnections: 1,
	})
}

func newAuth(c *fakeChain, config fleet.Source) *auth.Filter { return auth.New(c, config, nil) }

// runSession runs one session that sends the given statements, and returns the answers.
func runSession(t *testing.T, c *fakeChain, key string, statements ...Statement) []string {
	t.Helper()
	codec := &scriptedCodec{startup: Startup{Service: "orders", Key: key}, statements: statements}
	runCodec(newServer(c, codec))
	return codec.answers
}

// runCodec runs one session of s to its end.
func runCodec(s *Server) {
	serverConn, callerConn := net.Pipe()
	defer callerConn.Close()
	s.startSession(serverConn)
	s.wg.Wait()
}

func stmt(verb Verb, text string) Statement { return Statement{ID: "q", Verb: verb, Text: text} }

var (
	begin    = stmt(VerbBegin, "b")
	write    = stmt(VerbWrite, "w")
	read     = stmt(VerbRead, "r")
	commit   = stmt(VerbCommit, "c")
	rollback = stmt(VerbRollback, "u")
)

// TestEachStatementGetsOneAnswer checks that each statement gets exactly one answer, and that
// those that need a target are forwarded with the right request kind and text.
func TestEachStatementGetsOneAnswer(t *testing.T) {
	d := &fakeTarget{tx: txIdle}
	c := &fakeChain{answer: d.answer}
	prepare := Statement{ID: "q", Verb: VerbPrepare, Name: "s", Shape: StatementTemplate{Writes: true, Name: "x"}}
	execute := Statement{ID: "q", Verb: VerbExecute, Name: "s", Arguments: "7 a"}
	answers := runSession(t, c, "k1", read, write, begin, read, stmt(VerbSet, ""), commit, prepare, execute, commit, stmt(VerbInvalid, ""))
	must.Eq(t, "welcome|ok I|ok I|ok T|ok T|done T|ok I|done I|ok I|protocol I|protocol I", strings.Join(answers, "|"))
	must.Eq(t, "read q r|write q w|begin q b|in transaction q r|commit q c|write q 7 a", strings.Join(c.seen, "|"))
	must.Eq(t, 1, c.ended)
}

// TestLostTransaction guards against committing part of a transaction in which a statement was
// refused. The target may still hold the transaction open, so it is rolled back there whether
// the caller sends COMMIT or ROLLBACK.
func TestLostTransaction(t *testing.T) {
	for _, end := range []Statement{commit, rollback} {
		d := &fakeTarget{tx: txIdle}
		c := &fakeChain{}
		c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
			if call.Text == "w" {
				return nil, request.Refuse(request.CodeBadKey, "auth", "", "withdrawn")
			}
			return d.answer(req, call)
		}
		answers := runSession(t, c, "k1", begin, write, read, end, read)
		want := "welcome|ok T|bad_key E|protocol E|transaction_lost I|ok I"
		if end.Verb == VerbRollback {
			want = "welcome|ok T|bad_key E|protocol E|done I|ok I"
		}
		must.Eq(t, want, strings.Join(answers, "|"))
		must.Eq(t, "rollback - UNDO", c.seen[2])
		must.Eq(t, txIdle, rune(d.tx))
	}
}

// TestUnansweredCommitIsOutcomeUnknown checks that a COMMIT without an answer is reported as
// outcome_unknown, and that it ends the transaction.
func TestUnansweredCommitIsOutcomeUnknown(t *testing.T) {
	d := &fakeTarget{tx: txIdle}
	c := &fakeChain{}
	c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
		if req.Kind == request.KindCommit {
			return nil, request.Refuse(request.CodeOutcomeUnknown, "exchange", "t1", "no answer")
		}
		return d.answer(req, call)
	}
	must.Eq(t, "welcome|ok T|ok T|outcome_unknown I", strings.Join(runSession(t, c, "k1", begin, write, commit), "|"))
}

// TestLaterSetLeavesPendingCallUnchanged guards against a SET changing the settings of a call
// that was made before it.
func TestLaterSetLeavesPendingCallUnchanged(t *testing.T) {
	s := newSessionState(budget.New(stateLimits).Account())
	s.storeSetting("tz", "utc")
	first := s.newCall(&read)
	s.storeSetting("tz", "ist")
	must.Eq(t, []Setting{{Name: "tz", Value: "utc"}}, first.Settings)
	must.Eq(t, []Setting{{Name: "tz", Value: "ist"}}, s.newCall(&read).Settings)
}

func TestWrongKeyOpensNoSession(t *testing.T) {
	c := &fakeChain{}
	must.Eq(t, "reject bad_key", strings.Join(runSession(t, c, "other", read), "|"))
	must.SliceEmpty(t, c.seen)
}

// TestSlowAnswerIsAlwaysLogged checks that a slow answer is logged with its request id and a
// breakdown of its time even after fast answers have used up the log's sampling rate.
func TestSlowAnswerIsAlwaysLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		requests := requestlog.New(log.NewLogfmtLogger(&out))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- requests.Run(ctx) }()
		d := &fakeTarget{tx: txIdle}
		c := &fakeChain{answer: func(req *request.Request, call *Call) (*request.Response, error) {
			resp, err := d.answer(req, call)
			if call.ID == "late" {
				time.Sleep(slowThreshold)
				resp.Times = request.Times{AtOwner: slowThreshold, AtTarget: 30 * time.Millisecond, Exchanges: 2}
			}
			return resp, err
		}}
		statements := slices.Repeat([]Statement{read}, 20)
		statements = append(statements, Statement{ID: "late", Verb: VerbRead, Text: "r"})
		s := newServer(c, &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: statements})
		s.options.Log = requests
		serverConn, callerConn := net.Pipe()
		defer callerConn.Close()
		s.startSession(serverConn)
		s.wg.Wait()
		synctest.Wait()
		stop()
		must.NoError(t, <-ended)
		must.StrContains(t, out.String(), "id=late")
		must.StrContains(t, out.String(), "outcome=slow")
		must.StrContains(t, out.String(), "took=500ms at_owner=500ms at_target=30ms exchanges=2")
	})
}

// failFirstAccept is a listener whose first Accept fails for lack of file descriptors.
type failFirstAccept struct {
	net.Listener
	failed bool
}

func (l *failFirstAccept) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// TestServeContinuesAfterAcceptError guards against a node that stops accepting callers after a
// short lack of file descriptors.
func TestServeContinuesAfterAcceptError(t *testing.T) {
	s := newServer(&fakeChain{}, &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- s.Serve(ctx, &failFirstAccept{Listener: listener}) }()
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

// TestStatementThatIsNoUTF8 guards against a statement that can't be decoded on its way to a target
// because its bytes are not valid UTF-8: each try cost a connection.
func TestStatementThatIsNoUTF8(t *testing.T) {
	call := &Call{ID: "q\xff", Text: "w 1 \xff\xfe\x80", Settings: []Setting{{Name: "n", Value: "\xc3"}}}
	messages, err := call.Encode()
	must.NoError(t, err)
	decoded, err := DecodeCall(messages)
	must.NoError(t, err)
	must.Eq(t, call, decoded)
}
