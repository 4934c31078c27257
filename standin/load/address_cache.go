package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// endpoint is the address of one daemon and the ticket for non-idempotent
// requests to it.
type endpoint struct {
	address string
	ticket  wireTicket
}

// addressTimeout bounds one address request. It is short because requests may
// wait for addresses while a daemon does not reply.
const addressTimeout = 250 * time.Millisecond

// addressCache caches the addresses that a daemon returned for the time that the
// reply states (keep_ms), and refreshes them in the background after half of
// that time.
type addressCache struct {
	client *http.Client
	seeds  []string

	mu          sync.Mutex
	endpoints   []endpoint
	refreshAt   time.Time
	expiresAt   time.Time
	next        int
	refreshDone chan struct{} // Closed when the pending refresh ends; nil if none is pending.
	lastErr     error
}

// pick returns the next endpoint in round-robin order and the one after it, which
// is the same if there is only one. If the addresses have expired, it waits for
// the refresh.
func (c *addressCache) pick(ctx context.Context) (first, second endpoint, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.After(c.refreshAt) && c.refreshDone == nil {
		c.refreshDone = make(chan struct{})
		go c.refresh(ctx, c.candidatesLocked())
	}
	if now.After(c.expiresAt) && c.refreshDone != nil {
		done := c.refreshDone
		c.mu.Unlock()
		<-done
		c.mu.Lock()
	}
	if len(c.endpoints) == 0 {
		return endpoint{}, endpoint{}, fmt.Errorf("no daemon returned addresses: %w", c.lastErr)
	}
	c.next++
	n := len(c.endpoints)
	return c.endpoints[c.next%n], c.endpoints[(c.next+1)%n], nil
}

// expire makes the next pick refresh the addresses first.
func (c *addressCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshAt, c.expiresAt = time.Time{}, time.Time{}
}

// candidatesLocked returns the daemons to request addresses from: the cached
// ones, starting at the round-robin position, then the seeds.
func (c *addressCache) candidatesLocked() []string {
	var candidates []string
	for i := range c.endpoints {
		candidates = append(candidates, c.endpoints[(c.next+i)%len(c.endpoints)].address)
	}
	return append(candidates, c.seeds...)
}

// refresh requests addresses from the candidates until one daemon replies. If
// none does, the previous addresses stay.
func (c *addressCache) refresh(ctx context.Context, candidates []string) {
	var reply wireAddresses
	var err error
	for _, address := range candidates {
		if reply, err = c.fetchAddresses(ctx, address); err == nil {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.refreshDone)
	c.refreshDone, c.lastErr = nil, err
	if err != nil {
		return
	}
	c.endpoints = nil
	for _, a := range reply.Addresses {
		c.endpoints = append(c.endpoints, endpoint{
			address: a.Address,
			ticket:  wireTicket{Incarnation: a.Incarnation, IssuedMS: reply.IssuedMS},
		})
	}
	now, keep := time.Now(), time.Duration(reply.KeepMS)*time.Millisecond
	c.refreshAt, c.expiresAt = now.Add(keep/2), now.Add(keep)
}

func (c *addressCache) fetchAddresses(ctx context.Context, address string) (wireAddresses, error) {
	var reply wireAddresses
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return reply, err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("addresses from %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return reply, fmt.Errorf("decode addresses from %s: %w", address, err)
	}
	if len(reply.Addresses) == 0 {
		return reply, fmt.Errorf("addresses from %s: the list is empty", address)
	}
	return reply, nil
}
