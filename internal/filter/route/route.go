// Package route is the filter that sends a request to its group's owner, or a read that a replica may serve
// to the group's reader in the node's own failure domain.
//
// Invariant: a session in a transaction stays with the owner that holds the transaction, and a request
// that belongs to no transaction never gets to an owner that has one open for its session. If that
// owner is lost, the session gets CodeTransactionLost, except for a commit that may have taken
// effect, whose outcome is reported as unknown. No request is sent to a node outside of its home regions.
package route

import (
	"context"
	"expvar"
	"sync"

	"crocusyoke/internal/peer"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

const step = "route"

// Owners looks up the node that owns a group.
type Owners interface {
	// Owner returns the address of the node that serves the group's requests with the given homes: its owner, or
	// one in these regions. self is true if that is this node; ok is false if no owner is known.
	Owner(group string, homes region.Set) (address string, self bool, ok bool)
	// Allows reports whether requests with the given homes may be sent to the node at address.
	Allows(address string, homes region.Set) bool
	// Doubt reports that the node at address has refused a group because it does not own it any more.
	Doubt(address string)
}

// ownerLink is a session's connection to the owner of its group.
type ownerLink struct {
	handler request.Handler
	address string
	self    bool
	// inTransaction is true while the owner holds an open transaction of the session.
	inTransaction bool
	// homes are the home regions of the newest request.
	homes region.Set
}

// Filter is the last filter of the entry node's chain.
type Filter struct {
	local    request.Handler
	sessions peer.Sessions
	owners   Owners
	// Readers looks up the readers; nil means that there are none. It must be set before the first request.
	Readers Readers
	// Counts counts requests served by this node ("local") and by other nodes ("remote"), lost
	// transactions ("lost"), and reads that a reader served ("by_reader") or refused ("declined_by_reader").
	Counts expvar.Map

	// links maps a session to its *ownerLink, and readerLinks to that of its group's reader.
	links       sync.Map
	readerLinks sync.Map
}

// New returns a Filter that passes requests for groups owned by this node to local, and all
// others to their owner through sessions.
func New(local request.Handler, sessions peer.Sessions, owners Owners) *Filter {
	return &Filter{local: local, sessions: sessions, owners: owners}
}

// Serve implements request.Handler.
func (f *Filter) Serve(ctx context.Context, req *request.Request) (*request.Response, error) {
	if link := f.linkToReader(req); link != nil {
		resp, err := f.serveAtReader(ctx, req, link)
		if err == nil || !canGoToOwner(ctx, req, err) {
			return resp, err
		}
	}
	return f.serveAtOwner(ctx, req)
}

func (f *Filter) serveAtOwner(ctx context.Context, req *request.Request) (*request.Response, error) {
	link, err := f.linkTo(req)
	if err != nil {
		return nil, err
	}
	session, kind := req.ID.Session, req.Kind
	resp, err := link.handler.Serve(ctx, req)
	if err != nil {
		return nil, f.handleError(session, link, kind, err)
	}
	link.inTransaction = resp.TxStatus != 'I'
	return resp, nil
}

// linkTo returns the session's link to the owner of the request's group. It replaces the link
// if the owner has changed, except in a transaction.
func (f *Filter) linkTo(req *request.Request) (*ownerLink, error) {
	session := req.ID.Session
	link := f.currentLink(session)
	if link != nil && link.inTransaction && !isInTransaction(req.Kind) {
		// The caller's transaction has ended without an answer of the owner, which still has it open.
		f.dropLink(session, link)
		link = nil
	}
	if link != nil && link.inTransaction && !f.isAllowed(link, req.HomeRegions) {
		f.dropLink(session, link)
		f.Counts.Add("lost", 1)
		return nil, request.Refuse(request.CodeTransactionLost, step, link.address,
			"the transaction's owner is no longer in a home region of the request; rolled back")
	}
	if link != nil && link.inTransaction {
		f.countRequest(link)
		return link, nil
	}
	if isInTransaction(req.Kind) {
		return nil, request.Refuse(request.CodeTransactionLost, step, "", "the owner that held the transaction was lost")
	}
	address, self, ok := f.owners.Owner(req.Group, req.HomeRegions)
	if !ok {
		return nil, request.Refuse(request.CodeNoOwner, step, "", "no owner of group %s is known", req.Group)
	}
	if link == nil || link.self != self || !self && link.address != address {
		f.dropLink(session, link)
		link = f.openLink(session, address, self)
	}
	link.homes = req.HomeRegions
	f.countRequest(link)
	return link, nil
}

// isAllowed reports whether a request with the given homes may be sent on link, which was chosen for a request
// with link.homes.
func (f *Filter) isAllowed(link *ownerLink, homes region.Set) bool {
	return link.self || homes == link.homes || f.owners.Allows(link.address, homes)
}

func (f *Filter) openLink(session, address string, self bool) *ownerLink {
	link := f.newLink(address, self)
	f.links.Store(session, link)
	return link
}

func (f *Filter) newLink(address string, self bool) *ownerLink {
	link := &ownerLink{handler: f.local, address: address, self: self}
	if !self {
		link.handler = f.sessions.Open(address)
	}
	return link
}

// currentLink returns the session's link to the owner, or nil.
func (f *Filter) currentLink(session string) *ownerLink { return loadLink(&f.links, session) }

func loadLink(links *sync.Map, session string) *ownerLink {
	link, ok := links.Load(session)
	if !ok {
		return nil
	}
	return link.(*ownerLink)
}

// OwnerOf returns the address of the owner that the session's requests go to, "self" for this node, or
// "" if there is none.
func (f *Filter) OwnerOf(session string) string {
	link := f.currentLink(session)
	if link == nil {
		link = loadLink(&f.readerLinks, session)
	}
	switch {
	case link == nil:
		return ""
	case link.self:
		return "self"
	default:
		return link.address
	}
}

func (f *Filter) dropLink(session string, link *ownerLink) { dropLink(&f.links, session, link) }

func dropLink(links *sync.Map, session string, link *ownerLink) {
	if link == nil {
		return
	}
	links.CompareAndDelete(session, link)
	link.handler.End(session)
}

// handleError returns the error to report. If the session was in a transaction or the owner may
// be lost, it drops the session's link, which ends the transaction.
func (f *Filter) handleError(session string, link *ownerLink, kind request.Kind, err error) error {
	wasInTransaction := link.inTransaction
	refusal := request.AsRefusal(err)
	if wasInTransaction || refusal.Code.Fate == request.Unknown || refusal.Code == request.CodeNoOwner {
		f.dropLink(session, link)
	}
	if refusal.Code == request.CodeNoOwner && !link.self {
		f.owners.Doubt(link.address)
	}
	if !wasInTransaction && !isBegin(kind) {
		return err
	}
	return f.lostTransaction(link, kind, refusal)
}

// lostTransaction returns the error to report for a statement of a transaction after which the link was dropped.
func (f *Filter) lostTransaction(link *ownerLink, kind request.Kind, refusal *request.Refusal) error {
	if !isOwnerLost(refusal) || kind == request.KindCommit && refusal.Code.Fate == request.Unknown {
		return refusal
	}
	f.Counts.Add("lost", 1)
	return request.Refuse(request.CodeTransactionLost, step, link.address,
		"the transaction was lost and rolled back").WithCause(refusal)
}

// isOwnerLost reports whether a refusal means that the owner lost the transaction's state
// without an answer from a target.
func isOwnerLost(refusal *request.Refusal) bool {
	return refusal.Code.Fate == request.Unknown || refusal.Code == request.CodeNoOwner
}

func isBegin(kind request.Kind) bool {
	return kind == request.KindBegin || kind == request.KindBeginRead
}

func isInTransaction(kind request.Kind) bool {
	switch kind {
	case request.KindInTransaction, request.KindCommit, request.KindRollback:
		return true
	}
	return false
}

// End implements request.Handler.
func (f *Filter) End(session string) {
	f.dropLink(session, f.currentLink(session))
	dropLink(&f.readerLinks, session, loadLink(&f.readerLinks, session))
}

func (f *Filter) countRequest(link *ownerLink) {
	if link.self {
		f.Counts.Add("local", 1)
	} else {
		f.Counts.Add("remote", 1)
	}
}
