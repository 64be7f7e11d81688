package supervise

import "syscall"

// sysProcAttr gives a process its own group and has the kernel kill it with its parent.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
