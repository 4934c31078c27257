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

// book holds the addresses that a daemon returned, for as long as it permits.
type book struct {
	client *http.Client
	seeds  []string

	mu      sync.Mutex
	targets []target
	until   time.Time
	next    int
}

// pick returns the next target in turn, and one other if there is one.
func (b *book) pick(ctx context.Context) (first, other target, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.until) {
		err = b.refreshLocked(ctx)
	}
	if len(b.targets) == 0 {
		return target{}, target{}, fmt.Errorf("no addresses: %w", err)
	}
	b.next++
	n := len(b.targets)
	return b.targets[b.next%n], b.targets[(b.next+1)%n], nil
}

// expire asks for addresses again before the next request.
func (b *book) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.until = time.Time{}
}

// refreshLocked asks the known daemons, then the seeds. The old addresses stay
// when none answers.
func (b *book) refreshLocked(ctx context.Context) error {
	var asked []string
	for _, t := range b.targets {
		asked = append(asked, t.address)
	}
	var last error
	for _, address := range append(asked, b.seeds...) {
		reply, err := b.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		b.targets = b.targets[:0]
		for _, a := range reply.Addresses {
			b.targets = append(b.targets, target{
				address: a.Address,
				ticket:  wireTicket{Incarnation: a.Incarnation, IssuedMS: reply.IssuedMS},
			})
		}
		b.until = time.Now().Add(time.Duration(reply.KeepMS) * time.Millisecond)
		return nil
	}
	return last
}

func (b *book) ask(ctx context.Context, address string) (wireAddresses, error) {
	var reply wireAddresses
	ctx, cancel := context.WithTimeout(ctx, time.Second)
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
