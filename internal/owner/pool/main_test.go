package pool

import (
	"testing"

	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 300}) }
