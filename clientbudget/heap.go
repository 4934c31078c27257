package clientbudget

// HeapFull returns a function that reports whether the heap of the process exceeds
// the limit of a VM with the given memory. It never does if the memory is not known.
func HeapFull(memory int64) func() bool {
	if memory <= 0 {
		return func() bool { return false }
	}
	limit := HeapLimit(memory)
	return func() bool { return heapSize() > limit }
}
