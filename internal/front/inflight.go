package front

import (
	"time"

	"crocusyoke/internal/budget"
	"crocusyoke/internal/request"
)

// servingLimits bound the statements of all sessions of a node that are being served, in bytes. A statement is
// in memory several times over on its way to a target.
var servingLimits = budget.Limits{Share: 2 << 10, Common: 8 << 20}

// answerLimits bound the answers of all sessions of a node from their arrival until they are sent, in bytes. They
// travel with the context of a statement (budget.NewContext).
var answerLimits = budget.Limits{Share: 4 << 10, Common: 16 << 20}

// largeRetryAfter is when a caller may come back with a large statement for which there was no room.
const largeRetryAfter = 100 * time.Millisecond

// size returns the size of the call's texts in bytes.
func (c *Call) size() int {
	size := len(c.ID) + len(c.Text)
	if c.Shape != nil {
		size += len(c.Shape.Name)
	}
	for _, v := range c.Settings {
		size += len(v.Name) + len(v.Value)
	}
	return size
}

// takeRoom makes room for a statement that is to be served, or returns a refusal. The end of a transaction needs
// none: it is short and frees more than it takes. The session's account is released with the answer.
func (s *session) takeRoom(st *Statement, call *Call) *request.Refusal {
	if st.Verb == VerbCommit || st.Verb == VerbRollback || s.serving.Resize(call.size()) {
		s.in.endTurn()
		return nil
	}
	return request.Refuse(request.CodeOverloaded, step, "", "the node serves too many large statements").
		WithRetryAfter(largeRetryAfter)
}
