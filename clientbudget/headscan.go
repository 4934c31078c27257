package clientbudget

import "bytes"

// headScan finds the end of a head that is read in pieces of any size.
type headScan struct {
	bytes   int  // Bytes of the head so far.
	started bool // A line that is not empty has begun; empty lines may precede it.
	empty   bool // The current line is empty so far.
	ended   bool
}

func newHeadScan() headScan { return headScan{empty: true} }

// add reads the next bytes and returns the number of complete lines among them,
// including those after the end of the head.
func (s *headScan) add(p []byte) (lines int) {
	for len(p) > 0 && !s.ended {
		end := bytes.IndexByte(p, '\n')
		line := p
		if end >= 0 {
			line = p[:end+1]
		}
		s.bytes += len(line)
		p = p[len(line):]
		if line[0] != '\n' && (line[0] != '\r' || len(line) > 1 && line[1] != '\n') {
			s.started, s.empty = true, false
		}
		if end >= 0 {
			lines++
			s.ended = s.started && s.empty
			s.empty = true
		}
	}
	return lines + bytes.Count(p, []byte{'\n'})
}
