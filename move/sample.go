package move

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Latencies are recorded in microseconds, up to maxLatency, with one significant
// figure: 3 kB per histogram. Two figures took 7 times the memory and time in
// the controller, and a guard compares latencies by a ratio far above 10%.
const (
	minLatency         = 1
	maxLatency         = 60_000_000
	significantFigures = 1
)

// Sample counts the requests that one version answered on one route.
type Sample struct {
	requests uint64
	errors   uint64
	latency  *hdrhistogram.Histogram
}

// NewSample returns an empty Sample.
func NewSample() *Sample {
	return &Sample{latency: hdrhistogram.New(minLatency, maxLatency, significantFigures)}
}

// DecodeSample rebuilds a Sample from its counts and an encoded histogram.
func DecodeSample(requests, errors uint64, latency []byte) (*Sample, error) {
	if len(latency) == 0 {
		return SampleOf(requests, errors, NewSample().latency)
	}
	h, err := hdrhistogram.Decode(latency)
	if err != nil {
		return nil, eris.Wrap(err, "decode latency histogram")
	}
	if !sameShape(h) {
		return nil, eris.New("latency histogram has another range or precision")
	}
	return SampleOf(requests, errors, h)
}

// SampleOf returns a Sample with counts and latencies that were recorded
// elsewhere, in microseconds.
func SampleOf(requests, errors uint64, latency *hdrhistogram.Histogram) (*Sample, error) {
	s := NewSample()
	if errors > requests {
		return nil, eris.Errorf("%d errors exceed %d requests", errors, requests)
	}
	s.requests, s.errors = requests, errors
	s.latency.Merge(latency)
	return s, nil
}

// Requests returns the number of requests.
func (s *Sample) Requests() uint64 { return s.requests }

// Errors returns the number of requests that failed.
func (s *Sample) Errors() uint64 { return s.errors }

// Record adds one request with its latency in microseconds.
func (s *Sample) Record(latencyUs int64, failed bool) {
	s.requests++
	if failed {
		s.errors++
		return
	}
	_ = s.latency.RecordValue(max(minLatency, min(latencyUs, maxLatency)))
}

// Add adds the counts of o to s.
func (s *Sample) Add(o *Sample) {
	s.requests += o.requests
	s.errors += o.errors
	s.latency.Merge(o.latency)
}

// Since returns what s counts beyond the earlier sample of the same source. A
// source that restarted counts from zero again, so its whole sample is new.
func (s *Sample) Since(earlier *Sample) *Sample {
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

// Clone returns an independent copy.
func (s *Sample) Clone() *Sample {
	c := NewSample()
	c.Add(s)
	return c
}

// Quantile returns the latency in microseconds below which the fraction q of
// the successful requests lies.
func (s *Sample) Quantile(q float64) int64 { return s.latency.ValueAtQuantile(q * 100) }

// Slower returns how many successful requests took longer than limitUs.
func (s *Sample) Slower(limitUs int64) uint64 {
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

// sameShape reports whether the counts of h can be subtracted from those of
// this package's histograms.
func sameShape(h *hdrhistogram.Histogram) bool {
	return h.LowestTrackableValue() == minLatency && h.HighestTrackableValue() == maxLatency &&
		h.SignificantFigures() == significantFigures
}
