package supervise_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/standin/supervise"
)

func newSleepSpec(t *testing.T, name string) supervise.Spec {
	return supervise.Spec{Name: name, Path: "/bin/sleep", Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")}
}

func TestProcessIsKilledOnceAndRestarts(t *testing.T) {
	s := supervise.New()
	defer s.Close()
	must.NoError(t, s.Start(newSleepSpec(t, "a")))
	must.Error(t, s.Start(newSleepSpec(t, "a")))
	must.NoError(t, s.Pause("a"))
	must.True(t, s.IsRunning("a"))
	must.NoError(t, s.Kill("a"))
	must.False(t, s.IsRunning("a"))
	must.Error(t, s.Exit("a"))
	// The process has exited, so the kernel may have given its id to another process.
	must.Error(t, s.Kill("a"))
	must.NoError(t, s.Restart("a"))
	must.True(t, s.IsRunning("a"))
	must.NoError(t, s.Pause("a"))
	must.NoError(t, s.Stop([]string{"a", "never"}, 10*time.Second))
	must.False(t, s.IsRunning("a"))
}

func TestWaitReturnsWhenContextExpires(t *testing.T) {
	s := supervise.New()
	defer s.Close()
	must.NoError(t, s.Start(newSleepSpec(t, "a")))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	must.ErrorIs(t, s.Wait(ctx, "a"), context.DeadlineExceeded)
}
