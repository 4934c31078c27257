package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// Load and disruption of the case. The site file of tamasha-yard lets half of the
// servers spoil 0.05 of their answers, for 5.5 s.
const (
	spoiledDaemons  = 3
	spoiledServers  = 4
	spoiledEvery    = 20 // One of that many answers.
	spoiledTime     = 5500 * time.Millisecond
	spoiledBefore   = 2 * time.Second
	spoiledDuration = 12 * time.Second
	spoiledInterval = 15 * time.Millisecond
	spoiledBytes    = 6000
	chunkBytes      = 2000
)

// spoiled lets half of the servers spoil one byte of some of their answers, which
// they send in chunks: the last digit of the protocol version in the status line.
func spoiled(rec *record, trouble bool) (bool, error) {
	l, err := newLab(rec)
	if err != nil {
		return false, err
	}
	defer func() { _ = l.close() }()
	var faulty atomic.Bool
	var answers atomic.Int64
	for n := range spoiledServers {
		s := newServer(l, n, "queue-board", 3, func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, spoiledBytes })
		half := n%2 == 0
		s.write = func(w http.ResponseWriter, id string, b []byte) error {
			version := "HTTP/1.1"
			if k := answers.Add(1); half && faulty.Load() && k%spoiledEvery == 0 {
				version = fmt.Sprintf("HTTP/1.%d", 9*(k/spoiledEvery%2)) // 0 or 9 in place of 1.
				rec.line("server %s spoils its answer to %s: %s", s.id, id, version)
			}
			return writeChunked(w, version, s.id, id, b)
		}
		if err := s.start(0); err != nil {
			return false, err
		}
	}
	l.store.Put(kindConfig, "main", newConfig("queue-board", 100, 6*time.Second, 400*time.Millisecond))
	if err := l.startDaemons(spoiledDaemons); err != nil {
		return false, err
	}
	time.Sleep(stabilityWindow)
	load := l.newLoad(spoiledDuration)
	load.add("track", http.MethodGet, ownPath, 0, spoiledInterval)
	time.Sleep(spoiledBefore)
	faulty.Store(trouble)
	time.Sleep(spoiledTime)
	faulty.Store(false)
	load.wait()
	if load.served["track"] == 0 {
		return false, errors.New("no request was served")
	}
	rec.line("requests %d, successes with the server's whole body %d, successes with another body %d; none is allowed",
		load.sent["track"], load.served["track"], load.wrong["track"])
	return load.wrong["track"] > 0, nil
}

// writeChunked writes an answer in chunks with the given version in its status line
// and ends the connection, as the answer says.
func writeChunked(w http.ResponseWriter, version, server, id string, b []byte) error {
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	fmt.Fprintf(out, "%s 200 OK\r\n%s: %s\r\n%s: stamp.%s.%s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", version, headerID, id, headerStamp, server, id)
	for len(b) > 0 {
		n := min(len(b), chunkBytes)
		fmt.Fprintf(out, "%x\r\n%s\r\n", n, b[:n])
		b = b[n:]
	}
	fmt.Fprint(out, "0\r\n\r\n")
	return out.Flush()
}
