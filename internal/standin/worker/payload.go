package worker

import (
	"encoding/json"
	"time"

	"github.com/savorypass/savorypass/internal/platform"
)

// Payload is the payload of a task, a JSON object that sets what the stand-in does for the task. A task with any other
// payload has the default run time, the declared size and its payload as output.
type Payload struct {
	RunMS        *int64  `json:"run_ms"` // run time in ms; nil for the default
	Output       *string `json:"output"` // nil for the payload itself
	Cores        float64 `json:"cores"`  // 0 for the declared value, as in the next two fields
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int     `json:"accelerators"`
	Fail         bool    `json:"fail"` // the task fails at the end of its run time
}

// work is what a task does. Its size may differ from the size that the caller declared.
type work struct {
	runTime time.Duration
	output  string
	size    platform.Size
	fail    bool
}

// parsePayload returns the work of a payload. declared and runTime are the values for payloads that do not set them.
func parsePayload(body []byte, declared platform.Size, runTime time.Duration) work {
	w := work{runTime: runTime, output: string(body), size: declared}
	if len(body) == 0 || body[0] != '{' {
		return w
	}
	var p Payload
	if json.Unmarshal(body, &p) != nil {
		return w
	}
	if p.RunMS != nil && *p.RunMS >= 0 {
		w.runTime = time.Duration(*p.RunMS) * time.Millisecond
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
