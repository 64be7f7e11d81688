package coldstart

import (
	"testing"

	"crocusyoke/internal/proptest"
)

func TestMain(m *testing.M) { proptest.Main(m, proptest.Size{Checks: 1000}) }
