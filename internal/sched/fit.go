package sched

// Fits reports whether need is at most have in every dimension.
func Fits(need, have Size) bool {
	return need.Cores <= have.Cores && need.MemoryMB <= have.MemoryMB && need.Accelerators <= have.Accelerators
}
