package readbudget

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
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
