package clientload

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	// crowdClients, crowdMemoryMB and crowdFDs are the size of a crowd and the limits
	// of the daemon that it meets.
	crowdClients  = 400
	crowdMemoryMB = 64
	crowdFDs      = 1000
	// crowdTime is how long the clients of a crowd keep returning.
	crowdTime = 6 * time.Second
)

// crowd is a number of clients that send the same load to one listener, and connect
// again at once whenever their connection ends.
type crowd struct {
	address string
	load    load
}

// play returns when all clients have ended.
func (c crowd) play() {
	var wg sync.WaitGroup
	end := time.Now().Add(crowdTime)
	for i := range crowdClients {
		wg.Go(func() {
			// Each client has a source address of its own, so that ports do not run out.
			dialer := &net.Dialer{Timeout: ioTimeout, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, byte(96+i>>8), byte(i))}}
			for round := 0; time.Now().Before(end); round++ {
				conn, err := dialer.Dial("tcp4", c.address)
				if err != nil {
					time.Sleep(time.Millisecond) // The listener may be closed.
					continue
				}
				_ = c.load(conn, fmt.Sprintf("r%d-%d", i, round)) // The daemon may close the connection.
				_ = conn.Close()                                  // As above.
			}
		})
	}
	wg.Wait()
}

// meets plays a crowd and checks the daemon, see survives.
func (n *node) meets(t *testing.T, c crowd, memoryMB, maxFDs int) {
	t.Helper()
	n.survives(t, c.play, memoryMB, maxFDs)
}
