// Package proptest fixes the seed and the size of property tests, so that every run draws the
// same cases and gives the same verdict. A package's TestMain calls Main. Flags on the command
// line, such as -rapid.seed, override the values set here.
package proptest

import (
	"flag"
	"os"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

const seed = 20261204

// Size is the number of cases and steps of a package's property tests. A zero field keeps the
// default of package rapid.
type Size struct {
	// Checks is the number of random cases of each property test.
	Checks int
	// Steps is the average number of steps in a random sequence of actions.
	Steps int
}

// Main sets the seed and the size, runs the package's tests and exits.
func Main(m *testing.M, size Size) {
	setFlag("rapid.seed", seed)
	setFlag("rapid.checks", size.Checks)
	setFlag("rapid.steps", size.Steps)
	os.Exit(m.Run())
}

func setFlag(name string, value int) {
	if value == 0 {
		return
	}
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		panic(err)
	}
}
