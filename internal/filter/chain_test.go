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
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

const testKey = "maker-key"

// testEnv implements all dependencies of a Chain.
type testEnv struct {
	config    *fleet.Config
	stale     bool
	quotaLeft int
	// replies are returned in order; the last one is repeated.
	replies []reply
	served  []request.Request
}

type reply struct {
	resp request.Response
	err  error
}

func (env *testEnv) Current() *fleet.Config                        { return env.config }
func (env *testEnv) Owner(string, region.Set) (string, bool, bool) { return "", true, true }

func (env *testEnv) Allows(string, region.Set) bool { return true }

func (env *testEnv) Doubt(string)                {}
func (env *testEnv) Open(string) request.Handler { return env }
func (env *testEnv) End(string)                  {}
func (env *testEnv) Admit(context.Context, string, int) (bool, time.Duration) {
	env.quotaLeft--
	return env.quotaLeft >= 0, 40 * time.Millisecond
}

func (env *testEnv) Settle(_ string, ran bool) {
	if !ran {
		env.quotaLeft++
	}
}

func (env *testEnv) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	env.served = append(env.served, *req)
	r := env.replies[0]
	if len(env.replies) > 1 {
		env.replies = env.replies[1:]
	}
	if r.err != nil {
		return nil, r.err
	}
	r.resp.ID = req.ID
	return &r.resp, nil
}

func newTestEnv() (*testEnv, *Chain) {
	sum := sha256.Sum256([]byte(testKey))
	env := &testEnv{quotaLeft: 100, replies: []reply{{resp: request.Response{TxStatus: 'I'}}}, config: &fleet.Config{
		TokenSecret: strings.Repeat("ab", 32),
		Customers: []fleet.Customer{
			{Name: "maker", Keys: []fleet.Key{{ID: "k1", Hash: hex.EncodeToString(sum[:])}}},
			{Name: "hostel"},
		},
		Services: []fleet.Service{{Name: "ledger", Group: "g", Customers: []string{"maker"}}, {Name: "rates", Group: "g", Open: true}},
	}}
	chain := New(Options{
		Config: env, Fresh: func() bool { return !env.stale }, Quota: env, Clock: clock.Wall{},
		Random: rand.New(rand.NewPCG(1, 1)), Local: env, Sessions: env, Owners: env,
	})
	id, err := chain.Auth.Login("maker", testKey, "ledger")
	if err != nil {
		panic(err)
	}
	chain.Auth.SetIdentity("s", id)
	return env, chain
}

func serve(c *Chain, kind request.Kind, change func(*request.Request)) request.Code {
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
	env, _ := newTestEnv()
	id, err := auth.CheckKey(env.config, "maker", testKey)
	must.NoError(t, err)
	must.Eq(t, "k1", id)
	for _, c := range [][2]string{{"maker", "other"}, {"hostel", testKey}, {"nobody", testKey}, {"maker", ""}} {
		_, err := auth.CheckKey(env.config, c[0], c[1])
		must.Eq(t, request.CodeBadKey, request.AsRefusal(err).Code)
	}
}

func TestKeyDecidesEveryRequest(t *testing.T) {
	env, c := newTestEnv()
	must.Eq(t, request.Code{}, serve(c, request.KindWrite, nil))
	for want, change := range map[request.Code]func(*request.Request){
		request.CodeBadKey:         func(r *request.Request) { r.Customer = "hostel" },
		request.CodeUnknownService: func(r *request.Request) { r.Service = "none" },
		request.CodeForbidden:      func(r *request.Request) { r.Service = "rates" },
	} {
		must.Eq(t, want, serve(c, request.KindWrite, change))
	}
	aged := func(r *request.Request) { r.Service, r.Profile.Reads = "rates", fleet.ReadsAge }
	must.Eq(t, request.Code{}, serve(c, request.KindRead, aged))
	env.stale = true
	must.Eq(t, request.CodeStaleConfig, serve(c, request.KindRead, nil))
	c.Auth.SetIdentity("s", auth.Anonymous)
	must.Eq(t, request.Code{}, serve(c, request.KindRead, func(r *request.Request) { aged(r); r.Customer = "" }))
	env, c = newTestEnv()
	withdrawn := *env.config
	withdrawn.Customers = []fleet.Customer{{Name: "maker", Keys: []fleet.Key{{ID: "k1", Hash: strings.Repeat("0", 64)}}}}
	env.config = &withdrawn
	must.Eq(t, request.CodeBadKey, serve(c, request.KindWrite, nil))
	must.True(t, c.Auth.IsKeyWithdrawn("s"))
	must.SliceEmpty(t, env.served)
}

func TestTransactionIsChargedOnce(t *testing.T) {
	env, c := newTestEnv()
	env.quotaLeft = 1
	env.replies = []reply{{resp: request.Response{TxStatus: 'T'}}}
	must.Eq(t, request.Code{}, serve(c, request.KindBegin, nil))
	must.Eq(t, request.Code{}, serve(c, request.KindInTransaction, nil))
	must.Eq(t, request.Code{}, serve(c, request.KindCommit, nil))
	must.Eq(t, request.CodeOverRate, serve(c, request.KindRead, nil))
	must.Len(t, 3, env.served)
}

func TestRetryIsNotChargedAgain(t *testing.T) {
	env, c := newTestEnv()
	env.quotaLeft = 1
	env.replies = []reply{{err: request.Refuse(request.CodeNoTarget, "owner", "", "none")}, env.replies[0]}
	must.Eq(t, request.Code{}, serve(c, request.KindWrite, func(r *request.Request) { r.Profile.RetryBudget = 0.1 }))
	must.Len(t, 2, env.served)
}

// TestPositionsOfASession sends the requests of one session through answers from the primary and
// replicas and through unknown outcomes. A request may carry a position only if it covers the
// session's own writes.
func TestPositionsOfASession(t *testing.T) {
	env, c := newTestEnv()
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
		env.replies = []reply{step.reply}
		serve(c, step.kind, nil)
		last := env.served[len(env.served)-1]
		must.Eq(t, step.known, last.MinPositionKnown, must.Sprintf("step %d", i))
		must.Eq(t, step.index, last.MinPosition.Index, must.Sprintf("step %d", i))
	}
	must.Eq(t, request.CodeBadToken, request.AsRefusal(c.Session.Merge("s", "forged")).Code)
}

// TestStaleConfigurationLetsNobodyIn: a node with a stale configuration may have missed the
// withdrawal of a key, so no login with a key may succeed. Open services need no key.
func TestStaleConfigurationLetsNobodyIn(t *testing.T) {
	env, c := newTestEnv()
	env.stale = true
	_, err := c.Auth.Login("maker", testKey, "ledger")
	must.Eq(t, request.CodeStaleConfig, request.AsRefusal(err).Code)
	id, err := c.Auth.Login("", "", "rates")
	must.NoError(t, err)
	must.Eq(t, "", id.Customer)
}
