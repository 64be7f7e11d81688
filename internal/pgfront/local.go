package pgfront

import (
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
	"crocusyoke/internal/statement"
)

// local answers what no target needs to see.
func (c *conn) local(plan *statement.Plan) (answer local, ok bool, err error) {
	if plan.Offline {
		return local{}, true, nil
	}
	switch plan.Info.Class {
	case statement.ClassSetting:
		return c.setting(plan)
	case statement.ClassCommit, statement.ClassRollback:
		if c.tx != txIdle && !c.lost {
			return local{}, false, nil
		}
		tag := "COMMIT"
		if c.lost || plan.Info.Class == statement.ClassRollback {
			tag = "ROLLBACK"
		}
		c.setIdle()
		return local{tag: tag}, true, nil
	}
	return local{}, false, nil
}

// setting answers SET, RESET and SHOW of variables that the connection keeps.
func (c *conn) setting(plan *statement.Plan) (local, bool, error) {
	s := plan.Info.Setting
	if s.Verb == statement.VerbReset && s.Name == "all" {
		if plan.Executes {
			c.variables.resetAll()
		}
		return local{tag: "RESET"}, true, nil
	}
	if !known(s.Name) {
		if s.Verb == statement.VerbShow || s.Local && c.tx != txIdle {
			return local{}, false, nil
		}
		return local{}, false, request.Refuse(request.CodeUnsupported, step, "",
			"session variable %q does not fit a pooled connection", s.Name)
	}
	switch s.Verb {
	case statement.VerbShow:
		return local{column: s.Name, value: c.show(s.Name), tag: "SHOW"}, true, nil
	case statement.VerbReset:
		s.Value = ""
	}
	if !plan.Executes {
		return local{tag: "SET"}, true, nil
	}
	return local{tag: "SET"}, true, c.setVariable(s.Name, s.Value)
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

func (c *conn) show(name string) string {
	if name == varSession {
		return c.options.Session.CurrentToken(c.session)
	}
	var service *fleet.Service
	if cfg := c.options.Config.Current(); cfg != nil {
		service = cfg.Service(c.service)
	}
	return c.variables.show(service, name)
}
