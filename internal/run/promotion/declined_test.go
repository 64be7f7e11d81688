package promotion

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/target"
)

// refusingDialer fails each control connection with err.
type refusingDialer struct {
	target.Dialer
	err error
}

func (d refusingDialer) Control(context.Context, target.Login) (target.Control, error) {
	return nil, d.err
}

// TestPeerReportsDecliningTargetAsLost guards against a peer that says that it does not reach a target which has just
// answered it.
func TestPeerReportsDecliningTargetAsLost(t *testing.T) {
	for err, reachable := range map[error]bool{target.ErrDeclined.New("no connection"): true, Error.New("no answer"): false} {
		r := &Runner{options: Options{Dialer: refusingDialer{err: Error.Wrap(err)}}}
		must.Eq(t, reachable, r.canReach(t.Context(), target.Login{}), must.Sprint(err))
	}
}
