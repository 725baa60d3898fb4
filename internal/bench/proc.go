package bench

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the unit of CPU times in /proc. Linux uses 100 on all architectures that Go supports.
const ticksPerSecond = 100

// Usage is the CPU time and I/O of a process since its start, and its present resident memory.
type Usage struct {
	CPU      time.Duration // user and system time
	Resident int64         // bytes
	IOBytes  int64         // bytes of read and write calls, which include all TCP traffic but no UDP traffic
}

func (u Usage) minus(v Usage) Usage {
	return Usage{CPU: u.CPU - v.CPU, Resident: u.Resident, IOBytes: u.IOBytes - v.IOBytes}
}

func (u Usage) plus(v Usage) Usage {
	return Usage{CPU: u.CPU + v.CPU, Resident: u.Resident + v.Resident, IOBytes: u.IOBytes + v.IOBytes}
}

// UsageOf returns the usage of a process from /proc. An error means that the process has ended or cannot be read.
func UsageOf(pid int) (Usage, error) {
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return Usage{}, err
	}
	u, err := parseStat(stat)
	if err != nil {
		return Usage{}, err
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return Usage{}, err
	}
	u.IOBytes = parseIO(io)
	return u, nil
}

// parseStat reads the content of /proc/PID/stat. Fields are counted after the command name, which may contain spaces and
// parentheses and ends at the last parenthesis.
func parseStat(stat []byte) (Usage, error) {
	const user, system, resident = 11, 12, 21 // indices after the command name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= resident {
		return Usage{}, fmt.Errorf("stat has %d fields after the command name, expected at least 22", len(fields))
	}
	var n [3]int64
	for i, f := range []int{user, system, resident} {
		v, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, fmt.Errorf("stat: field %d after the command name: %w", f, err)
		}
		n[i] = v
	}
	return Usage{
		CPU:      time.Duration(n[0]+n[1]) * time.Second / ticksPerSecond,
		Resident: n[2] * int64(os.Getpagesize()),
	}, nil
}

// parseIO returns the bytes of all read and write calls from the content of /proc/PID/io.
func parseIO(text []byte) int64 {
	var sum int64
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name == "rchar" || name == "wchar" {
			n, _ := strconv.ParseInt(value, 10, 64)
			sum += n
		}
	}
	return sum
}
