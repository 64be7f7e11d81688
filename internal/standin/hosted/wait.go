package hosted

import "time"

// WaitFor polls condition until it returns true, and returns false if it still does not after
// timeout.
func WaitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
