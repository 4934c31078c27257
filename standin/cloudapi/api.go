package cloudapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Call is one report as received.
type Call struct {
	Holder string
	Token  uint64
	Window int64
	Counts map[string]int64
	At     time.Time
}

// API is a cloud API in memory. It is safe for concurrent use.
type API struct {
	lease         time.Duration
	token, holder string // Names of header fields.

	mu         sync.Mutex
	fault      Fault
	calls      []Call
	reports    map[int64]map[string]int64
	holders    map[uint64]string
	refused    int
	violations []string
}

// Fault is a failure mode of the API.
type Fault int

// The faults.
const (
	Healthy         Fault = iota
	Down                  // Every call is answered with 503 and not recorded.
	Throttling            // Every call is answered with 429 and not recorded.
	DroppingReplies       // Every call is recorded, and its connection closed without an answer.
	Hanging               // Every call is recorded and stays without an answer.
)

// New returns an API for duties with the given lease. Calls name the fencing token and the
// holder of the duty in the header fields with the given names.
func New(lease time.Duration, token, holder string) *API {
	return &API{lease: lease, token: token, holder: holder, reports: make(map[int64]map[string]int64), holders: make(map[uint64]string)}
}

// Inject replaces the fault that applies to later calls.
func (a *API) Inject(f Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = f
}

// ServeHTTP serves usage reports.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var report struct {
		Window int64            `json:"window"`
		Counts map[string]int64 `json:"counts"`
	}
	token, err := strconv.ParseUint(r.Header.Get(a.token), 10, 64)
	holder := r.Header.Get(a.holder)
	if r.Method != http.MethodPost || r.URL.Path != "/usage" || err != nil || holder == "" ||
		json.NewDecoder(r.Body).Decode(&report) != nil || report.Counts == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch a.record(Call{Holder: holder, Token: token, Window: report.Window, Counts: report.Counts, At: time.Now()}) {
	case Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case Throttling:
		w.WriteHeader(http.StatusTooManyRequests)
	case DroppingReplies:
		panic(http.ErrAbortHandler)
	case Hanging:
		<-r.Context().Done()
	case Healthy:
		w.WriteHeader(http.StatusOK)
	}
}

// record checks and records a call, and returns the fault that applies to it. The
// rules for tokens and holders apply to refused calls too.
func (a *API) record(c Call) Fault {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h, ok := a.holders[c.Token]; ok && h != c.Holder {
		a.violate("token %d of %s and %s", c.Token, h, c.Holder)
	}
	a.holders[c.Token] = c.Holder
	if n := len(a.calls); n > 0 {
		if last := a.calls[n-1]; c.Token < last.Token {
			a.violate("token %d of %s after %d of %s", c.Token, c.Holder, last.Token, last.Holder)
		}
		a.checkReturn(c)
	}
	a.calls = append(a.calls, c)
	if a.fault == Down || a.fault == Throttling {
		a.refused++
		return a.fault
	}
	if previous, ok := a.reports[c.Window]; !ok {
		a.reports[c.Window] = c.Counts
	} else if !maps.Equal(previous, c.Counts) {
		a.violate("window %d with %v and %v", c.Window, previous, c.Counts)
	}
	return a.fault
}

// checkReturn checks that the holder of c was not followed by another one within
// the lease before c.
func (a *API) checkReturn(c Call) {
	other := false
	for i := len(a.calls) - 1; i >= 0 && c.At.Sub(a.calls[i].At) <= a.lease; i-- {
		if a.calls[i].Holder != c.Holder {
			other = true
		} else if other {
			a.violate("%s returned within %v", c.Holder, c.At.Sub(a.calls[i].At))
			return
		}
	}
}

func (a *API) violate(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// Violations returns the rules that were broken.
func (a *API) Violations() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.violations...)
}

// Reports returns the counts by window of all reports that were accepted.
func (a *API) Reports() map[int64]map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.reports)
}

// Calls returns all calls in the order of their arrival.
func (a *API) Calls() []Call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Call(nil), a.calls...)
}

// Refused returns the number of calls that were refused.
func (a *API) Refused() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refused
}
