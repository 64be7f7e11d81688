// Package auth is the filter that ties each request to the customer whose key its session
// presented.
//
// Invariant: a request of a session with a key passes only while the key is in the current
// configuration. A request of a session without a key passes only on a service that is open to
// all, or if it is a read under fleet.ReadsAge on an open service. A rollback needs no key. The
// key itself is never stored, only its ID and hash. Nothing begins on behalf of a customer or on a
// service that no connection to a target can be opened for.
package auth

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"slices"
	"sync"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

const step = "auth"

// unservableRetryAfter is how long a caller should wait whose customer or service can't be served before
// the configuration is changed.
const unservableRetryAfter = 10 * time.Second

// Identity says which customer and key a session was authenticated with.
type Identity struct {
	// Customer is empty for a caller without a key.
	Customer string
	// KeyID is the ID of the presented key.
	KeyID string
	// hash is the key's hex-encoded hash in the configuration.
	hash string
}

// Anonymous is the Identity of a caller without a key.
var Anonymous = Identity{}

// CheckKey looks up key among the customer's keys and returns the ID of the matching one.
// Each comparison takes constant time. It fails with CodeBadKey.
func CheckKey(cfg *fleet.Config, customer, key string) (keyID string, err error) {
	found, err := findKey(cfg, customer, key)
	return found.ID, err
}

func findKey(cfg *fleet.Config, customer, key string) (fleet.Key, error) {
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

// Filter checks the session of every request against the current configuration.
type Filter struct {
	next    request.Handler
	source  fleet.Source
	isFresh func() bool
	// Refused counts refusals by the name of their code.
	Refused expvar.Map

	// sessions maps a session to its Identity.
	sessions sync.Map
}

// New returns a Filter in front of next. fresh reports whether the current configuration is
// recent enough to check keys against; nil means always.
func New(next request.Handler, source fleet.Source, fresh func() bool) *Filter {
	if fresh == nil {
		fresh = func() bool { return true }
	}
	return &Filter{next: next, source: source, isFresh: fresh}
}

// Login authenticates a caller for a service. A caller with an empty key is Anonymous and
// passes only if the service is open. It fails with CodeBadKey, CodeForbidden,
// CodeUnknownService or CodeStaleConfig.
func (f *Filter) Login(customer, key, service string) (Identity, error) {
	id, err := f.login(customer, key, service)
	if err != nil {
		f.Refused.Add(request.AsRefusal(err).Code.Name, 1)
	}
	return id, err
}

// LoginByKey authenticates a caller that presents a key without a customer's name. On a service
// that is open to all, every caller is Anonymous. It fails with CodeBadKey, CodeUnknownService,
// CodeStaleConfig or CodeNoTarget.
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
		return Identity{}, refuseStaleConfig()
	}
	s := cfg.Service(service)
	if s == nil {
		return Identity{}, request.Refuse(request.CodeUnknownService, step, "", "service %.100q is not known", service)
	}
	if s.OpenToAll {
		if refusal := checkServable(s, nil); refusal != nil {
			return Identity{}, refusal
		}
		return Anonymous, nil
	}
	if !f.isFresh() {
		return Identity{}, refuseStaleConfig()
	}
	sum := sha256.Sum256([]byte(key))
	customer, found := cfg.CustomerByKeyHash(hex.EncodeToString(sum[:]))
	if key == "" || customer == nil {
		return Identity{}, request.Refuse(request.CodeBadKey, step, "", "the key belongs to no customer")
	}
	if refusal := checkServable(s, customer); refusal != nil {
		return Identity{}, refusal
	}
	return Identity{Customer: customer.Name, KeyID: found.ID, hash: found.Hash}, nil
}

// checkServable refuses with CodeNoTarget if no connection to a target can be opened for the service or
// the customer, which is nil for callers without a key.
func checkServable(s *fleet.Service, customer *fleet.Customer) *request.Refusal {
	if s.Unservable {
		return refuseUnservable("service %q: the name of its group, %q, can't be sent to targets", s.Name, s.Group)
	}
	if customer != nil && customer.Unservable {
		return refuseUnservable("customer %q: its name can't be sent to targets", customer.Name)
	}
	return nil
}

func refuseUnservable(format string, args ...any) *request.Refusal {
	return request.Refuse(request.CodeNoTarget, step, "", format, args...).WithRetryAfter(unservableRetryAfter)
}

func (f *Filter) login(customer, key, service string) (Identity, error) {
	cfg := f.source.Current()
	if cfg == nil {
		return Identity{}, refuseStaleConfig()
	}
	s := cfg.Service(service)
	if key == "" && s != nil && s.Open {
		return Anonymous, nil
	}
	if !f.isFresh() {
		return Identity{}, refuseStaleConfig()
	}
	found, err := findKey(cfg, customer, key)
	if err != nil {
		return Identity{}, err
	}
	if s == nil {
		return Identity{}, request.Refuse(request.CodeUnknownService, step, "", "service %.100q is not known", service)
	}
	if !s.Open && !slices.Contains(s.Customers, customer) {
		return Identity{}, refuseForbidden(service)
	}
	return Identity{Customer: customer, KeyID: found.ID, hash: found.Hash}, nil
}

// SetIdentity sets the Identity of a session, which stays in force until End.
func (f *Filter) SetIdentity(session string, id Identity) {
	f.sessions.Store(session, id)
}

func (f *Filter) identity(session string) (Identity, bool) {
	id, ok := f.sessions.Load(session)
	if !ok {
		return Identity{}, false
	}
	return id.(Identity), true
}

// IsKeyWithdrawn reports whether the session's key is no longer in the current configuration. It
// is true for a session that was never admitted, and if there is no configuration.
func (f *Filter) IsKeyWithdrawn(session string) bool {
	id, ok := f.identity(session)
	cfg := f.source.Current()
	return !ok || cfg == nil || id != Anonymous && !isKeyInForce(cfg, id)
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if err := f.authorize(req); err != nil {
		f.Refused.Add(err.Code.Name, 1)
		return nil, err
	}
	return f.next.Serve(ctx, req)
}

func (f *Filter) authorize(req *request.Request) *request.Refusal {
	id, ok := f.identity(req.ID.Session)
	cfg := f.source.Current()
	if cfg == nil {
		return refuseStaleConfig()
	}
	if req.Kind == request.KindRollback {
		// A rollback needs no permission: it only discards the open transaction.
		return nil
	}
	if !ok || id.Customer != req.Customer {
		return request.Refuse(request.CodeBadKey, step, "", "the session has presented no key of this customer")
	}
	s := cfg.Service(req.Service)
	if s == nil {
		return request.Refuse(request.CodeUnknownService, step, "", "service %q is not known", req.Service)
	}
	if id != Anonymous {
		if refusal := f.checkKey(cfg, id); refusal != nil {
			return refusal
		}
	}
	if !mayUse(s, id, req) {
		return refuseForbidden(req.Service)
	}
	if req.Kind == request.KindInTransaction || req.Kind == request.KindCommit {
		// The transaction stays in the group in which it began.
		return nil
	}
	return checkServable(s, nil)
}

// mayUse reports whether a caller whose key is in force, or who has none, may run req on service s.
func mayUse(s *fleet.Service, id Identity, req *request.Request) bool {
	if id != Anonymous && (s.AllCustomers || slices.Contains(s.Customers, id.Customer)) {
		return true
	}
	return s.OpenToAll || s.Open && isAllowedOnOpenService(req)
}

func (f *Filter) checkKey(cfg *fleet.Config, id Identity) *request.Refusal {
	if !f.isFresh() {
		return refuseStaleConfig()
	}
	if !isKeyInForce(cfg, id) {
		return request.Refuse(request.CodeBadKey, step, "", "key %s of customer %s has been withdrawn", id.KeyID, id.Customer)
	}
	return nil
}

// End implements request.Handler.
func (f *Filter) End(session string) {
	f.sessions.Delete(session)
	f.next.End(session)
}

func isKeyInForce(cfg *fleet.Config, id Identity) bool {
	customer := cfg.Customer(id.Customer)
	if customer == nil {
		return false
	}
	return slices.Contains(customer.Keys, fleet.Key{ID: id.KeyID, Hash: id.hash})
}

// isAllowedOnOpenService reports whether a caller without a right to an open service may run
// the request on it.
func isAllowedOnOpenService(req *request.Request) bool {
	return req.Kind == request.KindRead && req.Profile.Reads == fleet.ReadsAge
}

func refuseStaleConfig() *request.Refusal {
	return request.Refuse(request.CodeStaleConfig, step, "", "the configuration may be out of date, so keys cannot be checked")
}

func refuseForbidden(service string) *request.Refusal {
	return request.Refuse(request.CodeForbidden, step, "", "this caller has no right to run this request on service %q", service)
}
