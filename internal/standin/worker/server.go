package worker

import (
	"fmt"
	"sync"
)

// Server runs the workers of one process.
type Server struct {
	workers []*Worker
}

// Start starts Options.Count workers.
func Start(o Options) (*Server, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	s := &Server{}
	for i := range o.Count {
		w, err := startWorker(&o, i, workerName(&o, i))
		if err != nil {
			s.Close()
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	return s, nil
}

func workerName(o *Options, i int) string {
	if o.Count == 1 {
		return o.Name
	}
	return fmt.Sprintf("%s-%d", o.Name, i)
}

// Workers returns the workers, worker 0 first.
func (s *Server) Workers() []*Worker { return s.workers }

// Close ends all workers at once, as Worker.Kill does.
func (s *Server) Close() { s.forEach((*Worker).Kill) }

// Stop shuts all workers down in the planned way, as Worker.Leave does.
func (s *Server) Stop() { s.forEach((*Worker).Leave) }

func (s *Server) forEach(f func(*Worker)) {
	var wg sync.WaitGroup
	for _, w := range s.workers {
		wg.Go(func() { f(w) })
	}
	wg.Wait()
}
