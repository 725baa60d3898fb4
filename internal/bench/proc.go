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

// cpuTime returns the user and system time of a process since its start, from /proc. An error means that the process has ended
// or cannot be read.
func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	return parseStat(stat)
}

// parseStat returns the CPU time in the content of /proc/PID/stat. Fields are counted after the command name, which may contain
// spaces and parentheses and ends at the last parenthesis.
func parseStat(stat []byte) (time.Duration, error) {
	const user, system = 11, 12 // indices after the command name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= system {
		return 0, fmt.Errorf("stat has %d fields after the command name, expected at least %d", len(fields), system+1)
	}
	var ticks int64
	for _, f := range []int{user, system} {
		n, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return 0, fmt.Errorf("stat: field %d after the command name: %w", f, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
