package gateway

import "github.com/savorypass/savorypass/internal/server"

// Close makes the gateway refuse all new jobs. Pending jobs are still answered.
func (g *Gateway) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// EndPending cancels all jobs that have not been answered and responds to all requests that wait: the process is about to end. From then on
// cancels, and requests for stored jobs, are answered without waiting for other instances or the store; Close makes jobs be refused.
func (g *Gateway) EndPending() {
	g.endJobs()
	for _, w := range g.cancelled.close() {
		g.refuseStoppedSearch(w.exchange)
	}
	g.end()
}

func (g *Gateway) endJobs() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.jobs {
		g.giveUp(p, outcomeStopped, "the instance stops before the job has ended; it may have run")
	}
}

// refuseStoppedSearch responds to a cancel whose job this instance does not look for any more.
func (g *Gateway) refuseStoppedSearch(x *server.Exchange) {
	g.refuse(x, 503, "the instance stops before all instances have been asked for the job", retryStopping)
}
