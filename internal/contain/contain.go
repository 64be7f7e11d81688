// Package contain turns a panic while one message is handled into an error, so that a malformed
// message or an unexpected value ends its own request, connection or step and not the process.
//
// It is for functions that hold no lock while they may panic, or release it by a deferred call: a
// lock that stays held would do more harm than a restart.
package contain

import (
	"expvar"
	"runtime/debug"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"
)

// Error is the class of the errors that panics are turned into.
var Error = errs.Class("panic")

// PauseAfterPanic is how long a step that panicked rests before it runs again, so that a fault that
// lasts does not use up the processor and the log.
const PauseAfterPanic = time.Second

// Panics counts the contained panics of this process by step.
var Panics = new(expvar.Map)

// maxStack is the number of bytes of a panic's stack that its error contains.
const maxStack = 2000

// Step runs one step of a loop that must go on, and reports whether it panicked. It logs the panic with
// its stack.
func Step(logger log.Logger, step string, f func()) (panicked bool) {
	err := Run(logger, step, func() error {
		f()
		return nil
	})
	return err != nil
}

// Run returns the error of f. If f panics, it returns an error with the stack, and logs it.
func Run(logger log.Logger, step string, f func() error) error {
	panicked := true
	_, err := Call(step, func() (struct{}, error) {
		err := f()
		panicked = false
		return struct{}{}, err
	})
	if panicked {
		_ = logger.Log("event", "panic", "step", step, "err", err)
	}
	return err
}

// Call returns the results of f, or an error with the stack if f panics. step names what f does.
func Call[T any](step string, f func() (T, error)) (value T, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			Panics.Add(step, 1)
			stack := debug.Stack()
			err = Error.New("%s: %v\n%s", step, cause, stack[:min(len(stack), maxStack)])
		}
	}()
	return f()
}
