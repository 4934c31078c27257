package crashes

import (
	"fmt"
	"io"
)

// Cell is the sum of the results of one cell over all seeds.
type Cell struct {
	Result
	rate, crashShare float64
	outages          string
}

// Rates returns the rates a second of the watched request in the grid.
func Rates() []float64 { return []float64{0.1, 1, 5, 20} }

// CrashShares returns the shares of its runs that crash the target.
func CrashShares() []float64 { return []float64{0, 0.5, 1} }

// Grid simulates all cells with the given number of seeds each.
func Grid(seeds int) []Cell {
	var cells []Cell
	for _, share := range CrashShares() {
		for _, o := range Patterns() {
			for _, rate := range Rates() {
				c := Cell{rate: rate, crashShare: share, outages: o.Name()}
				for seed := range seeds {
					c.Result = c.Add(NewScenario(uint64(seed), rate, share, o).Run())
				}
				cells = append(cells, c)
			}
		}
	}
	return cells
}

// String describes the cell.
func (c Cell) String() string {
	return fmt.Sprintf("%g a second, %g of the runs crash, outages: %s", c.rate, c.crashShare, c.outages)
}

// WriteTable writes the cells, of the given number of runs each, as a Markdown table.
func WriteTable(w io.Writer, cells []Cell, runs int) error {
	if _, err := fmt.Fprint(w, "| Runs that crash | Other outages | Requests a second | Refused | Crashes a run | Sent late a run |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, c := range cells {
		n := float64(runs)
		if _, err := fmt.Fprintf(w, "| %.0f%% | %s | %g | %.1f%% | %.1f | %.1f |\n", 100*c.crashShare, c.outages, c.rate,
			c.refusedPercent(), float64(c.crashes)/n, float64(c.late)/n); err != nil {
			return err
		}
	}
	return nil
}

func (c Cell) refusedPercent() float64 { return 100 * float64(c.refused) / float64(max(c.offered, 1)) }

const (
	barHeight  = 16
	labelWidth = 330
	chartWidth = 400
)

// WritePlot writes the share of refused requests of each cell as an SVG bar chart.
func WritePlot(w io.Writer, cells []Cell) error {
	if _, err := fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		labelWidth+chartWidth+60, barHeight*(len(cells)+1)); err != nil {
		return err
	}
	for i, c := range cells {
		y, share := barHeight*(i+1), c.refusedPercent()
		if _, err := fmt.Fprintf(w, `<text x="0" y="%d">%s</text><rect x="%d" y="%d" width="%.1f" height="%d" fill="%s"/><text x="%.1f" y="%d">%.1f%%</text>`+"\n",
			y, c, labelWidth, y-barHeight+5, share/100*chartWidth, barHeight-3, color(c.crashShare), labelWidth+4+share/100*chartWidth, y, share); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "</svg>")
	return err
}

// color returns the colour of the bars of requests of which the given share of runs crashes.
func color(crashShare float64) string {
	switch crashShare {
	case 0:
		return "#4a7" // Harmless: a refusal is an error.
	case 1:
		return "#a44"
	}
	return "#999"
}
