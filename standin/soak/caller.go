package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/standin/shards"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	once   bool // The request must not run twice.
	ip     string
	began  time.Time
	ended  time.Time
	status int // 0 if the connection ended without an answer.
	err    string
	wrong  string // What is wrong with a success.
}

// caller sends requests one after the other and keeps its connections.
type caller struct {
	s      *Soak
	rng    *rand.Rand
	client *http.Client
	known  []string
	asked  time.Time
}

// addressTTL is how long a caller keeps addresses; some keep them longer.
const addressTTL = time.Second

func (s *Soak) newCaller(seed int64) *caller {
	return &caller{
		s: s, rng: rand.New(rand.NewSource(seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		ip := c.pick()
		if ip == "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%d", name, n)
		o := c.send(ip, id, c.rng.Intn(3) == 0)
		if o.status == 0 {
			c.asked = time.Time{}
		}
		c.s.record(o)
		time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// pick returns the address of a daemon that the system names.
func (c *caller) pick() string {
	if time.Since(c.asked) > addressTTL {
		for _, i := range c.rng.Perm(len(c.s.daemons)) {
			if list := resolve(c.s.daemons[i].ip); len(list) > 0 {
				c.known, c.asked = list, time.Now()
				break
			}
		}
	}
	if len(c.known) == 0 {
		return ""
	}
	return c.known[c.rng.Intn(len(c.known))]
}

// resolve asks a daemon for addresses.
func resolve(ip string) []string {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r&zone=a", ip, directoryPort, host))
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addrs"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// patience is how long a caller waits.
const patience = 2 * time.Second

func (c *caller) send(address, id string, once bool) outcome {
	ip, _, _ := strings.Cut(address, ":")
	o := outcome{id: id, once: once, ip: ip, began: time.Now()}
	method, path := http.MethodGet, "/match/"+id
	var body io.Reader
	if once {
		method, path, body = http.MethodPost, "/play/"+id, strings.NewReader("song "+id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		o.err = err.Error()
		return o
	}
	req.Host = host
	req.GetBody = nil // The transport must not send it twice on its own.
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			o.status = resp.StatusCode
			if resp.StatusCode/100 == 2 {
				o.wrong = c.s.check(id, path, once, resp.Header, b)
			}
		}
	}
	if err != nil {
		o.err = err.Error()
	}
	o.ended = time.Now()
	return o
}

// check returns what is wrong with a success, "" if nothing is.
func (s *Soak) check(id, path string, once bool, h http.Header, body []byte) string {
	if once {
		stamp := h.Get(platform.HeaderStamp)
		target, of, _ := strings.Cut(stamp, ".")
		if of != id || !bytes.Equal(body, shards.Records(target, path)) {
			return fmt.Sprintf("answer signed %q is not this request's", stamp)
		}
		return ""
	}
	stamps := strings.Split(h.Get(platform.HeaderPartStamps), ", ")
	missing, err := strconv.Atoi(h.Get(platform.HeaderMissing))
	if err != nil || len(stamps)+missing != shardCount || len(stamps) < minShards {
		return fmt.Sprintf("%d parts and %q missing", len(stamps), h.Get(platform.HeaderMissing))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, stamp := range stamps {
		target, of, _ := strings.Cut(stamp, ".")
		shard, _, _ := strings.Cut(target, "-")
		if of != id || seen[shard] {
			return fmt.Sprintf("part signed %q is another request's or the second of its shard", stamp)
		}
		seen[shard] = true
		for part := shards.Records(target, path); len(part) > 0; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(body, want) {
		return "records are not the greatest of the parts, falling"
	}
	return ""
}
