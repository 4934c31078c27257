package clientload

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
)

// manyTargets is the number of targets of a large deployment.
const manyTargets = 2000

// copyOfStore requests the whole copy of the store, as a daemon that starts does, and
// takes only its first bytes.
func copyOfStore(conn net.Conn, _ string) error {
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		return err
	}
	if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		return err
	}
	const request = "POST /twirp/medlaryard.mirror.Mirror/Changes HTTP/1.1\r\nHost: d1\r\n" +
		"Content-Type: application/protobuf\r\nAccept-Encoding: gzip\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	if _, err := io.ReadFull(conn, make([]byte, 12)); err != nil {
		return err
	}
	time.Sleep(holdTime)
	return nil
}

// Guards against clients at the peers' listener that make the process encode and hold
// many copies of the store at once.
func TestCopiesOfStoreAreBounded(t *testing.T) {
	n := startNode(t, build(t), crowdMemoryMB, crowdFDs)
	for i := range manyTargets {
		address := fmt.Sprintf("127.8.%d.%d:80", i>>8, i&0xff)
		n.store.Put(platform.KindTargets, fmt.Sprintf("unused-%d", i), platformtest.NewTarget("unused", address, "a", 50).Object())
	}
	n.meets(t, crowd{nodeIP + ":27380", copyOfStore}, crowdMemoryMB, crowdFDs-fileFDs)
}
