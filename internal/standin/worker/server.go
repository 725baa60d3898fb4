package worker

import (
	"fmt"
	"sync"
)

// Server hosts the workers of one process.
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

// Workers returns the workers in the order of their numbers.
func (s *Server) Workers() []*Worker { return s.workers }

// Close ends all workers at once. They stay in the instance list until their entries expire.
func (s *Server) Close() { s.each((*Worker).Kill) }

// Stop lets all workers leave in the planned way.
func (s *Server) Stop() { s.each((*Worker).Leave) }

func (s *Server) each(f func(*Worker)) {
	var wg sync.WaitGroup
	for _, w := range s.workers {
		wg.Go(func() { f(w) })
	}
	wg.Wait()
}
