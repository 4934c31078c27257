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

// outcome is the result of one request as the caller sees it.
type outcome struct {
	id            string
	nonIdempotent bool // The request must not run more than once.
	ip            string
	start         time.Time
	end           time.Time
	status        int // 0 if the caller received no complete response.
	err           string
	mismatch      string // How a successful response differs from the expected one.
}

// caller sends requests sequentially and reuses its connections.
type caller struct {
	soak       *Soak
	rng        *rand.Rand
	client     *http.Client
	addresses  []string
	resolvedAt time.Time
}

// addressTTL is the time for which a caller uses resolved addresses. A caller that
// can't resolve new addresses keeps the old ones.
const addressTTL = time.Second

func (s *Soak) newCaller(seed int64) *caller {
	return &caller{
		soak: s, rng: rand.New(rand.NewSource(seed)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}},
	}
}

// run sends requests until ctx ends. About one in three is non-idempotent.
func (c *caller) run(ctx context.Context, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		ip := c.pickAddress()
		if ip == "" {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		id := fmt.Sprintf("%s-%d", name, n)
		o := c.send(ip, id, c.rng.Intn(3) == 0)
		if o.status == 0 {
			c.resolvedAt = time.Time{}
		}
		c.soak.record(o)
		time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// pickAddress returns a random one of the resolved addresses, or "" if there is
// none. It resolves them again after addressTTL.
func (c *caller) pickAddress() string {
	if time.Since(c.resolvedAt) > addressTTL {
		for _, i := range c.rng.Perm(len(c.soak.daemons)) {
			if list := resolve(c.soak.daemons[i].ip); len(list) > 0 {
				c.addresses, c.resolvedAt = list, time.Now()
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.Intn(len(c.addresses))]
}

// resolve returns the addresses of hostName from the directory of the daemon at ip,
// or nil if the call fails.
func resolve(ip string) []string {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=r&zone=a", ip, directoryPort, hostName))
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

// requestTimeout is the deadline that callers set for a request.
const requestTimeout = 2 * time.Second

// send sends one request to a daemon and checks its response.
func (c *caller) send(address, id string, nonIdempotent bool) outcome {
	ip, _, _ := strings.Cut(address, ":")
	o := outcome{id: id, nonIdempotent: nonIdempotent, ip: ip, start: time.Now()}
	method, path := http.MethodGet, "/match/"+id
	var body io.Reader
	if nonIdempotent {
		method, path, body = http.MethodPost, "/play/"+id, strings.NewReader("song "+id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		o.err = err.Error()
		return o
	}
	req.Host = hostName
	req.GetBody = nil // Without GetBody, the transport can't resend the request.
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var b []byte
		if b, err = io.ReadAll(resp.Body); err == nil {
			o.status = resp.StatusCode
			if resp.StatusCode/100 == 2 {
				o.mismatch = c.soak.checkResponse(id, path, nonIdempotent, resp.Header, b)
			}
		}
	}
	if err != nil {
		o.err = err.Error()
	}
	o.end = time.Now()
	return o
}

// checkResponse describes how a successful response differs from the expected one.
// It returns "" if the response is correct.
func (s *Soak) checkResponse(id, path string, nonIdempotent bool, h http.Header, body []byte) string {
	if nonIdempotent {
		stamp := h.Get(platform.HeaderStamp)
		target, requestID, _ := strings.Cut(stamp, ".")
		if requestID != id || !bytes.Equal(body, shards.Records(target, path)) {
			return fmt.Sprintf("response with stamp %q belongs to another request or has wrong records", stamp)
		}
		return ""
	}
	stamps := strings.Split(h.Get(platform.HeaderPartStamps), ", ")
	missing, err := strconv.Atoi(h.Get(platform.HeaderMissing))
	if err != nil || len(stamps)+missing != shardCount || len(stamps) < minShards {
		return fmt.Sprintf("response has %d parts and reports %q missing", len(stamps), h.Get(platform.HeaderMissing))
	}
	var records [][]byte
	seen := make(map[string]bool)
	for _, stamp := range stamps {
		target, requestID, _ := strings.Cut(stamp, ".")
		shard, _, _ := strings.Cut(target, "-")
		if requestID != id || seen[shard] {
			return fmt.Sprintf("part with stamp %q belongs to another request or repeats a shard", stamp)
		}
		seen[shard] = true
		for part := shards.Records(target, path); len(part) > 0; part = part[16:] {
			records = append(records, part[:16])
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := bytes.Join(records[:min(topRecords, len(records))], nil); !bytes.Equal(body, want) {
		return "records are not the greatest of all parts in descending order"
	}
	return ""
}
