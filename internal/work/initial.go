package work

// InitialMilliCPU returns the processors, in thousandths of a core, that the tasks of a job request which depend on no other step.
func (j *Job) InitialMilliCPU() int {
	sum := 0
	for i := range j.Steps {
		if s := &j.Steps[i]; len(s.DependsOn) == 0 {
			sum += s.Count * s.Size.MilliCPU
		}
	}
	return sum
}
