package node

import (
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"medlaryard.example/medlaryard/upgrade"
)

// play gives orders: good and bad ones, withdrawn ones, ones that are given again at once, and
// the same version after another.
func (m *ordersModel) play() {
	m.step()
	for range ordersOfSeed {
		version := []string{"v1", "v2", "v3"}[m.rng.IntN(3)]
		bad := m.chance(0.4)
		if version == m.inForce {
			bad = false // The version in force is not started again, and it is good.
		}
		m.order(version, bad)
		steps := int(modelDuration/moveCheckInterval) + 6
		if m.chance(0.3) {
			steps = m.rng.IntN(steps)
		}
		for range steps {
			m.step()
		}
		again := m.chance(0.2) && m.current().state == upgrade.Running
		switch {
		case again:
			m.remove()
			m.order(version, bad)
			for range int(modelDuration/moveCheckInterval) + 6 {
				m.step()
			}
		case m.chance(0.3):
			m.remove()
			for range m.rng.IntN(12) {
				m.step()
			}
		}
	}
	for _, o := range m.orders {
		if float64(o.atIt) > exposureShare*float64(o.all)+exposureSlack {
			m.fault("the bad version of order %d gets %d of %d requests", o.id, o.atIt, o.all)
		}
	}
}

// Guards against a state of one order that follows from the evidence of another, also one for
// the same version: a bad version that is completed or gets too many requests, or a good one
// that is not completed. MEDLARYARD_MODEL_ORDERS sets the number of orders.
func TestOrdersHaveEvidenceOfTheirOwn(t *testing.T) {
	orders := modelOrders
	if s := os.Getenv("MEDLARYARD_MODEL_ORDERS"); s != "" {
		var err error
		if orders, err = strconv.Atoi(s); err != nil {
			t.Fatal(err)
		}
	}
	var next, given atomic.Int64
	var mu sync.Mutex
	faults := make(map[int64][]string)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for given.Load() < int64(orders) {
				seed := next.Add(1)
				m := newOrdersModel(uint64(seed))
				m.play()
				given.Add(int64(len(m.orders)))
				if len(m.faults) > 0 {
					mu.Lock()
					faults[seed] = m.faults[:min(3, len(m.faults))]
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d orders, %d seeds", given.Load(), next.Load())
	if diff := cmp.Diff(map[int64][]string{}, faults); diff != "" {
		t.Errorf("%d of %d seeds break a rule, the first faults of each (-want +got):\n%.4000s", len(faults), next.Load(), diff)
	}
}
