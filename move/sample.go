package move

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Range and precision of the latency histograms. One significant figure takes 3 kB
// per histogram and suffices, because a guard compares latencies by a ratio far
// above 10%. Two figures take 7 times the memory and time in the controller.
const (
	minLatencyUs       = 1
	maxLatencyUs       = 60_000_000
	significantFigures = 1
)

// Sample holds request counts and a latency histogram of one version on one route.
// The histogram contains the successful requests only.
type Sample struct {
	requests uint64
	errors   uint64
	latency  *hdrhistogram.Histogram
}

// NewSample returns an empty Sample.
func NewSample() *Sample {
	return &Sample{latency: hdrhistogram.New(minLatencyUs, maxLatencyUs, significantFigures)}
}

// DecodeSample returns a Sample with the given counts and a histogram encoded by
// Encode. An empty histogram stands for one without values. It fails if the
// histogram cannot be decoded or has a different range or precision, or if there
// are more errors than requests.
func DecodeSample(requests, errors uint64, latency []byte) (*Sample, error) {
	if len(latency) == 0 {
		return SampleOf(requests, errors, NewSample().latency)
	}
	h, err := hdrhistogram.Decode(latency)
	if err != nil {
		return nil, eris.Wrap(err, "decode latency histogram")
	}
	if !isCompatible(h) {
		return nil, eris.New("latency histogram has a different range or precision")
	}
	return SampleOf(requests, errors, h)
}

// SampleOf returns a Sample with the given counts and a copy of a histogram of
// latencies in microseconds. It fails if there are more errors than requests.
func SampleOf(requests, errors uint64, latency *hdrhistogram.Histogram) (*Sample, error) {
	s := NewSample()
	if errors > requests {
		return nil, eris.Errorf("sample has more errors (%d) than requests (%d)", errors, requests)
	}
	s.requests, s.errors = requests, errors
	s.latency.Merge(latency)
	return s, nil
}

// Requests returns the number of requests, failed ones included.
func (s *Sample) Requests() uint64 { return s.requests }

// Errors returns the number of requests that failed.
func (s *Sample) Errors() uint64 { return s.errors }

// Record adds one request with its latency in microseconds. The latency of a
// failed request is ignored.
func (s *Sample) Record(latencyUs int64, failed bool) {
	s.requests++
	if failed {
		s.errors++
		return
	}
	_ = s.latency.RecordValue(max(minLatencyUs, min(latencyUs, maxLatencyUs)))
}

// Add adds the counts of o to s.
func (s *Sample) Add(o *Sample) {
	s.requests += o.requests
	s.errors += o.errors
	s.latency.Merge(o.latency)
}

// Delta returns the counts of s minus those of an earlier sample of the same
// source. If s counts less than the earlier sample, the source has restarted from
// zero and Delta returns all of s.
func (s *Sample) Delta(earlier *Sample) *Sample {
	if earlier == nil || s.requests < earlier.requests || s.errors < earlier.errors {
		return s.Clone()
	}
	d := NewSample()
	d.requests = s.requests - earlier.requests
	d.errors = s.errors - earlier.errors
	counts, before := s.latency.Export(), earlier.latency.Export()
	for i, n := range before.Counts {
		counts.Counts[i] -= n
	}
	d.latency = hdrhistogram.Import(counts)
	return d
}

// Clone returns a deep copy of s.
func (s *Sample) Clone() *Sample {
	c := NewSample()
	c.Add(s)
	return c
}

// Quantile returns the latency in microseconds below which the fraction q of
// the successful requests lies.
func (s *Sample) Quantile(q float64) int64 { return s.latency.ValueAtQuantile(q * 100) }

// CountSlower returns the number of successful requests that took longer than
// limitUs microseconds.
func (s *Sample) CountSlower(limitUs int64) uint64 {
	var n int64
	for _, b := range s.latency.Distribution() {
		if b.From > limitUs {
			n += b.Count
		}
	}
	return uint64(n)
}

// Encode returns the latency histogram in its compressed form.
func (s *Sample) Encode() ([]byte, error) {
	b, err := s.latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	return b, eris.Wrap(err, "encode latency histogram")
}

// isCompatible reports whether h has the range and precision of this package's
// histograms, so that their counts can be added and subtracted.
func isCompatible(h *hdrhistogram.Histogram) bool {
	return h.LowestTrackableValue() == minLatencyUs && h.HighestTrackableValue() == maxLatencyUs &&
		h.SignificantFigures() == significantFigures
}
