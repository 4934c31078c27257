package clientload

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"medlaryard.example/medlaryard/platform"
	"medlaryard.example/medlaryard/platform/platformtest"
	"medlaryard.example/medlaryard/standin/metastore"
	"medlaryard.example/medlaryard/standin/objects"
)

const (
	hostName = "songs.example"
	// largeAnswerBytes exceeds the buffers of a connection.
	largeAnswerBytes = 1 << 20
	// shardCount is the number of services of the gather route.
	shardCount = 20
	// slowAnswer is how long the target works on requests of the slow routes.
	slowAnswer = 2 * time.Second
	// inProgressPath is that of a request on a slow route.
	inProgressPath = "/slow/in-progress"
	// shutdownTime is the time for a graceful shutdown, in which such a request ends.
	shutdownTime = 4 * time.Second
)

// nodeIP is used by this package only, and differs between runs at the same time.
var (
	nodeIP  = fmt.Sprintf("127.0.95.%d", 1+os.Getpid()%250)
	callers = nodeIP + ":28104"
)

// node is a running daemon.
type node struct {
	cmd     *exec.Cmd
	address string           // Of the listener that gets usual requests.
	usual   string           // Path of a usual request.
	store   *metastore.Store // Of a daemon of the platform.
	began   chan struct{}    // Receives when the target has begun to answer inProgressPath.
	exited  chan struct{}
	log     bytes.Buffer // To be read after exited is closed.
	maxFDs  int          // Most descriptors seen.
	sampled chan struct{}
}

// startNode starts a daemon of the platform with the given limits, and its store and
// its target.
func startNode(t *testing.T, binary string, memoryMB, maxFDs int) *node {
	t.Helper()
	store := metastore.New(50)
	began := make(chan struct{}, 1)
	target := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == inProgressPath {
			select {
			case began <- struct{}{}:
			default:
			}
		}
		answer(w, r)
	}))
	store.Put(platform.KindTargets, "target", platformtest.NewTarget("songs", target, "a", 50).Object())
	cfg := newConfig(1)
	for _, name := range shards() {
		store.Put(platform.KindTargets, name, platformtest.NewTarget(name, target, "a", 50).Object())
	}
	store.Put(platform.KindConfig, "main", cfg.Object())
	n := start(t, binary, "node", "/find/1", fmt.Sprintf(`{name: d1, zone: a, region: r, zones: {a: r}, capacity: 1, shutdown_ms: %d,
listen: {callers: "%[2]s", ready: "%[3]s:28108", directory: "%[3]s:28100", operators: "%[3]s:28106", peers: "%[3]s:27380"},
store: {address: "%[4]s"}, extra_sends: {ratio: 0.2, slack: 50}, memory_mb: %[5]d, max_fds: %[6]d}
`, shutdownTime.Milliseconds(), callers, nodeIP, serve(t, store.Handler()), memoryMB, maxFDs))
	n.store, n.began = store, began
	return n
}

// shards returns the names of the services of the gather route.
func shards() []string {
	names := make([]string, shardCount)
	for i := range names {
		names[i] = fmt.Sprintf("shard-%d", i)
	}
	return names
}

// newConfig returns a configuration with the routes of the tests.
func newConfig(version int) *platformtest.Config {
	cfg := platformtest.NewConfig(version, bodyBytes)
	cfg.Service("songs", 100)
	for _, name := range shards() {
		cfg.Service(name, 100)
	}
	for _, path := range []string{"find", "large", "slow"} {
		cfg.Route(path, hostName, "/"+path+"/", 5*time.Second, 500*time.Millisecond, platformtest.SingleService("songs"))
	}
	cfg.Route("gather", hostName, "/gather/", 5*time.Second, 500*time.Millisecond, platformtest.Sharded(shards(), 10, 0.5))
	return cfg
}

// startServe starts a daemon of the product's own interface without searchers.
func startServe(t *testing.T, binary string, memoryMB int) *node {
	t.Helper()
	return start(t, binary, "serve", "/v1/addresses", fmt.Sprintf(`name: d1
region: r
domain: a
caller: {listen: "%s"}
peer: {listen: "%[2]s:27380"}
operator: {listen: "%[2]s:28106"}
store: {address: "%[3]s"}
memory: %[4]d
`, callers, nodeIP, serve(t, objects.NewHandler(objects.New())), memoryMB*1e6))
}

// start starts a daemon with the given settings and waits until it answers a usual
// request. The end of the test stops it.
func start(t *testing.T, binary, command, usual, text string) *node {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	n := &node{cmd: exec.Command(binary, command, settings), address: callers, usual: usual, exited: make(chan struct{}), sampled: make(chan struct{})}
	n.cmd.Stdout, n.cmd.Stderr = &n.log, &n.log
	if err := n.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = n.cmd.Wait() // The tests check whether the process lives.
		close(n.exited)
	}()
	t.Cleanup(func() {
		_ = n.cmd.Process.Signal(syscall.SIGKILL) // Fails if it has ended.
		<-n.exited
		<-n.sampled
		if t.Failed() {
			t.Logf("log of the daemon:\n%.4000s", n.log.String())
		}
	})
	go n.sample()
	if !n.serves() {
		t.Fatal("the daemon does not serve after its start")
	}
	return n
}

// serve serves h on a free port until the test ends and returns the address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp4", nodeIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // Returns when the test closes the server.
	t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// answer answers a request as the target does.
func answer(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	w.Header().Set(platform.HeaderRequestID, id)
	w.Header().Set(platform.HeaderStamp, "target."+id)
	size := 16
	switch {
	case strings.HasPrefix(r.URL.Path, "/large/"):
		size = largeAnswerBytes
	case strings.HasPrefix(r.URL.Path, "/slow/"), strings.HasPrefix(r.URL.Path, "/gather/"):
		time.Sleep(slowAnswer)
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(make([]byte, size)) // The daemon may have closed the connection.
}

// sample counts the descriptors until the process ends.
func (n *node) sample() {
	defer close(n.sampled)
	for {
		select {
		case <-n.exited:
			return
		case <-time.After(10 * time.Millisecond):
			if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)); err == nil {
				n.maxFDs = max(n.maxFDs, len(fds))
			}
		}
	}
}

// alive reports whether the process runs.
func (n *node) alive() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// serves reports whether the daemon answers a usual request, which is repeated a
// bounded number of times.
func (n *node) serves() bool {
	for i := 0; i < 100 && n.alive(); i++ {
		if n.request(fmt.Sprintf("usual-%d", i)) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// request sends a usual request and reports whether it was answered.
func (n *node) request(id string) bool { return n.requestPath(n.usual, id) }

func (n *node) requestPath(path, id string) bool {
	client := &http.Client{Timeout: ioTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+n.address+path, nil)
	if err != nil {
		return false
	}
	req.Host = hostName
	req.Header.Set(platform.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // The status is enough.
	return resp.StatusCode == http.StatusOK
}

// requestsUntil sends usual requests until done is closed and describes how many were
// answered. It is for measurements by hand; the tests check no share.
func (n *node) requestsUntil(done <-chan struct{}) string {
	for sent, answered := 0, 0; ; sent++ {
		select {
		case <-done:
			return fmt.Sprintf("%d of %d usual requests answered meanwhile", answered, sent)
		case <-time.After(50 * time.Millisecond):
			if n.request(fmt.Sprintf("meanwhile-%d", sent)) {
				answered++
			}
		}
	}
}

// peakMemory returns the most resident memory that the process has taken, in bytes.
func (n *node) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	t.Fatal("the system does not state the peak memory")
	return 0
}
