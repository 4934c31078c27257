//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clients sends requests at a given rate to daemons that the directory names, on
// kept connections. Each attempt has its own ID and is not repeated.
type clients struct {
	world     *world
	http      *http.Client
	mu        sync.Mutex
	addresses [clientHosts][]string // Addresses that each host of clients has got.
	count     int
	wg        sync.WaitGroup
}

// clientHosts is the number of hosts on which clients run. Each asks the directory
// for itself.
const clientHosts = 12

var errNoAddress = errors.New("the directory names no address")

func newClients(w *world) *clients {
	return &clients{world: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}}}
}

// resolve asks the directory for each host. It reports whether all have addresses.
func (c *clients) resolve() bool {
	ok := true
	for h := range clientHosts {
		ok = c.resolveHost(h) && ok
	}
	return ok
}

func (c *clients) resolveHost(h int) bool {
	for _, i := range rand.Perm(len(c.world.daemons)) {
		client := &http.Client{Timeout: time.Second}
		resp, err := client.Get("http://" + c.world.daemons[i].directory() + "/api/resolve?name=" + host + "&region=r&zone=" + c.world.zones[0])
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		client.CloseIdleConnections()
		if err == nil && resp.StatusCode == http.StatusOK && len(a.Addresses) > 0 {
			c.mu.Lock()
			c.addresses[h] = a.Addresses
			c.mu.Unlock()
			return true
		}
	}
	return false
}

// run sends perSecond requests a second until ctx ends, and then waits for the
// answers. PostShare is the share of those that may run at most once.
func (c *clients) run(ctx context.Context, prefix string, perSecond, postShare float64, deadline time.Duration) {
	go func() {
		for ctx.Err() == nil {
			time.Sleep(2 * time.Second)
			c.resolve()
		}
	}()
	next := time.Now()
	for ctx.Err() == nil {
		next = next.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		time.Sleep(time.Until(next))
		c.mu.Lock()
		c.count++
		id := fmt.Sprintf("%s%06d", prefix, c.count)
		addresses := c.addresses[rand.Intn(clientHosts)]
		address := addresses[rand.Intn(len(addresses))]
		c.mu.Unlock()
		post := rand.Float64() < postShare
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.send(address, id, post, deadline)
		}()
	}
	c.wg.Wait()
}

func (c *clients) send(address, id string, post bool, deadline time.Duration) {
	method, path, body := http.MethodGet, "/find/"+id, io.Reader(nil)
	if post {
		method, path, body = http.MethodPost, "/play/"+id, io.Reader(strings.NewReader("song "+id))
	}
	a := answer{daemon: address, post: post}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.reused = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err == nil {
		req.GetBody = nil
		req.Host = host
		req.Header.Set("X-Medlaryard-Request-Id", id)
		req.Header.Set("X-Medlaryard-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		c.world.record.sent(id, address, method)
		var resp *http.Response
		if resp, err = c.http.Do(req); err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			a.status = resp.StatusCode
		}
	}
	if err != nil {
		a.status, a.err = 0, err.Error()
	}
	a.at = time.Now()
	c.world.record.answered(id, a)
}
