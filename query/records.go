package query

import (
	"bytes"
	"container/heap"
	"slices"
)

// recordBytes is the size of one record. A shorter remainder at the end of a
// part is ignored.
const recordBytes = 16

// topRecords returns the greatest n records of the parts in descending order.
// Duplicates are kept.
func topRecords(parts [][]byte, n int) []byte {
	top := make(recordHeap, 0, n)
	for _, part := range parts {
		for len(part) >= recordBytes {
			r := part[:recordBytes]
			part = part[recordBytes:]
			switch {
			case len(top) < n:
				heap.Push(&top, r)
			case n > 0 && bytes.Compare(r, top[0]) > 0:
				top[0] = r
				heap.Fix(&top, 0)
			}
		}
	}
	slices.SortFunc(top, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(top)*recordBytes)
	for _, r := range top {
		out = append(out, r...)
	}
	return out
}

// recordHeap is a heap with the smallest record at its root.
type recordHeap [][]byte

func (r recordHeap) Len() int           { return len(r) }
func (r recordHeap) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }
func (r recordHeap) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *recordHeap) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop implements heap.Interface.
func (r *recordHeap) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
