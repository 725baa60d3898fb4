package bench

import (
	"fmt"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	overheadRun  = 5 * time.Millisecond
	mostOverhead = 1.0 // ms
)

// Overhead compares single tasks at low load with the same call made directly to a worker, in turn. It also measures
// the network: a direct call whose task takes no time.
func (r *Run) Overhead() error {
	direct, network := newHistogram(), newHistogram()
	rows := []Row{}
	values := map[*Cluster][2]float64{}
	for _, c := range r.clusters() {
		home, other := newHistogram(), newHistogram()
		x := newCaller(c.Teams[0].Tokens[0], c.Entries, r.Seed)
		worker, err := dial(c.Workers[0])
		if err != nil {
			return err
		}
		for i := range r.Extent.OverheadCalls {
			d, err := directCall(worker, fmt.Sprintf("direct-%d", i), overheadRun)
			if err != nil {
				return err
			}
			n, err := directCall(worker, fmt.Sprintf("network-%d", i), 0)
			if err != nil {
				return err
			}
			addTime(direct, d)
			addTime(network, n)
			for _, stray := range []bool{false, true} {
				d, err := x.dispatchedCall(stray)
				if err != nil {
					return err
				}
				if stray {
					addTime(other, d)
					continue
				}
				addTime(home, d)
			}
		}
		x.close()
		worker.Close()
		base := millisAt(direct, 50)
		values[c] = [2]float64{millisAt(home, 50) - base, millisAt(other, 50) - base}
		r.Logf("overhead, %s: direct p50 %.2f ms, at the home p50 %.2f p99 %.2f ms, through another instance p50 %.2f p99 %.2f ms",
			c.Name, base, millisAt(home, 50), millisAt(home, 99), millisAt(other, 50), millisAt(other, 99))
	}
	r.network = time.Duration(network.ValueAtPercentile(50)) * time.Microsecond
	for i, name := range []string{"submitted to its home, p50", "submitted to another instance, p50"} {
		rows = append(rows, Row{
			Measure: "overhead per task", Case: name, Unit: "ms", Value: some(values[r.Fair][i]), Naive: some(values[r.Naive][i]),
		})
	}
	rows[0].Max = some(mostOverhead)
	rows[0].Note = fmt.Sprintf("direct call with %v of work: p50 %.2f ms", overheadRun, millisAt(direct, 50))
	rows[1].Max = some(mostOverhead)
	return record(r.Out, rows...)
}

func payload(run time.Duration) string {
	return `{"run_ms":` + strconv.FormatInt(run.Milliseconds(), 10) + `,"output":"x"}`
}

// directCall runs a task on a worker and returns how long it took.
func directCall(c *conn, task string, run time.Duration) (time.Duration, error) {
	begin := time.Now()
	status, body, err := c.exchange("POST", "/run", "X-Task: "+task+"\r\nX-Lease-Ms: 5000\r\n", []byte(payload(run)))
	if err == nil && status != 200 {
		err = fmt.Errorf("worker answered %d: %.100s", status, body)
	}
	return time.Since(begin), err
}

// dispatchedCall runs a job of one task. A stray one is submitted to another instance than the one that issued its
// identity.
func (c *caller) dispatchedCall(stray bool) (time.Duration, error) {
	cn, id, err := c.pick(stray)
	if err != nil {
		return 0, err
	}
	body := fmt.Sprintf(`{"identity":%q,"service":%q,"idempotent":true,"tasks":[{"payload":%q,"run_time_ms":%d,"cores":1,"memory_mb":512}]}`,
		id, plainService, payload(overheadRun), overheadRun.Milliseconds())
	begin := time.Now()
	a, err := c.requestOn(cn, "POST", submitPath, []byte(body))
	took := time.Since(begin)
	if err == nil && a.Code != int(result.Complete) {
		err = fmt.Errorf("answer %v: %s", result.Code(a.Code), a.Message)
	}
	return took, err
}

// pick returns a connection and an identity whose home is, or is not, at the other end.
func (c *caller) pick(stray bool) (*conn, string, error) {
	home := 0
	at := home
	if stray && len(c.entries) > 1 {
		at = 1
	}
	from, err := c.connTo(home)
	if err != nil {
		return nil, "", err
	}
	if len(from.ids) == 0 {
		if err := c.refill(from); err != nil {
			return nil, "", err
		}
	}
	id := from.ids[0]
	from.ids = from.ids[1:]
	if at == home {
		return from, id, nil
	}
	c.put(from)
	to, err := c.connTo(at)
	return to, id, err
}

// connTo returns an idle connection to an entry instance or opens one.
func (c *caller) connTo(entry int) (*conn, error) {
	address := c.entries[entry].Callers
	c.mu.Lock()
	for i, cn := range c.idle {
		if cn.RemoteAddr().String() == address {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			c.mu.Unlock()
			return cn, nil
		}
	}
	c.mu.Unlock()
	return dial(address)
}
