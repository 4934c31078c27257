package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	oversizeClients  = 24
	answerBytes      = 36000 // The largest answer on the sheet of tamasha-yard.
	readPiece        = 2 << 10
	readPause        = 25 * time.Millisecond
	oversizeDuration = 20 * time.Second
	announcedBytes   = 100_000_000 // Of a body, which the configuration limits to 262,144.
	announceInterval = 2 * time.Second
	clientDeadline   = 10 * time.Second
)

// lostAllowed is how many requests the rule allows to be lost.
const lostAllowed = 3

// oversize lets one client now and then announce a body that is far over the limit,
// while others read their answers slowly over kept connections.
func oversize(rec *record, trouble bool) (bool, error) {
	l, err := newLab(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.close() }()
	var servers []*server
	for n := range 4 {
		s := newServer(l, n, "queue", 6, func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, answerBytes })
		if err := s.start(0); err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	l.store.Put(kindConfig, "main", newConfig("queue", 100, 6*time.Second, 400*time.Millisecond))
	if err := l.startDaemons(2); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second) // The stability window.

	var wg sync.WaitGroup
	stop := make(chan struct{})
	results := make(chan attempt, 100_000)
	for n := range oversizeClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &slowClient{rec: rec, name: fmt.Sprintf("c%d", n), address: l.daemons[n%2].callers, results: results}
			c.run(stop)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(announceInterval):
			}
			if trouble {
				announce(rec, n, l.daemons[n%2].callers)
			}
		}
	}()
	time.Sleep(oversizeDuration)
	close(stop)
	wg.Wait()
	close(results)

	ranWhole := make(map[string]run)
	for _, s := range servers {
		for _, r := range s.runs() {
			if r.bytes == answerBytes && !r.broken {
				ranWhole[r.id] = r
			}
		}
	}
	total, answered, lost, lostOnce := 0, 0, 0, 0
	for a := range results {
		total++
		if a.complete {
			answered++
			continue
		}
		r, ok := ranWhole[a.id]
		if !ok || !a.kept {
			continue
		}
		lost++
		if a.path == "/once/" {
			lostOnce++
		}
		rec.line("LOST %s %s: server %s ran it at %.3f s and answered whole; the client got %d bytes, then: %v", a.id, r.path, r.server, r.at.Seconds(), a.got, a.err)
	}
	for _, d := range l.daemons {
		if !d.alive() {
			return false, errors.New("a daemon has ended")
		}
	}
	rec.line("requests %d, answered completely %d, passed on, answered by a sound server and cut on the way to the client %d, of these non-idempotent %d; allowed %d",
		total, answered, lost, lostOnce, lostAllowed)
	if total == 0 || answered == 0 {
		return false, errors.New("no request was answered")
	}
	return lost > lostAllowed, nil
}

// attempt is one request of a client.
type attempt struct {
	id       string
	path     string
	kept     bool // Sent on a connection on which an earlier request was answered.
	complete bool
	got      int
	err      error
}

// slowClient sends requests one after the other over a kept connection and reads
// the answers slowly.
type slowClient struct {
	rec     *record
	name    string
	address string
	results chan<- attempt
	conn    net.Conn
	r       *bufio.Reader
	used    int
}

func (c *slowClient) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			if c.conn != nil {
				_ = c.conn.Close() // The case is over.
			}
			return
		default:
		}
		if c.conn == nil {
			if err := c.connect(); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		a := attempt{id: fmt.Sprintf("%s-%d", c.name, n), path: "/read/", kept: c.used > 0}
		if n%2 == 1 {
			a.path = "/once/"
		}
		a.got, a.err = c.exchange(a)
		a.complete = a.err == nil
		c.used++
		c.results <- a
		c.rec.line("client %s: %s %s, kept connection %t, %d bytes, error %v", c.name, a.id, a.path, a.kept, a.got, a.err)
		if a.err != nil {
			_ = c.conn.Close() // Broken.
			c.conn = nil
		}
	}
}

// connect opens a connection with a small receive buffer, like that of a client at
// the end of a slow link.
func (c *slowClient) connect() error {
	conn, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp4", c.address)
	if err != nil {
		return err
	}
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	c.conn, c.r, c.used = conn, bufio.NewReaderSize(conn, readPiece), 0
	return nil
}

// exchange sends one request and reads its answer. It returns the bytes of the body
// that arrived, and an error unless the answer is the complete one of the server.
func (c *slowClient) exchange(a attempt) (int, error) {
	if err := c.conn.SetDeadline(time.Now().Add(clientDeadline)); err != nil {
		return 0, err
	}
	method, payload := http.MethodGet, ""
	if a.path == "/once/" {
		method, payload = http.MethodPost, "Content-Length: 4\r\n"
	}
	head := fmt.Sprintf("%s %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, a.path, hostName, headerID, a.id, headerDeadline, clientDeadline.Milliseconds(), payload)
	if payload != "" {
		head += "play"
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	var got bytes.Buffer
	piece := make([]byte, readPiece)
	for {
		n, err := resp.Body.Read(piece)
		got.Write(piece[:n])
		if err == io.EOF {
			break
		}
		if err != nil {
			return got.Len(), err
		}
		time.Sleep(readPause)
	}
	if resp.StatusCode != http.StatusOK || !bytes.Equal(got.Bytes(), body(a.id, answerBytes)) {
		return got.Len(), fmt.Errorf("status %d", resp.StatusCode)
	}
	return got.Len(), nil
}

// announce sends the head of a request whose body exceeds the limit by far, and the
// begin of the body.
func announce(rec *record, n int, address string) {
	conn, err := (&net.Dialer{Timeout: time.Second}).Dial("tcp4", address)
	if err != nil {
		rec.line("client big: no connection: %v", err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second)) // Writing fails then.
	id := fmt.Sprintf("big-%d", n)
	_, _ = fmt.Fprintf(conn, "POST /read/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\nbegin of a large file",
		hostName, headerID, id, headerDeadline, clientDeadline.Milliseconds(), announcedBytes) // The answer shows whether it arrived.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		rec.line("client big: %s announced %d bytes to %s: %v", id, announcedBytes, address, err)
		return
	}
	rec.line("client big: %s announced %d bytes to %s: status %d", id, announcedBytes, address, resp.StatusCode)
	_ = resp.Body.Close() // The status is enough.
}
