package clientload

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
	"medlaryard.example/medlaryard/standin/metastore"
)

// incompleteRequest is a load of requests with large heads and bodies without an end.
func incompleteRequest() load {
	return post("/find/1", linesWithoutValue(), "Content-Length: 262144", body(bodyBytes))
}

// Guards against a crowd of returning clients by which an outage of the store, or a
// reload with a new configuration, ends the process or leaves usual requests without
// an answer.
func TestReturningClientsDuringEvents(t *testing.T) {
	binary := build(t)
	t.Run("outage of the store", func(t *testing.T) {
		n := startNode(t, binary, crowdMemoryMB, crowdFDs)
		n.store.Inject(metastore.Down())
		time.AfterFunc(crowdTime/2, func() { n.store.Inject(metastore.Healthy()) })
		n.meets(t, crowd{callers, incompleteRequest()}, crowdMemoryMB, crowdFDs-fileFDs)
	})
	t.Run("reload", func(t *testing.T) {
		n := startNode(t, binary, crowdMemoryMB, crowdFDs)
		time.AfterFunc(crowdTime/2, func() {
			cfg := newConfig(2)
			cfg.Route("new", hostName, "/new/", 5*time.Second, 500*time.Millisecond, platformtest.SingleService("songs"))
			n.store.Put(platform.KindConfig, "main", cfg.Object())
			_ = n.cmd.Process.Signal(syscall.SIGHUP) // The test checks whether the process lives.
		})
		n.usual = "/new/1"
		n.meets(t, crowd{callers, incompleteRequest()}, crowdMemoryMB, crowdFDs-fileFDs)
	})
}

// Guards against a graceful shutdown that does not end because of returning clients,
// or that cuts a request which a target is working on.
func TestShutdownAmongReturningClients(t *testing.T) {
	n := startNode(t, build(t), crowdMemoryMB, crowdFDs)
	played := make(chan struct{})
	go func() {
		crowd{callers, incompleteRequest()}.play()
		close(played)
	}()
	time.Sleep(crowdTime / 4)
	answered := n.requestInProgress(t)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if !<-answered {
		t.Error("the request in progress is not answered")
	}
	<-played
	<-n.exited // The test's time limit bounds the shutdown.
	if code := n.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// requestInProgress sends requests until a target works on one, whose result it
// returns.
func (n *node) requestInProgress(t *testing.T) <-chan bool {
	t.Helper()
	for i := range 100 {
		answered := make(chan bool, 1)
		go func() { answered <- n.requestPath(inProgressPath, fmt.Sprintf("in-progress-%d", i)) }()
		select {
		case <-n.began:
			return answered
		case <-answered: // Refused.
		}
	}
	t.Fatal("all requests are refused")
	return nil
}
