// Package supervise starts, signals and stops processes by name, for test deployments on one
// machine. It signals only processes that it started and that have not exited yet, since the
// kernel may give the id of an exited process to another one. Each process has a process
// group of its own, so that an interrupt from the terminal reaches only the supervisor. On
// Linux the kernel kills the processes when the supervisor dies.
package supervise

import (
	"context"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("supervise")

// Spec describes how to start a process.
type Spec struct {
	// Name is unique within a Supervisor.
	Name string
	Path string
	Args []string
	// Log is the path of the file that standard output and standard error are appended to.
	Log string
	// Env holds variables, as NAME=VALUE, that are added to those of this process.
	Env []string
}

// Supervisor runs processes. Its methods are safe for concurrent use.
type Supervisor struct {
	mu         sync.Mutex
	processes  map[string]*process
	startQueue chan func()
}

// process is one run of a Spec.
type process struct {
	spec Spec
	cmd  *exec.Cmd
	// done is closed once the process has exited; err then holds the result of cmd.Wait.
	done chan struct{}
	err  error
}

// New returns a Supervisor. The caller must call Close.
func New() *Supervisor {
	s := &Supervisor{processes: make(map[string]*process), startQueue: make(chan func())}
	go s.runStarts()
	return s
}

// runStarts starts every process from one locked OS thread, because the kernel delivers the
// parent-death signal when the thread that started the process ends.
func (s *Supervisor) runStarts() {
	runtime.LockOSThread()
	for start := range s.startQueue {
		start()
	}
}

// Close kills the processes that still run and waits for them. The Supervisor must not be
// used afterwards.
func (s *Supervisor) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		if p.isRunning() {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	close(s.startQueue)
}

// Start starts a process. It fails if a process with the same name is running.
func (s *Supervisor) Start(spec Spec) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.processes[spec.Name]; old != nil && old.isRunning() {
		return Error.New("%s is already running", spec.Name)
	}
	logFile, err := os.OpenFile(spec.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.New("%s: %w", spec.Name, err)
	}
	defer logFile.Close()
	cmd := exec.Command(spec.Path, spec.Args...)
	cmd.Env = append(os.Environ(), spec.Env...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = sysProcAttr()
	started := make(chan error)
	s.startQueue <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return Error.New("%s: %w", spec.Name, err)
	}
	p := &process{spec: spec, cmd: cmd, done: make(chan struct{})}
	s.processes[spec.Name] = p
	go p.wait()
	return nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

func (p *process) isRunning() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (s *Supervisor) lookup(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.processes[name]
	if p == nil {
		return nil, Error.New("%s was never started", name)
	}
	return p, nil
}

// IsRunning reports whether the process has been started and has not exited. A paused process
// counts as running.
func (s *Supervisor) IsRunning(name string) bool {
	p, err := s.lookup(name)
	return err == nil && p.isRunning()
}

// PID returns the process's id, or 0 if it was never started. It keeps returning the id
// after the process has exited.
func (s *Supervisor) PID(name string) int {
	p, err := s.lookup(name)
	if err != nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to a process. It fails if the process is not running.
func (s *Supervisor) Signal(name string, signal syscall.Signal) error {
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	if !p.isRunning() {
		return Error.New("%s is not running", name)
	}
	return Error.Wrap(p.cmd.Process.Signal(signal))
}

// Kill kills a process and waits until it has exited.
func (s *Supervisor) Kill(name string) error {
	if err := s.Signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	return s.Wait(context.Background(), name)
}

// Pause suspends a process with SIGSTOP.
func (s *Supervisor) Pause(name string) error { return s.Signal(name, syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (s *Supervisor) Resume(name string) error { return s.Signal(name, syscall.SIGCONT) }

// Terminate asks a process to exit with SIGTERM. It does not wait; use Wait for that.
func (s *Supervisor) Terminate(name string) error { return s.Signal(name, syscall.SIGTERM) }

// Wait waits until a process has exited, whatever its exit status, or until ctx ends.
func (s *Supervisor) Wait(ctx context.Context, name string) error {
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return Error.New("%s is still running: %w", name, ctx.Err())
	}
}

// Exit returns the exit error of a process that has exited: nil for exit code 0, otherwise an
// error that wraps *exec.ExitError. It fails if the process is still running.
func (s *Supervisor) Exit(name string) error {
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	if p.isRunning() {
		return Error.New("%s is still running", name)
	}
	return Error.Wrap(p.err)
}

// Restart starts a process again with its previous Spec, after killing it if it is running.
func (s *Supervisor) Restart(name string) error {
	p, err := s.lookup(name)
	if err != nil {
		return err
	}
	if p.isRunning() {
		if err := s.Kill(name); err != nil {
			return err
		}
	}
	return s.Start(p.spec)
}

// Stop resumes and terminates all named processes at once and kills those that are still
// running after the timeout. Names that were never started are ignored. A process that had
// to be killed is an error.
func (s *Supervisor) Stop(names []string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for _, name := range names {
		if s.IsRunning(name) {
			_ = s.Resume(name)
			_ = s.Terminate(name)
		}
	}
	var errGroup errs.Group
	for _, name := range names {
		if _, err := s.lookup(name); err != nil {
			continue
		}
		if err := s.Wait(ctx, name); err != nil {
			errGroup.Add(err, s.Kill(name))
		}
	}
	return errGroup.Err()
}
