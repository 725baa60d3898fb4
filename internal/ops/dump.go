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

// dumpTimeout bounds the call of one dumper, so that a component that hangs does not hide the others.
const dumpTimeout = 2 * time.Second

// Dumper is a component of the process that can show its state.
type Dumper interface {
	// Dump returns the state as a value for encoding/json. It must be a copy, because the value is encoded while the
	// component keeps running.
	Dump() any
}

// DumpFunc is a function that implements Dumper.
type DumpFunc func() any

// Dump calls the function.
func (f DumpFunc) Dump() any { return f() }

// Dumps holds the dumpers of the process by name. It is safe for concurrent use. The zero value has no dumpers.
type Dumps struct {
	mu      sync.RWMutex
	byName  map[string]Dumper
	timeout time.Duration // time limit for one dumper; 0 means dumpTimeout
}

// Register adds a dumper, or replaces the dumper of the same name.
func (d *Dumps) Register(name string, dumper Dumper) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.byName == nil {
		d.byName = make(map[string]Dumper)
	}
	d.byName[name] = dumper
}

// Names returns the sorted names of all dumpers.
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

// One returns the state of one component as JSON without secrets. If the dumper fails or does not return in time, the
// text is an object with the key "problem". ok is false for an unknown name.
func (d *Dumps) One(name string) (text []byte, ok bool) {
	d.mu.RLock()
	dumper, ok := d.byName[name]
	d.mu.RUnlock()
	if !ok {
		return nil, false
	}
	return encodeDump(dumper, cmp.Or(d.timeout, dumpTimeout)), true
}

// All returns a JSON object with the state of every component by name, each as One returns it. The dumpers run
// concurrently.
func (d *Dumps) All() []byte {
	names := d.Names()
	texts := make([]json.RawMessage, len(names))
	var wg sync.WaitGroup
	for i, name := range names {
		wg.Go(func() { texts[i], _ = d.One(name) })
	}
	wg.Wait()
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

// WriteTo writes one line for each component, dump=NAME state=JSON, with the state as One returns it. It implements
// io.WriterTo.
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

// encodeDump calls the dumper in its own goroutine, because it may block forever on a component that hangs.
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

// callDumper returns the state as JSON without secrets, or the problem if the dumper panics or its value cannot be
// encoded.
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
	clean, err := secure.RedactJSON(raw)
	if err != nil {
		return problemJSON(err.Error())
	}
	return clean
}

func problemJSON(message string) []byte {
	text, _ := json.Marshal(map[string]string{"problem": secure.RedactText(message)}) // a map of strings can always be encoded
	return text
}
