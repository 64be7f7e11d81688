//go:build !linux

package supervise

import "syscall"

// sysProcAttr gives a process its own group. The parent-death signal exists only on Linux.
func sysProcAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
