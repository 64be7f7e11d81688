package pgfront

import "crocusyoke/internal/budget"

// Parts of Options.Memory, as divisors, and bounds in bytes.
const (
	// DefaultMemory is the memory that the budgets are parts of, unless Options say otherwise.
	DefaultMemory = 1 << 30
	// readPart is for what is read and served of exchanges, answerPart for answers until they are sent,
	// statementPart for prepared statements.
	readPart, answerPart, statementPart = 12, 6, 6
	// readShare and answerShare are what each session may always hold.
	readShare, answerShare = maxKeptBuffer, 4 << 10
)

// statementLimits bound the prepared statements of all sessions of a node, beside their part of the memory.
var statementLimits = budget.Limits{Share: 2 << 10, Common: 32 << 20}

// budgets bound what all sessions of a node hold together.
type budgets struct {
	// reads is the budget of exchanges, from their first byte until they are answered.
	reads *budget.Budget
	// answers is the budget of answers that have arrived and are not sent yet.
	answers *budget.Budget
	// statementBudget is the budget of the sessions' prepared statements.
	statementBudget *budget.Budget
}

// AnswerRoom returns how much of memory is for answers beyond their sessions' shares, in bytes.
func AnswerRoom(memory int) int { return memory / answerPart }

func newBudgets(o *Options) budgets {
	// A buffer may be twice as large as the exchange in it, and one exchange must fit while others come.
	reads := max(o.Memory/readPart, 4*o.MaxExchangeBytes)
	statements := statementLimits
	statements.Common = min(statements.Common, o.Memory/statementPart)
	return budgets{
		reads:           budget.New(budget.Limits{Share: readShare, Common: reads}),
		answers:         budget.New(budget.Limits{Share: answerShare, Common: AnswerRoom(o.Memory)}),
		statementBudget: budget.New(statements),
	}
}
