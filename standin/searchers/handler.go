package searchers

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// maxBodyBytes is the size limit of a request body.
const maxBodyBytes = 1 << 20

type wireSnapshot struct {
	Snapshot  uint64 `json:"snapshot"`
	Map       string `json:"map"`
	Low       uint64 `json:"low"`
	High      uint64 `json:"high"`
	Documents uint64 `json:"documents"`
	Total     uint64 `json:"total"`
}

type wireReply struct {
	ID    string `json:"id"`
	Shard string `json:"shard"`
	wireSnapshot
	Version string     `json:"version"`
	Hits    []Hit      `json:"hits"`
	Body    *runResult `json:"body,omitempty"`
}

// runResult is the reply body of a non-idempotent request. Ran is the request body.
type runResult struct {
	Searcher string `json:"searcher"`
	Ran      string `json:"ran"`
}

// stateCold is the state in the health replies of a searcher in a cold start.
const stateCold = "cold"

type wireHealth struct {
	State     string         `json:"state"`
	Version   string         `json:"version"`
	Boot      string         `json:"boot"`
	InFlight  int            `json:"inflight"`
	Shard     string         `json:"shard"`
	Snapshots []wireSnapshot `json:"snapshots"`
}

func (s *Searcher) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search", func(w http.ResponseWriter, r *http.Request) { s.serveCall(w, r, false) })
	mux.HandleFunc("POST /v1/run", func(w http.ResponseWriter, r *http.Request) { s.serveCall(w, r, true) })
	mux.HandleFunc("POST /v1/cancel", s.serveCancel)
	mux.HandleFunc("GET /v1/health", s.serveHealth)
	return mux
}

func (s *Searcher) serveCall(w http.ResponseWriter, r *http.Request, nonIdempotent bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c := newCall(r, nonIdempotent, body, s.clock)
	defer c.cancel(nil)
	o := s.perform(c)
	if o.noReply {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	w.Header().Set("X-Boot", s.bootIDLocked())
	f := s.faults
	s.mu.Unlock()
	if o != outcomeOK {
		w.Header().Set("X-Request-Id", c.id)
		if o.reason != "" {
			w.Header().Set("X-Ran", "no")
			w.Header().Set("X-Reason", o.reason)
		}
		http.Error(w, http.StatusText(o.status), o.status)
		return
	}
	s.writeReply(w, s.newReply(c, f), f)
}

func (s *Searcher) serveCancel(_ http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.calls {
		if c.id == id {
			c.cancel(errCancelled)
		}
	}
}

func (s *Searcher) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	h := wireHealth{
		State:     s.stateLocked(),
		Version:   s.cfg.Version,
		Boot:      s.bootIDLocked(),
		InFlight:  s.inFlight,
		Shard:     s.cfg.Shard,
		Snapshots: []wireSnapshot{},
	}
	if h.State == stateCold {
		s.recordColdSignLocked()
	}
	held := s.snapshots
	s.mu.Unlock()
	for _, snapshot := range held {
		h.Snapshots = append(h.Snapshots, s.describeSnapshot(snapshot))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h)
}

func (s *Searcher) stateLocked() string {
	switch {
	case s.faults.Health != "":
		return s.faults.Health
	case s.draining:
		return "draining"
	case s.cold:
		return stateCold
	default:
		return "ready"
	}
}

func (s *Searcher) keyRange(h HeldSnapshot) Range {
	low, high := PartitionMap{Layout: h.Layout, Shards: s.cfg.Shards}.Range(s.cfg.Index)
	return Range{Low: low, High: high}
}

func (s *Searcher) describeSnapshot(h HeldSnapshot) wireSnapshot {
	r := s.keyRange(h)
	return wireSnapshot{
		Snapshot:  h.Snapshot,
		Map:       PartitionMap{Layout: h.Layout, Shards: s.cfg.Shards}.ID(),
		Low:       r.Low,
		High:      r.High,
		Documents: s.corpus.Count(h.Snapshot, r),
		Total:     s.corpus.Total(h.Snapshot),
	}
}

func (s *Searcher) newReply(c *call, f Faults) wireReply {
	p := wireReply{ID: c.id, Shard: s.cfg.Shard, wireSnapshot: s.describeSnapshot(c.held), Version: s.cfg.Version, Hits: []Hit{}}
	if c.nonIdempotent {
		p.Body = &runResult{Searcher: s.cfg.Name, Ran: string(c.body)}
	} else {
		p.Hits = s.corpus.Search(c.held.Snapshot, []Range{s.keyRange(c.held)}, c.body, c.limit)
	}
	if s.randomFault(f.Mislabel) {
		p = mislabel(p, f.MislabelField)
	}
	return p
}

func mislabel(p wireReply, field string) wireReply {
	switch field {
	case "id":
		p.ID = "other-" + p.ID
	case "shard":
		p.Shard = "other-" + p.Shard
	case "map":
		p.Map = "other-" + p.Map
	case "range":
		p.Low, p.High = p.High, p.High+(p.High-p.Low)
	default:
		p.Snapshot++
	}
	return p
}

func (s *Searcher) writeReply(w http.ResponseWriter, p wireReply, f Faults) {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	switch {
	case s.randomFault(f.Truncate):
		_, _ = w.Write(data[:len(data)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case s.randomFault(f.Duplicate):
		writeTwice(w, data)
	default:
		_, _ = w.Write(data)
	}
}

// writeTwice sends the reply twice and keeps the connection open, so that a client
// that reuses the connection reads the second copy as its next reply.
func writeTwice(w http.ResponseWriter, data []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n\r\n"
	reply := append([]byte(head), data...)
	if _, err := c.Write(append(reply, reply...)); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}
