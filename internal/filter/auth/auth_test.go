package auth_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// fixedSource is a fleet.Source whose configuration tests replace.
type fixedSource struct{ config *fleet.Config }

func (s *fixedSource) Current() *fleet.Config { return s.config }

func (s *fixedSource) Subscribe(func(*fleet.Config)) {}

// countingHandler answers and counts all requests.
type countingHandler struct{ served int }

func (h *countingHandler) Serve(_ context.Context, req *request.Request) (*request.Response, error) {
	h.served++
	return &request.Response{ID: req.ID}, nil
}

func (h *countingHandler) End(string) {}

func newConfig() *fleet.Config {
	return &fleet.Config{
		Customers: []fleet.Customer{
			{Name: "acme", Keys: []fleet.Key{{ID: "1", Hash: fleet.HashKey("k1")}}},
			{Name: "acme corp", Keys: []fleet.Key{{ID: "2", Hash: fleet.HashKey("k2")}}, Unservable: true},
			{Name: "", Keys: []fleet.Key{{ID: "3", Hash: fleet.HashKey("k3")}, {ID: "4", Hash: fleet.HashKey("")}}, Unservable: true},
		},
		Services: []fleet.Service{
			{Name: "orders", Group: "g", AllCustomers: true},
			{Name: "odd", Group: "g 1", AllCustomers: true, Unservable: true},
			{Name: "public", Group: "g", OpenToAll: true},
			{Name: "odd public", Group: "g 1", OpenToAll: true, Unservable: true},
		},
	}
}

// TestUnservableIsRefusedAtLogin guards against callers who wait for a connection to a target that can't be
// opened, and against a customer without a name who is served as a caller without a key.
func TestUnservableIsRefusedAtLogin(t *testing.T) {
	f := auth.New(&countingHandler{}, &fixedSource{newConfig()}, nil)
	for _, login := range []struct {
		key, service string
		code         request.Code
	}{
		{"k2", "orders", request.CodeNoTarget},
		{"k3", "orders", request.CodeNoTarget},
		{"k1", "odd", request.CodeNoTarget},
		{"", "odd public", request.CodeNoTarget},
		{"", "orders", request.CodeBadKey},
		{"k9", "odd", request.CodeBadKey},
		{"k2", "nowhere", request.CodeUnknownService},
	} {
		_, err := f.LoginByKey(login.key, login.service)
		must.Eq(t, login.code, request.AsRefusal(err).Code, must.Sprint(login))
	}
	id, err := f.LoginByKey("k1", "orders")
	must.NoError(t, err)
	must.Eq(t, "acme", id.Customer)
	id, err = f.LoginByKey("k2", "public")
	must.NoError(t, err)
	must.Eq(t, auth.Anonymous, id)
}

// TestServiceThatBecomesUnservable checks that a change of the service's group is refused from the next
// transaction onward, and that the open one goes on.
func TestServiceThatBecomesUnservable(t *testing.T) {
	source, next := &fixedSource{newConfig()}, &countingHandler{}
	f := auth.New(next, source, nil)
	id, err := f.LoginByKey("k1", "orders")
	must.NoError(t, err)
	f.SetIdentity("n.1", id)
	serve := func(kind request.Kind) error {
		_, err := f.Serve(t.Context(), &request.Request{ID: request.ID{Session: "n.1"}, Customer: "acme", Service: "orders", Kind: kind})
		return err
	}
	must.NoError(t, serve(request.KindBegin))
	source.config = newConfig()
	source.config.Services[0].Group, source.config.Services[0].Unservable = "g 1", true
	must.NoError(t, serve(request.KindInTransaction))
	must.NoError(t, serve(request.KindCommit))
	for _, kind := range []request.Kind{request.KindBegin, request.KindRead, request.KindWrite} {
		must.Eq(t, request.CodeNoTarget, request.AsRefusal(serve(kind)).Code)
	}
	must.NoError(t, serve(request.KindRollback))
	must.Eq(t, 4, next.served)
}
