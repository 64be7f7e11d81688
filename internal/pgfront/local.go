package pgfront

import (
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

// buildLocalAnswer returns the answer to an exchange that needs no target. Such an exchange
// does not prepare, describe or run a statement, or concerns session variables that the
// connection keeps, or ends a transaction that is open on no target. ok is false if the
// exchange must be forwarded.
func (c *conn) buildLocalAnswer(plan *statement.Plan) (answer localAnswer, ok bool, err error) {
	if plan.AnswerableLocally {
		return localAnswer{}, true, nil
	}
	switch plan.Info.Class {
	case statement.ClassSetting:
		return c.answerSetting(plan)
	case statement.ClassCommit, statement.ClassRollback:
		if c.txStatus != txIdle && !c.txLost {
			return localAnswer{}, false, nil
		}
		tag := "COMMIT"
		if c.txLost || plan.Info.Class == statement.ClassRollback {
			tag = "ROLLBACK"
		}
		c.setIdle()
		return localAnswer{tag: tag}, true, nil
	}
	return localAnswer{}, false, nil
}

// answerSetting answers SET, RESET and SHOW of session variables that the connection keeps. For
// other variables, SHOW is forwarded to a target, and so is SET LOCAL within a transaction. All
// other statements on them are refused.
func (c *conn) answerSetting(plan *statement.Plan) (localAnswer, bool, error) {
	s := plan.Info.Setting
	if s.Verb == statement.VerbReset && s.Name == "all" {
		if plan.Executes {
			c.variables.resetAll()
		}
		return localAnswer{tag: "RESET"}, true, nil
	}
	if !isSupportedVariable(s.Name) {
		if s.Verb == statement.VerbShow || s.Local && c.txStatus != txIdle {
			return localAnswer{}, false, nil
		}
		return localAnswer{}, false, request.Refuse(request.CodeUnsupported, step, "",
			"session variable %q is not supported on a pooled connection", s.Name)
	}
	switch s.Verb {
	case statement.VerbShow:
		return localAnswer{column: s.Name, value: c.showVariable(s.Name), tag: "SHOW"}, true, nil
	case statement.VerbReset:
		s.Value = ""
	}
	if !plan.Executes {
		return localAnswer{tag: "SET"}, true, nil
	}
	return localAnswer{tag: "SET"}, true, c.setVariable(s.Name, s.Value)
}

func (c *conn) setVariable(name, value string) error {
	if name != varSession {
		return c.variables.set(c.options.Config.Current(), name, value)
	}
	if value == "" {
		return nil
	}
	return c.options.Session.Merge(c.session, value)
}

func (c *conn) showVariable(name string) string {
	if name == varSession {
		return c.options.Session.CurrentToken(c.session)
	}
	var service *fleet.Service
	if cfg := c.options.Config.Current(); cfg != nil {
		service = cfg.Service(c.service)
	}
	return c.variables.show(service, name)
}
