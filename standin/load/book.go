package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// target is one daemon with the ticket for non-idempotent requests to it.
type target struct {
	address string
	ticket  wireTicket
}

// askTimeout lets a caller pass over a silent daemon soon, because requests may
// wait for addresses.
const askTimeout = 250 * time.Millisecond

// book holds the addresses that a daemon returned, for as long as it permits,
// and asks again in the background after half of that time.
type book struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	targets []target
	renewAt time.Time
	until   time.Time
	next    int
	renewal chan struct{} // Closed when the pending renewal ends, nil without one.
	last    error
}

// pick returns the next target in turn, and another one if there is one.
func (b *book) pick(ctx context.Context) (first, other target, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.After(b.renewAt) && b.renewal == nil {
		b.renewal = make(chan struct{})
		go b.renew(ctx, b.candidatesLocked())
	}
	if now.After(b.until) && b.renewal != nil {
		renewal := b.renewal
		b.mu.Unlock()
		<-renewal
		b.mu.Lock()
	}
	if len(b.targets) == 0 {
		return target{}, target{}, fmt.Errorf("no addresses: %w", b.last)
	}
	b.next++
	n := len(b.targets)
	return b.targets[b.next%n], b.targets[(b.next+1)%n], nil
}

// expire asks for addresses again before the next request.
func (b *book) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.renewAt, b.until = time.Time{}, time.Time{}
}

// candidatesLocked are the daemons to ask: the known ones, another first each
// time, then the seeds.
func (b *book) candidatesLocked() []string {
	var asked []string
	for i := range b.targets {
		asked = append(asked, b.targets[(b.next+i)%len(b.targets)].address)
	}
	return append(asked, b.seeds...)
}

// renew asks until one daemon answers. The old addresses stay when none does.
func (b *book) renew(ctx context.Context, candidates []string) {
	var reply wireAddresses
	var err error
	for _, address := range candidates {
		if reply, err = b.ask(ctx, address); err == nil {
			break
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.renewal)
	b.renewal, b.last = nil, err
	if err != nil {
		return
	}
	b.targets = nil
	for _, a := range reply.Addresses {
		b.targets = append(b.targets, target{
			address: a.Address,
			ticket:  wireTicket{Incarnation: a.Incarnation, IssuedMS: reply.IssuedMS},
		})
	}
	now, keep := time.Now(), time.Duration(reply.KeepMS)*time.Millisecond
	b.renewAt, b.until = now.Add(keep/2), now.Add(keep)
}

func (b *book) ask(ctx context.Context, address string) (wireAddresses, error) {
	var reply wireAddresses
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return reply, err
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, fmt.Errorf("addresses from %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return reply, fmt.Errorf("addresses from %s: %w", address, err)
	}
	if len(reply.Addresses) == 0 {
		return reply, fmt.Errorf("addresses from %s: empty list", address)
	}
	return reply, nil
}
