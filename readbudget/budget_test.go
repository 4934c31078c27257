package readbudget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"medlaryard.example/medlaryard/clock/clocktest"
)

// Guards against answers that take more memory together than the budget, against
// usual answers that cannot be read because others took all of it, and against
// memory that stays taken after its answer has ended.
func TestBudgetSharedByReaders(t *testing.T) {
	b := New()
	readAll := func(r *Reader, n int) error {
		r.Reader = strings.NewReader(strings.Repeat("x", n))
		_, err := io.ReadAll(r)
		return err
	}
	first, second := NewReader(nil, b), NewReader(nil, b)
	var got []bool
	for _, c := range []struct {
		r *Reader
		n int
	}{{first, maxBytes}, {second, freeBytes}, {second, maxBytes}} {
		got = append(got, errors.Is(readAll(c.r, c.n), errSpent))
	}
	first.EndAnswer()
	second.EndAnswer()
	got = append(got, errors.Is(readAll(second, maxBytes), errSpent))
	if diff := cmp.Diff([]bool{false, false, true, false}, got); diff != "" {
		t.Errorf("budget spent (-want +got):\n%s", diff)
	}
	second.EndAnswer()
	if b.taken != 0 {
		t.Errorf("%d bytes are taken while no answer is read", b.taken)
	}
}

// Guards against answers whose buffers are allocated at the same time although they
// exceed the budget, against a large answer that is never read on a small VM, and
// against answers that are read wrongly because their head is read first.
func TestReadResponse(t *testing.T) {
	const size = 2 << 20
	b := New(Memory(20e6)) // 1.7 MB.
	text := fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	read := func(r *Reader, text string, skipBody bool) (string, error) {
		r.Reader = strings.NewReader(text)
		resp := &fasthttp.Response{SkipBody: skipBody}
		err := r.ReadResponse(resp, bufio.NewReader(r), size)
		return string(resp.Body()), err
	}
	first, second := NewReader(nil, b), NewReader(nil, b)
	if body, err := read(first, text, false); err != nil || len(body) != size {
		t.Fatalf("first answer: %d bytes, %v", len(body), err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := read(second, text, false)
		done <- err
	}()
	select {
	case err := <-done:
		if !errors.Is(err, errSpent) { // It is given up after maxWait on a slow machine.
			t.Errorf("second answer ends with %v while the first is held", err)
		}
	case <-time.After(10 * time.Millisecond):
		first.EndAnswer()
		if err := <-done; err != nil {
			t.Errorf("second answer: %v", err)
		}
	}
	first.EndAnswer()
	second.EndAnswer()
	for _, c := range []struct {
		name, text, want string
		skipBody, fails  bool
	}{
		{"chunks and trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nT: v\r\n\r\n", "ab", false, false},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc", "abc", false, false},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", "", false, false},
		{"answer to HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", true, false},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", "abc", false, true},
		{"cut off in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "ab", false, true},
		{"too large", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size+1), "", false, true},
	} {
		body, err := read(first, c.text, c.skipBody)
		if !c.fails && body != c.want || (err != nil) != c.fails {
			t.Errorf("%s: body %q, error %v", c.name, body, err)
		}
		first.EndAnswer()
	}
	if b.taken != 0 {
		t.Errorf("%d bytes are taken while no answer is read", b.taken)
	}
}

// Guards against a wait for memory that follows another clock than the daemon's.
func TestWaitFollowsTheClock(t *testing.T) {
	clk := clocktest.New()
	b := New(Clock(clk), Memory(1))
	if !b.take(10, 0) {
		t.Fatal("the first answer is not read")
	}
	done := make(chan bool)
	go func() { done <- b.await(1, 0, time.Hour) }()
	for clk.PendingTimers() < 2 {
		runtime.Gosched()
	}
	clk.Advance(time.Hour)
	if <-done {
		t.Error("memory was taken although none is free")
	}
}

// Guards against large answers that are read while the process has no memory left for
// them, because what was read before has not been written or collected yet. A single
// answer is read in any case.
func TestLargeAnswersWhileMemoryIsFull(t *testing.T) {
	full := true
	b := New(PauseWhen(func() bool { return full }))
	if !b.take(1, 0) {
		t.Error("the only answer is not read")
	}
	if b.take(1, 0) {
		t.Error("a second answer is read although the memory is full")
	}
	full = false
	if !b.take(1, 0) {
		t.Error("a second answer is not read although there is memory")
	}
}

// Guards against garbage without a bound: answers that are read one after the other,
// of which each is the only one, must wait for memory too. A single answer is read in
// any case.
func TestLargeAnswerIsAdmittedBeforeItIsAllocated(t *testing.T) {
	var asked []int
	room := true
	b := New(AdmitBy(func(n int) bool {
		asked = append(asked, n)
		return room
	}))
	const size = 1 << 20
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
	read := func(r *Reader) bool {
		r.Reader = strings.NewReader(text)
		return r.ReadResponse(&fasthttp.Response{}, bufio.NewReader(r), size) == nil
	}
	first, second := NewReader(nil, b), NewReader(nil, b)
	var got []bool
	for range 2 {
		got = append(got, read(first))
		first.EndAnswer()
	}
	if len(asked) < 2 || asked[0] < size-freeBytes {
		t.Errorf("asked for %v before two answers of %d bytes", asked, size)
	}
	room = false
	got = append(got, read(first), read(second)) // The first still counts.
	if diff := cmp.Diff([]bool{true, true, true, false}, got); diff != "" {
		t.Errorf("answers read (-want +got):\n%s", diff)
	}
}
