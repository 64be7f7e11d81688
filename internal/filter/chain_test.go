package filter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/logpos"
	"crocusyoke/internal/request"
)

const key = "maker-key"

// world is everything around a Chain.
type world struct {
	config *fleet.Config
	stale  bool
	left   int
	// replies are given in order; the last one for ever.
	replies []reply
	seen    []request.Request
}

type reply struct {
	resp request.Response
	err  error
}

func (w *world) Current() *fleet.Config            { return w.config }
func (w *world) Owner(string) (string, bool, bool) { return "", true, true }
func (w *world) Open(string) request.Handler       { return w }
func (w *world) End(string)                        {}
func (w *world) Admit(context.Context, string) (bool, time.Duration) {
	w.left--
	return w.left >= 0, 40 * time.Millisecond
}

func (w *world) Settle(_ string, ran bool) {
	if !ran {
		w.left++
	}
}

func (w *world) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	w.seen = append(w.seen, *req)
	r := w.replies[0]
	if len(w.replies) > 1 {
		w.replies = w.replies[1:]
	}
	if r.err != nil {
		return nil, r.err
	}
	r.resp.ID = req.ID
	return &r.resp, nil
}

func newWorld() (*world, *Chain) {
	sum := sha256.Sum256([]byte(key))
	w := &world{left: 100, replies: []reply{{resp: request.Response{TxStatus: 'I'}}}, config: &fleet.Config{
		TokenSecret: strings.Repeat("ab", 32),
		Customers: []fleet.Customer{
			{Name: "maker", Keys: []fleet.Key{{ID: "k1", Hash: hex.EncodeToString(sum[:])}}},
			{Name: "hostel"},
		},
		Services: []fleet.Service{{Name: "ledger", Group: "g", Customers: []string{"maker"}}, {Name: "rates", Group: "g", Open: true}},
	}}
	chain := New(Options{
		Config: w, Fresh: func() bool { return !w.stale }, Quota: w, Clock: clock.Wall{},
		Random: rand.New(rand.NewPCG(1, 1)), Local: w, Sessions: w, Owners: w,
	})
	id, err := chain.Auth.Login("maker", key, "ledger")
	if err != nil {
		panic(err)
	}
	chain.Auth.Admit("s", id)
	return w, chain
}

func ask(c *Chain, kind request.Kind, change func(*request.Request)) request.Code {
	req := &request.Request{ID: request.ID{Session: "s"}, Customer: "maker", Service: "ledger", Group: "g", Kind: kind}
	if change != nil {
		change(req)
	}
	_, err := c.Serve(context.Background(), req)
	if err == nil {
		return request.Code{}
	}
	return request.AsRefusal(err).Code
}

func TestCheck(t *testing.T) {
	w, _ := newWorld()
	id, err := auth.Check(w.config, "maker", key)
	must.NoError(t, err)
	must.Eq(t, "k1", id)
	for _, c := range [][2]string{{"maker", "other"}, {"hostel", key}, {"nobody", key}, {"maker", ""}} {
		_, err := auth.Check(w.config, c[0], c[1])
		must.Eq(t, request.CodeBadKey, request.AsRefusal(err).Code)
	}
}

func TestKeyDecidesEveryRequest(t *testing.T) {
	w, c := newWorld()
	must.Eq(t, request.Code{}, ask(c, request.KindWrite, nil))
	for want, change := range map[request.Code]func(*request.Request){
		request.CodeBadKey:         func(r *request.Request) { r.Customer = "hostel" },
		request.CodeUnknownService: func(r *request.Request) { r.Service = "none" },
		request.CodeForbidden:      func(r *request.Request) { r.Service = "rates" },
	} {
		must.Eq(t, want, ask(c, request.KindWrite, change))
	}
	aged := func(r *request.Request) { r.Service, r.Profile.Reads = "rates", fleet.ReadsAge }
	must.Eq(t, request.Code{}, ask(c, request.KindRead, aged))
	w.stale = true
	must.Eq(t, request.CodeStaleConfig, ask(c, request.KindRead, nil))
	c.Auth.Admit("s", auth.Anonymous)
	must.Eq(t, request.Code{}, ask(c, request.KindRead, func(r *request.Request) { aged(r); r.Customer = "" }))
	w, c = newWorld()
	withdrawn := *w.config
	withdrawn.Customers = []fleet.Customer{{Name: "maker", Keys: []fleet.Key{{ID: "k1", Hash: strings.Repeat("0", 64)}}}}
	w.config = &withdrawn
	must.Eq(t, request.CodeBadKey, ask(c, request.KindWrite, nil))
	must.True(t, c.Auth.Withdrawn("s"))
	must.SliceEmpty(t, w.seen)
}

func TestTransactionIsChargedOnce(t *testing.T) {
	w, c := newWorld()
	w.left = 1
	w.replies = []reply{{resp: request.Response{TxStatus: 'T'}}}
	must.Eq(t, request.Code{}, ask(c, request.KindBegin, nil))
	must.Eq(t, request.Code{}, ask(c, request.KindInTransaction, nil))
	must.Eq(t, request.Code{}, ask(c, request.KindCommit, nil))
	must.Eq(t, request.CodeOverRate, ask(c, request.KindRead, nil))
	must.Len(t, 3, w.seen)
}

func TestRetryIsNotChargedAgain(t *testing.T) {
	w, c := newWorld()
	w.left = 1
	w.replies = []reply{{err: request.Refuse(request.CodeNoTarget, "owner", "", "none")}, w.replies[0]}
	must.Eq(t, request.Code{}, ask(c, request.KindWrite, func(r *request.Request) { r.Profile.RetryBudget = 0.1 }))
	must.Len(t, 2, w.seen)
}

// TestPositionsOfASession follows one session over answers of all kinds: a position is
// told to the owner only while it covers the session's own writes.
func TestPositionsOfASession(t *testing.T) {
	w, c := newWorld()
	at := func(index uint64, replica bool) reply {
		return reply{resp: request.Response{TxStatus: 'I', Replica: replica, Position: logpos.Position{Term: 1, Index: index}}}
	}
	unknown := reply{err: request.Refuse(request.CodeOutcomeUnknown, "acknowledge", "", "late")}
	for i, step := range []struct {
		kind  request.Kind
		reply reply
		known bool
		index uint64
	}{
		{request.KindRead, at(5, true), false, 0},
		{request.KindRead, at(6, false), false, 0},
		{request.KindWrite, at(9, false), true, 6},
		{request.KindRead, at(7, true), true, 9},
		{request.KindWrite, unknown, true, 9},
		{request.KindRead, at(9, true), false, 0},
		{request.KindRead, at(10, false), false, 0},
		{request.KindRead, unknown, true, 10},
		{request.KindRead, at(11, false), true, 10},
	} {
		w.replies = []reply{step.reply}
		ask(c, step.kind, nil)
		last := w.seen[len(w.seen)-1]
		must.Eq(t, step.known, last.TokenKnown, must.Sprintf("step %d", i))
		must.Eq(t, step.index, last.Token.Index, must.Sprintf("step %d", i))
	}
	must.Eq(t, request.CodeBadToken, request.AsRefusal(c.Session.Merge("s", "forged")).Code)
}

// TestStaleConfigurationLetsNobodyIn: a withdrawal may have passed the node by, so no key
// opens a session. Services open to all need none.
func TestStaleConfigurationLetsNobodyIn(t *testing.T) {
	w, c := newWorld()
	w.stale = true
	_, err := c.Auth.Login("maker", key, "ledger")
	must.Eq(t, request.CodeStaleConfig, request.AsRefusal(err).Code)
	id, err := c.Auth.Login("", "", "rates")
	must.NoError(t, err)
	must.Eq(t, "", id.Customer)
}
