package route

import (
	"context"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/region"
	"crocusyoke/internal/request"
)

// Readers looks up the node that serves reads from a group's replicas in this node's failure domain. Such a read
// crosses no failure domain, neither on its way to the node nor from there to the target.
type Readers interface {
	// Reader returns the reader's address. self is true if this node is the reader; ok is false if there is
	// none, or if the group's owner is to be asked.
	Reader(group string) (address string, self, ok bool)
	// Declined reports that the reader has no replica that may serve a read now.
	Declined(group string)
}

// linkToReader returns the session's link to its group's reader if that is to serve req, or nil. A read-only
// transaction stays with the reader that holds it.
func (f *Filter) linkToReader(req *request.Request) *ownerLink {
	if f.Readers == nil {
		return nil
	}
	session := req.ID.Session
	link := loadLink(&f.readerLinks, session)
	if link != nil && link.inTransaction {
		if isInTransaction(req.Kind) && f.isAllowed(link, req.HomeRegions) {
			return link
		}
		// Its homes have changed, or the caller's transaction has ended without an answer of the reader, which still has it
		// open.
		dropLink(&f.readerLinks, session, link)
		link = nil
	}
	if !mayReadNearby(req) || f.ownerHoldsTransaction(session) {
		return nil
	}
	address, self, ok := f.Readers.Reader(req.Group)
	if !ok || req.HomeRegions != region.Any && !f.owners.Allows(address, req.HomeRegions) {
		return nil
	}
	if link == nil || link.self != self || !self && link.address != address {
		dropLink(&f.readerLinks, session, link)
		link = f.newLink(address, self)
		f.readerLinks.Store(session, link)
	}
	link.homes = req.HomeRegions
	return link
}

// ownerHoldsTransaction reports whether the session's owner has a transaction open for it, which only a request
// to the owner ends.
func (f *Filter) ownerHoldsTransaction(session string) bool {
	link := f.currentLink(session)
	return link != nil && link.inTransaction
}

// mayReadNearby reports whether a replica may serve the request.
func mayReadNearby(req *request.Request) bool {
	isRead := req.Kind == request.KindRead || req.Kind == request.KindBeginRead
	return isRead && req.MinPositionKnown && req.Profile.Reads != fleet.ReadsPrimary
}

func (f *Filter) serveAtReader(ctx context.Context, req *request.Request, link *ownerLink) (*request.Response, error) {
	wasInTransaction := link.inTransaction
	req.Nearby = true
	resp, err := link.handler.Serve(ctx, req)
	req.Nearby = false
	if err == nil {
		link.inTransaction = resp.TxStatus != 'I'
		f.Counts.Add("by_reader", 1)
		return resp, nil
	}
	refusal := request.AsRefusal(err)
	if wasInTransaction || refusal.Code.Fate == request.Unknown || refusal.Code == request.CodeNoOwner {
		dropLink(&f.readerLinks, req.ID.Session, link)
	}
	if refusal.Code == request.CodeNoOwner && !link.self {
		f.owners.Doubt(link.address)
	}
	if wasInTransaction {
		return nil, f.lostTransaction(link, req.Kind, refusal)
	}
	f.Counts.Add("declined_by_reader", 1)
	if hasNoReplica(req, refusal) {
		f.Readers.Declined(req.Group)
	}
	return nil, err
}

// hasNoReplica reports whether the refusal of a read means that the reader has no replica that may serve reads. That
// none covers what the session has written says nothing about other sessions' reads.
func hasNoReplica(req *request.Request, refusal *request.Refusal) bool {
	return refusal.Code == request.CodeNoOwner || refusal.Code == request.CodeNoTarget && req.MinPosition.IsZero()
}

// canGoToOwner reports whether a read that the reader has not served may be sent to the owner. A read changes
// nothing, and the reader ends a transaction whose beginning was not answered.
func canGoToOwner(ctx context.Context, req *request.Request, err error) bool {
	code := request.AsRefusal(err).Code
	return mayReadNearby(req) && ctx.Err() == nil && (code.Fate == request.Unknown || code.Retryable)
}
