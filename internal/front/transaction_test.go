package front

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// changingConfig is a source whose configuration the test replaces.
type changingConfig struct{ config *fleet.Config }

func (s *changingConfig) Current() *fleet.Config { return s.config }

// TestTransactionOutlivesItsService guards against a transaction that a target holds open although the
// caller was told that it has ended: its service was dropped, so that no rollback could be sent. The
// caller's next write then ran inside it, and was lost after its acknowledgement.
func TestTransactionOutlivesItsService(t *testing.T) {
	for _, end := range []Statement{rollback, commit} {
		d := &fakeTarget{tx: txIdle}
		c := &fakeChain{}
		source := &changingConfig{testConfig()}
		c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
			if call.Text == "r" {
				without := *source.config
				without.Services = nil
				source.config = &without
			}
			return d.answer(req, call)
		}
		codec := &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: []Statement{begin, read, write, end}}
		s := newServer(c, codec)
		s.options.Config = source
		runCodec(s)
		want := "welcome|ok T|ok T|unknown_service E|done I"
		if end.Verb == VerbCommit {
			want = "welcome|ok T|ok T|unknown_service E|transaction_lost I"
		}
		must.Eq(t, want, strings.Join(codec.answers, "|"))
		must.Eq(t, 1, c.dropped)
	}
}

// TestRefusedEndDropsTheTransaction checks that a transaction whose COMMIT or ROLLBACK was refused on
// the way is ended where it may still be open.
func TestRefusedEndDropsTheTransaction(t *testing.T) {
	for _, end := range []Statement{rollback, commit} {
		d := &fakeTarget{tx: txIdle}
		c := &fakeChain{}
		c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
			if req.Kind == request.KindCommit || req.Kind == request.KindRollback {
				return nil, request.Refuse(request.CodeBadKey, "auth", "", "withdrawn")
			}
			return d.answer(req, call)
		}
		answers := runSession(t, c, "k1", begin, write, end)
		must.StrHasSuffix(t, " I", answers[len(answers)-1])
		must.Eq(t, 1, c.dropped)
	}
}

// TestRouteChangeCutsTransaction guards against a transaction that is lost because its service has moved to another
// group: the change applies from the next transaction on.
func TestRouteChangeCutsTransaction(t *testing.T) {
	d := &fakeTarget{tx: txIdle}
	c := &fakeChain{}
	source := &changingConfig{testConfig()}
	former := source.config.Service("orders").Group
	var groups []string
	c.answer = func(req *request.Request, call *Call) (*request.Response, error) {
		groups = append(groups, req.Group)
		moved := *source.config
		moved.Services = append([]fleet.Service(nil), moved.Services...)
		moved.Service("orders").Group = "moved"
		source.config = &moved
		return d.answer(req, call)
	}
	codec := &scriptedCodec{startup: Startup{Service: "orders", Key: "k1"}, statements: []Statement{begin, read, write, commit, write}}
	s := newServer(c, codec)
	s.options.Config = source
	runCodec(s)
	must.Eq(t, "welcome|ok T|ok T|ok T|ok I|ok I", strings.Join(codec.answers, "|"))
	must.Eq(t, []string{former, former, former, former, "moved"}, groups)
}
