package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/meter"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = time.Second
	// maxReplyBytes allows 200 bytes for each of 80,000 VMs, more than the number
	// expected in two years.
	maxReplyBytes = 16 << 20
)

type wireVM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Leaving bool   `json:"leaving"`
}

type wireReply struct {
	VMs []wireVM `json:"vms"`
}

// Reader polls the VM list and keeps the last valid reply.
type Reader struct {
	url      string
	client   *http.Client
	clock    clock.Clock
	interval time.Duration
	cancel   context.CancelFunc
	done     chan struct{}

	mu   sync.Mutex
	last List
	err  error
}

// Option configures a Reader.
type Option func(*Reader)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(r *Reader) { r.clock = c } }

// WithInterval sets the pause between two polls. The default is 1 s.
func WithInterval(d time.Duration) Option { return func(r *Reader) { r.interval = d } }

// NewReader returns a Reader of the list at base, for example
// "http://10.0.0.1:7001". Start begins the polling.
func NewReader(base string, opts ...Option) *Reader {
	r := &Reader{
		url: base + "/v1/vms",
		// The default transport would use the proxy settings of the environment.
		client:   &http.Client{Timeout: defaultTimeout, Transport: &http.Transport{}},
		clock:    clock.System{},
		interval: defaultInterval,
		done:     make(chan struct{}),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Start starts a goroutine that polls until Close. It must be called at most once.
func (r *Reader) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() {
		defer close(r.done)
		for {
			_ = r.Poll(ctx)
			if clock.Sleep(ctx, r.clock, r.interval) != nil {
				return
			}
		}
	}()
}

// Close stops polling and waits until a pending poll has ended.
func (r *Reader) Close() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
	r.client.CloseIdleConnections()
}

// List returns the last list that was read successfully.
func (r *Reader) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Err returns the error of the last poll, or nil if it succeeded.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Poll requests the list once. If that fails, the Reader keeps the last list.
func (r *Reader) Poll(ctx context.Context) error {
	// The age of the list counts from the request. Counted from the reply, a list
	// would look new after a pause of this VM during the request.
	requestedAt := r.clock.Boot()
	vms, err := r.fetch(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	if err != nil {
		meter.Count("vmlist.poll.failed", 1)
		return err
	}
	meter.Count("vmlist.poll.ok", 1)
	r.last = NewList(vms, requestedAt)
	return nil
}

func (r *Reader) fetch(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, fmt.Errorf("create VM list request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request VM list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list at %s: server returned status %d", r.url, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read VM list from %s: %w", r.url, err)
	}
	if len(data) > maxReplyBytes {
		return nil, fmt.Errorf("VM list at %s exceeds %d bytes", r.url, maxReplyBytes)
	}
	var reply wireReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("decode VM list from %s: %w", r.url, err)
	}
	vms := make([]VM, 0, len(reply.VMs))
	for _, v := range reply.VMs {
		vms = append(vms, NewVM(v.Name, v.Address, v.Domain, v.Leaving))
	}
	return vms, nil
}
