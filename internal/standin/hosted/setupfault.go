package hosted

import "math/rand/v2"

// setupFault is what a target does wrong with a statement of the proxy that changes a session's settings or
// prepared names.
type setupFault int

const (
	setupOK setupFault = iota
	// setupRefused and setupRefusedOpen answer with BUSY without an effect. A transaction fails with the
	// former and stays open with the latter.
	setupRefused
	setupRefusedOpen
	// The others carry the statement out. setupFailed and setupTimedOut answer with an error, which leaves a
	// transaction open; setupLost closes the connection without an answer, setupCut in the middle of one.
	setupFailed
	setupTimedOut
	setupLost
	setupCut
)

// setupRefusals and setupFailures are what Load.SetupRefusals and Load.SetupFailures draw from.
var (
	setupRefusals = []setupFault{setupRefused, setupRefusedOpen}
	setupFailures = []setupFault{setupFailed, setupTimedOut, setupLost, setupCut}
)

// drawSetupFault draws what becomes of the next statement that Load.SetupRefusals and Load.SetupFailures
// concern. The caller holds g.mu.
func (g *Group) drawSetupFault() setupFault {
	if g.random == nil {
		g.random = rand.New(rand.NewPCG(g.Load.Seed, 0))
	}
	for _, c := range []struct {
		oneOf  int
		faults []setupFault
	}{{g.Load.SetupRefusals, setupRefusals}, {g.Load.SetupFailures, setupFailures}} {
		if c.oneOf > 0 && g.random.IntN(c.oneOf) == 0 {
			return c.faults[g.random.IntN(len(c.faults))]
		}
	}
	return setupOK
}

// executeFaulty carries out a statement with the fault, as far as that has it carried out, and returns the
// text of the error response. The caller holds group.mu.
func (s *session) executeFaulty(c command, fault setupFault) (failure string) {
	s.fault = fault
	switch fault {
	case setupRefused, setupRefusedOpen:
		return "BUSY " + s.target.ID
	}
	if _, failure := s.executeCommand(c); failure != "" {
		return failure
	}
	switch fault {
	case setupFailed:
		return "FAILED " + s.target.ID
	case setupTimedOut:
		return "TIMEOUT " + s.target.ID
	}
	return ""
}

// failsTransaction reports whether an error response fails the session's transaction.
func (s *session) failsTransaction() bool {
	return s.txState == stateOpen && (s.fault == setupOK || s.fault == setupRefused)
}

// breaksOff reports whether the connection ends without a complete answer, of which it has sent a part.
func (s *session) breaksOff() bool {
	switch s.fault {
	case setupCut:
		_, _ = s.out.Write([]byte("COMPLETE -\r\nREA"))
		return true
	case setupLost:
		return true
	}
	return false
}
