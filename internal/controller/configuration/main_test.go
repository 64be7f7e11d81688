package configuration

import (
	"testing"

	"crocusyoke/internal/proptest"
)

// TestMain gives the random histories a fixed seed and number, which command line flags may
// override.
func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 4000, Steps: 60}) }
