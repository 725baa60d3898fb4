package worker

import (
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Payload tells the stand-in what a task does. Any payload that is not such a JSON object runs for the default time
// and returns itself as output.
type Payload struct {
	RunMS        *int64  `json:"run_ms"`
	Output       *string `json:"output"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	Fail         bool    `json:"fail"`
}

// work is what a task really does, in contrast to what its caller declared.
type work struct {
	run    time.Duration
	output string
	size   platform.Size
	fail   bool
}

// parse reads a payload. declared is the size for payloads that don't tell it.
func parse(body []byte, declared platform.Size, run time.Duration) work {
	w := work{run: run, output: string(body), size: declared}
	if len(body) == 0 || body[0] != '{' {
		return w
	}
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		return w
	}
	if p.RunMS != nil && *p.RunMS >= 0 {
		w.run = time.Duration(*p.RunMS) * time.Millisecond
	}
	if p.Output != nil {
		w.output = *p.Output
	}
	if p.Cores > 0 {
		w.size.Cores = p.Cores
	}
	if p.MemoryMB > 0 {
		w.size.MemoryMB = p.MemoryMB
	}
	if p.Accelerators > 0 {
		w.size.Accelerators = p.Accelerators
	}
	w.fail = p.Fail
	return w
}
