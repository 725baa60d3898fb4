package bench

import (
	"fmt"
	"strconv"
	"time"

	"github.com/savorypass/savorypass/internal/result"
)

const (
	overheadRunTime = 5 * time.Millisecond
	maxOverheadMS   = 1.0 // bound of the overhead's median
)

// Overhead measures the time that dispatching adds to a task: it alternates jobs of one task at low load with the same call
// made directly to a worker. It submits jobs both to their home, the entry instance that issued the job's identity, and to
// another instance, which forwards them. It also measures the network time, as that of a direct call whose task takes no time.
func (r *Run) Overhead() error {
	direct, network := newHistogram(), newHistogram()
	rows := []Row{}
	values := map[*Cluster][2]float64{} // overhead in ms through the home and through another instance
	for _, c := range r.clusters() {
		home, other := newHistogram(), newHistogram()
		x := newCaller(c.Teams[0].Tokens[0], c.Entries, r.Seed)
		worker, err := dial(c.Workers[0])
		if err != nil {
			return err
		}
		for i := range r.Extent.OverheadCalls {
			d, err := directCall(worker, fmt.Sprintf("direct-%d", i), overheadRunTime)
			if err != nil {
				return err
			}
			n, err := directCall(worker, fmt.Sprintf("network-%d", i), 0)
			if err != nil {
				return err
			}
			addTime(direct, d)
			addTime(network, n)
			for _, otherInstance := range []bool{false, true} {
				d, err := x.dispatchedCall(otherInstance)
				if err != nil {
					return err
				}
				if otherInstance {
					addTime(other, d)
					continue
				}
				addTime(home, d)
			}
		}
		x.close()
		worker.Close()
		base := percentileMS(direct, 50)
		values[c] = [2]float64{percentileMS(home, 50) - base, percentileMS(other, 50) - base}
		r.Logf("overhead, %s: direct p50 %.2f ms, at the home p50 %.2f p99 %.2f ms, through another instance p50 %.2f p99 %.2f ms",
			c.Name, base, percentileMS(home, 50), percentileMS(home, 99), percentileMS(other, 50), percentileMS(other, 99))
	}
	r.network = time.Duration(network.ValueAtPercentile(50)) * time.Microsecond
	for i, name := range []string{"submitted to its home, p50", "submitted to another instance, p50"} {
		rows = append(rows, Row{
			Measure: "overhead per task", Case: name, Unit: "ms", Value: finite(values[r.Fair][i]), Naive: finite(values[r.Naive][i]),
		})
	}
	rows[0].Max = finite(maxOverheadMS)
	rows[0].Note = fmt.Sprintf("direct call with %v of work: p50 %.2f ms", overheadRunTime, percentileMS(direct, 50))
	rows[1].Max = finite(maxOverheadMS)
	return appendRows(r.Out, rows...)
}

func payload(run time.Duration) string {
	return `{"run_ms":` + strconv.FormatInt(run.Milliseconds(), 10) + `,"output":"x"}`
}

// directCall runs a task directly on a worker and returns the time until its response.
func directCall(c *conn, task string, run time.Duration) (time.Duration, error) {
	begin := time.Now()
	status, body, err := c.exchange("POST", "/run", "X-Task: "+task+"\r\nX-Lease-Ms: 5000\r\n", []byte(payload(run)))
	if err == nil && status != 200 {
		err = fmt.Errorf("worker answered with status %d: %.100s", status, body)
	}
	return time.Since(begin), err
}

// dispatchedCall runs a job of one task and returns the time until its answer. With otherInstance it submits the job to
// another instance than the one that issued its identity.
func (c *caller) dispatchedCall(otherInstance bool) (time.Duration, error) {
	cn, id, err := c.connAndIdentity(otherInstance)
	if err != nil {
		return 0, err
	}
	body := fmt.Sprintf(`{"identity":%q,"service":%q,"idempotent":true,"tasks":[{"payload":%q,"run_time_ms":%d,"cores":1,"memory_mb":512}]}`,
		id, plainService, payload(overheadRunTime), overheadRunTime.Milliseconds())
	begin := time.Now()
	a, err := c.requestOn(cn, "POST", submitPath, []byte(body))
	took := time.Since(begin)
	if err == nil && a.Code != int(result.Complete) {
		err = fmt.Errorf("expected a complete answer, got %v: %s", result.Code(a.Code), a.Message)
	}
	return took, err
}

// connAndIdentity returns a connection and an identity that the instance at the other end has issued, or, with otherInstance,
// one that another instance has issued.
func (c *caller) connAndIdentity(otherInstance bool) (*conn, string, error) {
	home := 0
	target := home
	if otherInstance && len(c.entries) > 1 {
		target = 1
	}
	from, err := c.connTo(home)
	if err != nil {
		return nil, "", err
	}
	if len(from.identities) == 0 {
		if err := c.fetchIdentities(from); err != nil {
			return nil, "", err
		}
	}
	id := from.identities[0]
	from.identities = from.identities[1:]
	if target == home {
		return from, id, nil
	}
	c.release(from)
	to, err := c.connTo(target)
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
