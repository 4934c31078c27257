package cell

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// Guards against two full homes of one group and against a cell that does not recover
// from the faults of injectFaults combined with lost or late messages and store replies.
// MEDLARYARD_SEEDS=n runs n seeds from 1000, MEDLARYARD_SEED=n runs seed n.
func TestRandomRun(t *testing.T) {
	first, count := uint64(1), 8
	if n, err := strconv.Atoi(os.Getenv("MEDLARYARD_SEEDS")); err == nil {
		first, count = 1000, n
	}
	if n, err := strconv.ParseUint(os.Getenv("MEDLARYARD_SEED"), 10, 64); err == nil {
		first, count = n, 1
	}
	seeds := []uint64{2348} // Always runs: the first member of the cell is partitioned at epoch 1.
	for i := range count {
		seeds = append(seeds, first+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			randomRun(t, seed)
		})
	}
}

func randomRun(t *testing.T, seed uint64) {
	f := newFleet(t, seed, 3+int(seed%7))
	f.lossRate, f.st.lossRate = 0.03, 0.05
	f.start(nil, time.Second, f.injectFaults)
	f.run(2*time.Minute, f.checkShares)
	f.repairAll()
	f.lossRate, f.st.lossRate = 0, 0
	f.run(time.Minute, f.checkShares)
	if err := f.checkConverged(); err != nil {
		f.logGroup("s/0/0")
		t.Fatal(err)
	}
}

// repairAll ends all faults and restarts the nodes that are dead or leaving.
func (f *fleet) repairAll() {
	clear(f.cut)
	f.st.down = false
	for _, n := range f.nodes {
		n.storeCut, n.pausedUntil = false, 0
		n.dead = n.dead || n.cell.leaving
		if n.dead {
			f.startNode(n.index)
		}
	}
}

// injectFaults runs for the first two minutes. It partitions, pauses, kills and restarts
// members, lets members leave, stops the store and changes the configuration, and ends
// these faults, all at random.
func (f *fleet) injectFaults() {
	end := f.clk.Boot() + 2*time.Minute - time.Second
	for f.clk.Boot() < end {
		n := f.nodes[f.rng.IntN(len(f.nodes))]
		switch f.rng.IntN(13) {
		case 0:
			f.partition(f.rng.IntN(len(f.nodes)))
		case 1:
			f.cut[nodePair(n.index, f.rng.IntN(len(f.nodes)))] = true
		case 2, 3:
			clear(f.cut)
		case 4:
			f.st.down = !f.st.down
		case 5:
			f.st.down = false
		case 6:
			n.storeCut = !n.storeCut
		case 7:
			n.pausedUntil = f.clk.Boot() + f.randomDuration(100*time.Millisecond, 9*time.Second)
		case 8:
			f.kill(n.index)
			if f.rng.IntN(2) == 0 {
				f.sleep(nil, f.randomDuration(0, time.Second))
				f.listed[n.cell.self.Name()] = false
			}
		case 9, 10:
			if n.dead {
				f.startNode(n.index)
			}
		case 11:
			n.cell.leaving = true
			if n.cell.tryLeave() {
				f.kill(n.index)
			}
		case 12:
			out := fmt.Sprintf("d%d", f.rng.IntN(domains+2))
			f.st.applyConfiguration(catalogueText(f.st.generation+1, out, f.rng.IntN(3)))
		}
		f.sleep(nil, f.randomDuration(50*time.Millisecond, 3*time.Second))
	}
}

// partition separates the nodes before index from the others.
func (f *fleet) partition(index int) {
	for a := range index {
		for b := index; b < len(f.nodes); b++ {
			f.cut[nodePair(a, b)] = true
		}
	}
}
