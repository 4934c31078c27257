package query

import (
	"bytes"
	"container/heap"
	"slices"
)

// recordBytes is the size of one record. A shorter rest of a part is no record.
const recordBytes = 16

// topRecords returns the greatest n records of the parts, the greatest first.
// Equal records all count.
func topRecords(parts [][]byte, n int) []byte {
	least := make(records, 0, n)
	for _, part := range parts {
		for len(part) >= recordBytes {
			r := part[:recordBytes]
			part = part[recordBytes:]
			switch {
			case len(least) < n:
				heap.Push(&least, r)
			case n > 0 && bytes.Compare(r, least[0]) > 0:
				least[0] = r
				heap.Fix(&least, 0)
			}
		}
	}
	slices.SortFunc(least, func(a, b []byte) int { return bytes.Compare(b, a) })
	out := make([]byte, 0, len(least)*recordBytes)
	for _, r := range least {
		out = append(out, r...)
	}
	return out
}

// records is a heap with the least record at its root.
type records [][]byte

func (r records) Len() int           { return len(r) }
func (r records) Less(i, j int) bool { return bytes.Compare(r[i], r[j]) < 0 }
func (r records) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *records) Push(x any) { *r = append(*r, x.([]byte)) }

// Pop implements heap.Interface.
func (r *records) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}
