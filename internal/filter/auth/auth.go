// Package auth is the filter that ties a request to the customer whose key came with it.
//
// Invariant: a request passes only while the key that its session showed is in the live
// configuration, or if it is a read that accepts any age on a service open to all. The
// key itself is never kept: what is kept is the key's ID and hash.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"slices"
	"sync"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

const step = "auth"

// Identity is who a session belongs to.
type Identity struct {
	// Customer is empty for a caller without a key.
	Customer string
	// KeyID names the key that was shown.
	KeyID string
	// hash is the key's hash in the configuration.
	hash string
}

// Anonymous is the Identity of a caller without a key.
var Anonymous = Identity{}

// Check looks for key among the customer's keys, in time that does not depend on where
// they differ, and returns the matching key's ID. It fails with CodeBadKey.
func Check(cfg *fleet.Config, customer, key string) (keyID string, err error) {
	found, err := match(cfg, customer, key)
	return found.ID, err
}

func match(cfg *fleet.Config, customer, key string) (fleet.Key, error) {
	sum := sha256.Sum256([]byte(key))
	var keys []fleet.Key
	if c := cfg.Customer(customer); c != nil {
		keys = c.Keys
	}
	var found fleet.Key
	ok := false
	for _, k := range keys {
		want, err := hex.DecodeString(k.Hash)
		if err == nil && subtle.ConstantTimeCompare(want, sum[:]) == 1 {
			found, ok = k, true
		}
	}
	if !ok || key == "" {
		return fleet.Key{}, request.Refuse(request.CodeBadKey, step, "", "customer and key do not match")
	}
	return found, nil
}

// Filter checks every request's session against the live configuration.
type Filter struct {
	next   request.Handler
	source fleet.Source
	fresh  func() bool
	// Refused counts refusals by the name of their code.
	Refused expvar.Map

	// sessions holds an Identity by session.
	sessions sync.Map
}

// New returns a Filter in front of next. fresh reports whether the configuration in
// force is recent enough to rely on; nil means always.
func New(next request.Handler, source fleet.Source, fresh func() bool) *Filter {
	if fresh == nil {
		fresh = func() bool { return true }
	}
	return &Filter{next: next, source: source, fresh: fresh}
}

// Login checks a caller's key for a service. A caller with an empty key is Anonymous and
// passes only if the service is open. It fails with CodeBadKey, CodeForbidden,
// CodeUnknownService or CodeStaleConfig.
func (f *Filter) Login(customer, key, service string) (Identity, error) {
	id, err := f.login(customer, key, service)
	if err != nil {
		f.Refused.Add(request.AsRefusal(err).Code.Name, 1)
	}
	return id, err
}

// LoginByKey is Login for callers that show a key and not the customer it belongs to.
func (f *Filter) LoginByKey(key, service string) (Identity, error) {
	id, err := f.loginByKey(key, service)
	if err != nil {
		f.Refused.Add(request.AsRefusal(err).Code.Name, 1)
	}
	return id, err
}

func (f *Filter) loginByKey(key, service string) (Identity, error) {
	cfg := f.source.Current()
	if cfg == nil {
		return Identity{}, staleConfig()
	}
	s := cfg.Service(service)
	if s == nil {
		return Identity{}, request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", service)
	}
	if s.OpenToAll {
		return Anonymous, nil
	}
	if !f.fresh() {
		return Identity{}, staleConfig()
	}
	sum := sha256.Sum256([]byte(key))
	customer, found := cfg.KeyHolder(hex.EncodeToString(sum[:]))
	if key == "" || customer == nil {
		return Identity{}, request.Refuse(request.CodeBadKey, step, "", "the key belongs to no customer")
	}
	return Identity{Customer: customer.Name, KeyID: found.ID, hash: found.Hash}, nil
}

func (f *Filter) login(customer, key, service string) (Identity, error) {
	cfg := f.source.Current()
	if cfg == nil {
		return Identity{}, staleConfig()
	}
	s := cfg.Service(service)
	if key == "" && s != nil && s.Open {
		return Anonymous, nil
	}
	if !f.fresh() {
		return Identity{}, staleConfig()
	}
	found, err := match(cfg, customer, key)
	if err != nil {
		return Identity{}, err
	}
	if s == nil {
		return Identity{}, request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", service)
	}
	if !s.Open && !slices.Contains(s.Customers, customer) {
		return Identity{}, forbidden(service)
	}
	return Identity{Customer: customer, KeyID: found.ID, hash: found.Hash}, nil
}

// Admit ties a session to an Identity from Login until End.
func (f *Filter) Admit(session string, id Identity) {
	f.sessions.Store(session, id)
}

func (f *Filter) identity(session string) (Identity, bool) {
	id, ok := f.sessions.Load(session)
	if !ok {
		return Identity{}, false
	}
	return id.(Identity), true
}

// Withdrawn reports whether the session's key is no longer in force.
func (f *Filter) Withdrawn(session string) bool {
	id, ok := f.identity(session)
	cfg := f.source.Current()
	return !ok || cfg == nil || id != Anonymous && !inForce(cfg, id)
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if err := f.check(req); err != nil {
		f.Refused.Add(err.Code.Name, 1)
		return nil, err
	}
	return f.next.Serve(ctx, req)
}

func (f *Filter) check(req *request.Request) *request.Refusal {
	id, ok := f.identity(req.ID.Session)
	cfg := f.source.Current()
	if cfg == nil {
		return staleConfig()
	}
	if req.Kind == request.KindRollback {
		// To drop what is open needs no right.
		return nil
	}
	if !ok || id.Customer != req.Customer {
		return request.Refuse(request.CodeBadKey, step, "", "the session has shown no key")
	}
	s := cfg.Service(req.Service)
	if s == nil {
		return request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", req.Service)
	}
	if id != Anonymous {
		if refusal := f.checkKey(cfg, id); refusal != nil {
			return refusal
		}
		if s.AllCustomers || slices.Contains(s.Customers, id.Customer) {
			return nil
		}
	}
	if s.OpenToAll {
		return nil
	}
	if s.Open && openTo(req) {
		return nil
	}
	return forbidden(req.Service)
}

func (f *Filter) checkKey(cfg *fleet.Config, id Identity) *request.Refusal {
	if !f.fresh() {
		return staleConfig()
	}
	if !inForce(cfg, id) {
		return request.Refuse(request.CodeBadKey, step, "", "key %s of customer %s has been withdrawn", id.KeyID, id.Customer)
	}
	return nil
}

// End implements request.Handler.
func (f *Filter) End(session string) {
	f.sessions.Delete(session)
	f.next.End(session)
}

func inForce(cfg *fleet.Config, id Identity) bool {
	customer := cfg.Customer(id.Customer)
	if customer == nil {
		return false
	}
	return slices.Contains(customer.Keys, fleet.Key{ID: id.KeyID, Hash: id.hash})
}

// openTo reports whether a request may run on an open service without a right to it.
func openTo(req *request.Request) bool {
	return req.Kind == request.KindRead && req.Profile.Reads == fleet.ReadsAge
}

func staleConfig() *request.Refusal {
	return request.Refuse(request.CodeStaleConfig, step, "", "the configuration may be out of date, keys cannot be checked")
}

func forbidden(service string) *request.Refusal {
	return request.Refuse(request.CodeForbidden, step, "", "service %q is not open to this caller for this request", service)
}
