package owner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// usesDialer is a Dialer of connections for one customer each. It records wrong uses of them: statements of
// another customer, inside another session's transaction or outside their own, two at once, and any after
// an exchange without an answer. The messages of a request begin with its customer and session.
type usesDialer struct {
	target.Dialer
	mu      sync.Mutex
	panics  int
	served  int
	reports []string
}

// usedConn is a connection of a usesDialer. session is that of its open transaction.
type usedConn struct {
	target.Conn
	dialer   *usesDialer
	customer string
	session  string
	busy     bool
	broken   bool
}

const usesSeparator = "|"

func (d *usesDialer) Commands() target.Commands {
	return target.Commands{Rollback: simpleQuery("ROLLBACK"), PerCustomer: true}
}

func (d *usesDialer) Dial(ctx context.Context, login target.Login) (target.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, login)
	if err != nil {
		return nil, err
	}
	return &usedConn{Conn: conn, dialer: d, customer: login.Customer}, nil
}

// Exchange implements target.Conn.
func (c *usedConn) Exchange(ctx context.Context, messages []byte) (target.Reply, bool, error) {
	var query pgproto3.Query
	if err := query.Decode(messages[5:]); err != nil {
		return target.Reply{}, false, err
	}
	fields := strings.Split(query.String, usesSeparator)
	text := fields[len(fields)-1]
	c.begin(fields)
	reply, sent, err := c.Conn.Exchange(ctx, simpleQuery(text))
	c.end(fields, reply, err)
	return reply, sent, err
}

func (c *usedConn) begin(fields []string) {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	if c.busy || c.broken {
		c.report("busy %v, broken %v", fields, c.busy, c.broken)
	}
	c.busy = true
	if len(fields) == 1 {
		return
	}
	customer, session, text := fields[0], fields[1], fields[2]
	if customer != c.customer {
		c.report("another customer's", fields)
	}
	inTransaction := text == "COMMIT" || strings.HasPrefix(text, "INSERT in")
	if inTransaction != (c.session == session) || !inTransaction && c.session != "" {
		c.report("transaction of %q", fields, c.session)
	}
}

// end records the result of an exchange. It panics if the dialer is told to, as over an answer that can't
// be understood.
func (c *usedConn) end(fields []string, reply target.Reply, err error) {
	d := c.dialer
	d.mu.Lock()
	defer d.mu.Unlock()
	d.served++
	c.busy = false
	c.session = ""
	if err == nil && reply.TxStatus != 'I' && len(fields) == 3 {
		c.session = fields[1]
	}
	c.broken = err != nil
	if d.panics > 0 {
		d.panics--
		c.broken = true
		panic("unexpected answer")
	}
}

// report records a wrong use. The dialer's mu is held.
func (c *usedConn) report(format string, fields []string, args ...any) {
	c.dialer.reports = append(c.dialer.reports,
		fmt.Sprintf("%v on a connection of %q: %s", fields, c.customer, fmt.Sprintf(format, args...)))
}

// sessionStep is what a session does next. Its requests give up after patience.
type sessionStep struct {
	transaction bool
	statements  int
	ending      int
	patience    time.Duration
	pause       time.Duration
}

// The endings of a transaction.
const (
	endCommit = iota
	endLeave
	endForget
	numEndings
)

func drawSessionStep(t *rapid.T) sessionStep {
	return sessionStep{
		transaction: rapid.Bool().Draw(t, "transaction"),
		statements:  rapid.IntRange(0, 3).Draw(t, "statements"),
		ending:      rapid.IntRange(0, numEndings-1).Draw(t, "ending"),
		patience:    time.Duration(rapid.SampledFrom([]int{3, 15, 400}).Draw(t, "patience")) * time.Millisecond,
		pause:       time.Duration(rapid.IntRange(0, 20).Draw(t, "pause")) * time.Millisecond,
	}
}

// usesSession runs the steps of one session.
type usesSession struct {
	*harness
	customer string
	last     *request.Request
}

func (s *usesSession) serve(kind request.Kind, text string, patience time.Duration) bool {
	req := *s.last
	req.ID.Sequence++
	req.Customer, req.Kind = s.customer, kind
	req.Deadline = time.Now().Add(time.Second)
	req.Messages = simpleQuery(strings.Join([]string{s.customer, req.ID.Session, text}, usesSeparator))
	s.last = &req
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := s.manager.Serve(ctx, &req)
	return err == nil
}

func (s *usesSession) run(step sessionStep) {
	time.Sleep(step.pause)
	if !step.transaction {
		s.serve(request.KindWrite, "INSERT alone", step.patience)
		return
	}
	if !s.serve(request.KindBegin, "BEGIN", step.patience) {
		s.manager.End(s.last.ID.Session)
		return
	}
	for range step.statements {
		time.Sleep(step.pause)
		if !s.serve(request.KindInTransaction, "INSERT in", step.patience) {
			s.manager.End(s.last.ID.Session)
			return
		}
	}
	switch step.ending {
	case endCommit:
		s.serve(request.KindCommit, "COMMIT", step.patience)
	case endLeave:
		s.manager.End(s.last.ID.Session)
	case endForget:
		s.serve(request.KindRead, "SELECT", step.patience)
	}
}

// TestStatementRunsOnAnothersConnection guards against a statement that runs on a connection of another
// customer, inside another session's transaction or outside its own, beside another statement, or after an
// exchange that failed or panicked.
func TestStatementRunsOnAnothersConnection(t *testing.T) {
	customers := []string{"", "ravi", "ravi 2"}
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.SliceOfN(rapid.Custom(drawSessionStep), 1, 8), 2, 12).Draw(rt, "sessions")
		panics := rapid.IntRange(0, 3).Draw(rt, "panics")
		dialer := &usesDialer{}
		use := func(o *Options) {
			dialer.Dialer = o.Dialer
			o.Dialer = dialer
		}
		withHarness(t, 5*time.Millisecond, use, func(h *harness) {
			var sessions sync.WaitGroup
			for i, own := range steps {
				s := &usesSession{h, customers[i%len(customers)], h.request(request.KindRead, "", time.Second)}
				sessions.Go(func() {
					for _, step := range own {
						s.run(step)
					}
					s.manager.End(s.last.ID.Session)
				})
			}
			time.Sleep(30 * time.Millisecond)
			dialer.mu.Lock()
			dialer.panics = panics
			dialer.mu.Unlock()
			primary := h.group.targets[0]
			primary.update(func(f *fakeTarget) { f.loseNextAnswer = true })
			sessions.Wait()
			time.Sleep(time.Second)
			h.checkNothingHeld()
		})
		if len(dialer.reports) > 0 {
			rt.Fatalf("%v", dialer.reports)
		}
		served += dialer.served
	})
	if served < 100 {
		t.Fatalf("only %d exchanges", served)
	}
}
