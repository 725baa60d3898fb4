package ops

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/savorypass/savorypass/internal/secure"
)

// dumpTimeout bounds one dumper, so that a part that hangs still lets the others be seen.
const dumpTimeout = 2 * time.Second

// Dumper is a part of the process that can show its state.
type Dumper interface {
	// Dump returns a value that encoding/json can encode while the part goes on, so it must be a copy.
	Dump() any
}

// DumpFunc makes a Dumper from a function.
type DumpFunc func() any

// Dump calls the function.
func (f DumpFunc) Dump() any { return f() }

// Dumps holds the process's dumpers by name. It is safe for concurrent use; the zero value is empty.
type Dumps struct {
	mu      sync.RWMutex
	byName  map[string]Dumper
	timeout time.Duration // 0 means dumpTimeout
}

// Register adds a dumper or replaces the one of the same name.
func (d *Dumps) Register(name string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[string]Dumper)
	}
	d.byName[name] = dumper
}

// Names returns the names of all dumpers in order.
func (d *Dumps) Names() []string {
	d.mu.RLock()
	defer d.mu.RUnlock()
	names := make([]string, 0, len(d.byName))
	for name := range d.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// One returns the redacted state of one part as JSON. ok is false for an unknown name.
func (d *Dumps) One(name string) (text []byte, ok bool) {
	d.mu.RLock()
	dumper, ok := d.byName[name]
	d.mu.RUnlock()
	if !ok {
		return nil, false
	}
	return encodeDump(dumper, cmp.Or(d.timeout, dumpTimeout)), true
}

// All returns the redacted state of every part as a JSON object. The dumpers run at the same time.
func (d *Dumps) All() []byte {
	names := d.Names()
	texts := make([]json.RawMessage, len(names))
	var wait sync.WaitGroup
	for i, name := range names {
		wait.Go(func() { texts[i], _ = d.One(name) })
	}
	wait.Wait()
	all := make(map[string]json.RawMessage, len(names))
	for i, name := range names {
		all[name] = texts[i]
	}
	text, err := json.Marshal(all)
	if err != nil {
		return problemJSON(err.Error())
	}
	return text
}

// WriteTo writes the state of every part, one line each, for the log or standard error.
func (d *Dumps) WriteTo(w io.Writer) (int64, error) {
	var total int64
	for _, name := range d.Names() {
		text, _ := d.One(name)
		n, err := fmt.Fprintf(w, "dump=%s state=%s\n", name, text)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

// encodeDump calls the dumper apart, because it may hang on a part that is stuck.
func encodeDump(d Dumper, timeout time.Duration) []byte {
	done := make(chan []byte, 1)
	go func() { done <- callDumper(d) }()
	select {
	case text := <-done:
		return text
	case <-time.After(timeout):
		return problemJSON(fmt.Sprintf("no answer within %v", timeout))
	}
}

func callDumper(d Dumper) (text []byte) {
	defer func() {
		if r := recover(); r != nil {
			text = problemJSON(fmt.Sprintf("dumper panicked: %v", r))
		}
	}()
	raw, err := json.Marshal(d.Dump())
	if err != nil {
		return problemJSON(err.Error())
	}
	clean, err := secure.Redact(raw)
	if err != nil {
		return problemJSON(err.Error())
	}
	return clean
}

func problemJSON(message string) []byte {
	text, _ := json.Marshal(map[string]string{"problem": secure.RedactText(message)}) // strings only, so it cannot fail
	return text
}
