package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"
	"golang.org/x/sync/errgroup"
)

// TestTaskThatDoesNotEndHoldsTheProcess guards against a call that is not answered, such as one to order a
// promotion, that keeps the process beyond its stop, so that the platform kills it.
func TestTaskThatDoesNotEndHoldsTheProcess(t *testing.T) {
	errFailed := errors.New("a task failed")
	for _, failure := range []error{nil, errFailed} {
		synctest.Test(t, func(t *testing.T) {
			n := &Node{logger: log.NewNopLogger()}
			stopCtx, stop := context.WithCancel(t.Context())
			group, ctx := errgroup.WithContext(stopCtx)
			group.Go(func() error {
				time.Sleep(10 * time.Second)
				return nil
			})
			group.Go(func() error {
				time.Sleep(time.Second)
				return failure
			})
			if failure == nil {
				time.AfterFunc(time.Second, stop)
			}
			began := time.Now()
			err := n.awaitTasks(ctx, group)
			must.True(t, errors.Is(err, failure), must.Sprint(err))
			must.Eq(t, time.Second+taskEndTimeout, time.Since(began))
			stop()
			time.Sleep(10 * time.Second)
		})
	}
}
