package front

import (
	"crocusyoke/internal/budget"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// The status of a session's transaction. The values are those of request.Response.TxStatus.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// sessionState is the state that a session keeps for its caller independently of the target that
// serves it. Only the session's goroutine uses it.
type sessionState struct {
	settings []Setting
	prepared map[string]StatementTemplate
	// account holds the size of settings and prepared.
	account  *budget.Account
	txStatus byte
	// group is the group of the open or failed transaction.
	group    string
	sequence uint64
}

func newSessionState(account *budget.Account) *sessionState {
	return &sessionState{prepared: make(map[string]StatementTemplate), account: account, txStatus: txIdle}
}

// observe records the answer of a target to a request for group.
func (s *sessionState) observe(group string, txStatus byte) {
	if s.txStatus == txIdle {
		s.group = group
	}
	s.txStatus = txStatus
}

// groupFor returns the group of the next request: that of the transaction, or outside one the service's.
func (s *sessionState) groupFor(service *fleet.Service) string {
	if s.txStatus == txIdle {
		return service.Group
	}
	return s.group
}

// action is the way in which a statement is handled.
type action uint8

const (
	// actionForward sends the statement to a target.
	actionForward action = iota
	// actionAnswer reports success without a target.
	actionAnswer
	// actionRefuse refuses the statement without a target. Its transaction
	// keeps its status.
	actionRefuse
	// actionRollback ends a transaction that has failed.
	actionRollback
)

// plan decides how a statement is handled, and applies its effect on the session's settings and
// prepared statements. The request kind is valid with actionForward, the refusal with
// actionRefuse.
func (s *sessionState) plan(st *Statement) (action, request.Kind, *request.Refusal) {
	if s.txStatus == txFailed {
		return s.planInFailedTransaction(st)
	}
	switch st.Verb {
	case VerbSet:
		return answerUnless(s.storeSetting(st.Name, st.Value))
	case VerbPrepare:
		return answerUnless(s.storePrepared(st.Name, st.Shape))
	case VerbDeallocate:
		return answerUnless(s.deallocate(st.Name))
	case VerbBegin:
		if s.txStatus != txIdle {
			return actionRefuse, 0, protocolRefusal("a transaction is open already")
		}
		if st.ReadOnly {
			return actionForward, request.KindBeginRead, nil
		}
		return actionForward, request.KindBegin, nil
	case VerbCommit, VerbRollback:
		if s.txStatus == txIdle {
			return actionRefuse, 0, protocolRefusal("no transaction is open")
		}
		if st.Verb == VerbCommit {
			return actionForward, request.KindCommit, nil
		}
		return actionForward, request.KindRollback, nil
	case VerbRead, VerbWrite:
		return actionForward, s.requestKind(st.Verb == VerbWrite), nil
	case VerbExecute:
		shape, ok := s.prepared[st.Name]
		if !ok {
			return actionRefuse, 0, unpreparedRefusal(st.Name)
		}
		return actionForward, s.requestKind(shape.Writes), nil
	default:
		return actionRefuse, 0, protocolRefusal("the statement cannot be parsed")
	}
}

// answerUnless returns the action for a statement that the session itself carries out: its answer, or
// refusal if that is not nil.
func answerUnless(refusal *request.Refusal) (action, request.Kind, *request.Refusal) {
	if refusal != nil {
		return actionRefuse, 0, refusal
	}
	return actionAnswer, 0, nil
}

// planInFailedTransaction is plan for a failed transaction, in which only its end is accepted.
func (s *sessionState) planInFailedTransaction(st *Statement) (action, request.Kind, *request.Refusal) {
	if st.Verb == VerbRollback || st.Verb == VerbCommit {
		return actionRollback, 0, nil
	}
	return actionRefuse, 0, protocolRefusal("the transaction has failed")
}

func (s *sessionState) requestKind(writes bool) request.Kind {
	switch {
	case s.txStatus == txOpen:
		return request.KindInTransaction
	case writes:
		return request.KindWrite
	default:
		return request.KindRead
	}
}

// newCall returns the Call that st sends to a target.
func (s *sessionState) newCall(st *Statement) *Call {
	c := &Call{ID: st.ID, Text: st.Text, Settings: s.settings}
	if st.Verb == VerbExecute {
		shape := s.prepared[st.Name]
		c.Shape = &shape
		c.Text = st.Arguments
	}
	return c
}

func protocolRefusal(detail string) *request.Refusal {
	return request.Refuse(request.CodeProtocol, step, "", "%s", detail)
}

func unpreparedRefusal(name string) *request.Refusal {
	return request.Refuse(request.CodeUnprepared, step, "", "no prepared statement %s", quote(name))
}
