package target

import "fmt"

// SetUpRefused is the error of an exchange that did not run, because the target refused a statement that gives
// the connection the session state of the caller, such as one that changes a session setting, or has lost that
// state.
type SetUpRefused struct {
	// Code is the target's error code.
	Code string
	// Retryable is true if the same session state may be accepted later or by another target.
	Retryable bool
}

// Error implements error.
func (e *SetUpRefused) Error() string {
	return fmt.Sprintf("the target refused the session's state: %s", e.Code)
}
