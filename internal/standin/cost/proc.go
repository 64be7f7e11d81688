package cost

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor time in
// /proc.
const ticksPerSecond = 100

// bytesPerKilobyte converts the kB of memory figures in /proc.
const bytesPerKilobyte = 1024

// Indexes of the user and system time among the fields that follow the command name in
// /proc/PID/stat, counted from 0.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// cpuTime returns the user and system processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, Error.Wrap(err)
	}
	_, rest, _ := strings.Cut(string(body), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return 0, Error.New("/proc/%d/stat has too few fields", pid)
	}
	user, err := strconv.ParseInt(fields[fieldUser], 10, 64)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	system, err := strconv.ParseInt(fields[fieldSystem], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond, Error.Wrap(err)
}

// residentMemory returns the resident memory of a process, in bytes.
func residentMemory(pid int) (int64, error) {
	kb, err := readField(fmt.Sprintf("/proc/%d/status", pid), "VmRSS:", 1)
	return kb * bytesPerKilobyte, err
}

// datagramsSent returns the number of UDP packets that the machine has sent.
func datagramsSent() (int64, error) {
	body, err := os.ReadFile("/proc/net/snmp")
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for _, line := range strings.Split(string(body), "\n") {
		fields := strings.Fields(line)
		// Two lines start with "Udp:". The first has the column names:
		// Udp: InDatagrams NoPorts InErrors OutDatagrams ...
		if len(fields) > 4 && fields[0] == "Udp:" && fields[1] != "InDatagrams" {
			return strconv.ParseInt(fields[4], 10, 64)
		}
	}
	return 0, Error.New("/proc/net/snmp has no line with UDP counters")
}

// loopbackBytesSent returns the number of bytes that the loopback interface has sent.
func loopbackBytesSent() (int64, error) { return readField("/proc/net/dev", "lo:", 9) }

// readField returns the number in field n, counted from 0, of the first line of a file whose
// field 0 is label.
func readField(path, label string, n int) (int64, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	for _, line := range strings.Split(string(body), "\n") {
		fields := strings.Fields(line)
		if len(fields) > n && fields[0] == label {
			return strconv.ParseInt(fields[n], 10, 64)
		}
	}
	return 0, Error.New("%s has no line that starts with %s", path, label)
}
