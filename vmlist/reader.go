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
	// maxReplyBytes is 200 bytes for each of 80,000 VMs, above the size in two years.
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

// Reader polls the VM list and keeps the last reply.
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

// Option changes how NewReader builds a Reader.
type Option func(*Reader)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(r *Reader) { r.clock = c } }

// WithInterval sets the pause between two polls.
func WithInterval(d time.Duration) Option { return func(r *Reader) { r.interval = d } }

// NewReader returns a Reader of the list at base, for example
// "http://10.0.0.1:7001". It polls after Start.
func NewReader(base string, opts ...Option) *Reader {
	r := &Reader{
		url: base + "/v1/vms",
		// A transport of its own, because the default one obeys the proxy
		// settings of the environment.
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

// Start begins to poll. It is called once.
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

// Close stops polling and waits for a pending poll to end.
func (r *Reader) Close() {
	if r.cancel == nil {
		return
	}
	r.cancel()
	<-r.done
	r.client.CloseIdleConnections()
}

// List returns the last list that was read.
func (r *Reader) List() List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// Err returns the error of the last poll, nil when it succeeded.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Poll reads the list once. The last list is kept when it fails.
func (r *Reader) Poll(ctx context.Context) error {
	// The time of the reply would make a list look new when this VM was paused
	// while it waited.
	asked := r.clock.Boot()
	vms, err := r.read(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	if err != nil {
		meter.Count("vmlist.poll.failed", 1)
		return err
	}
	meter.Count("vmlist.poll.ok", 1)
	r.last = NewList(vms, asked)
	return nil
}

func (r *Reader) read(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return nil, fmt.Errorf("VM list request: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("VM list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("VM list %s: status %d", r.url, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("VM list %s: %w", r.url, err)
	}
	if len(data) > maxReplyBytes {
		return nil, fmt.Errorf("VM list %s exceeds %d bytes", r.url, maxReplyBytes)
	}
	var reply wireReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("VM list %s: %w", r.url, err)
	}
	vms := make([]VM, 0, len(reply.VMs))
	for _, v := range reply.VMs {
		vms = append(vms, NewVM(v.Name, v.Address, v.Domain, v.Leaving))
	}
	return vms, nil
}
