package quota_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"crocusyoke/internal/clock"
	"crocusyoke/internal/controller/membership"
	"crocusyoke/internal/run/quota"
)

// TestPanicInATickEndsTheProcess guards against a panic in the controller's step that ends the process.
func TestPanicInATickEndsTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var views atomic.Int64
		view := func() *membership.View {
			if views.Add(1) <= 2 {
				panic("unexpected value")
			}
			return &membership.View{Self: "n1"}
		}
		r := quota.New(quota.Options{Self: "n1", View: view, Config: source{newFleet()}, Clock: clock.Wall{}, Logger: log.NewNopLogger()})
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		time.Sleep(time.Second)
		must.Greater(t, 10, views.Load())
		stop()
		must.NoError(t, <-ended)
	})
}
