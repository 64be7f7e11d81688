package owner

import (
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/owner/evidence"
	"crocusyoke/internal/request"
	"crocusyoke/internal/target"
)

// claimOf returns the claim that must be confirmed before an answer of the primary is passed
// on. It reports false if the answer needs no confirmation. A write or commit needs it if it
// succeeded, and so does another statement that ended its transaction. A failed write or commit,
// a rollback and KindBegin never need it. Any other answer needs it unless it covers the session
// token; a read always needs it if the profile sends reads to the primary.
func claimOf(req *request.Request, primary string, term uint64, o *exchangeResult) (evidence.Claim, bool) {
	claim := evidence.Claim{Primary: primary, Term: term, Position: o.reply.Position, Since: o.answeredAt}
	switch req.Kind {
	case request.KindWrite, request.KindCommit:
		claim.Majority = req.Profile.Confirm != fleet.ConfirmTerm
		return claim, o.reply.Outcome == target.Done
	case request.KindInTransaction:
		if o.reply.TxStatus == 'I' && o.reply.Outcome == target.Done {
			claim.Majority = req.Profile.Confirm != fleet.ConfirmTerm
			return claim, true
		}
	case request.KindRollback, request.KindBegin:
		return claim, false
	case request.KindRead:
		claim.Since = o.sentAt
		return claim, !coversToken(req, o) || req.Profile.Reads == fleet.ReadsPrimary
	}
	claim.Since = o.sentAt
	return claim, !coversToken(req, o)
}

// coversToken reports whether the answer is known to reflect everything that the session has
// written or read before.
func coversToken(req *request.Request, o *exchangeResult) bool {
	return req.MinPositionKnown && !o.reply.Position.IsZero() && o.reply.Position.Covers(req.MinPosition)
}

func newResponse(req *request.Request, m *member, replica bool, o *exchangeResult) *request.Response {
	return &request.Response{
		ID:       req.ID,
		Messages: o.reply.Messages,
		TxStatus: o.reply.TxStatus,
		Position: o.reply.Position,
		Replica:  replica,
		Target:   m.name,
		Repeated: o.repeated,
		Times:    request.Times{AtTarget: o.answeredAt.Sub(o.sentAt), Exchanges: 1},
	}
}
