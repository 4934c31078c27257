// Command crashgrid simulates requests that are taken for the cause of crashes, over a grid
// of popularity, outages and crash shares. It writes the table and a plot.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"medlaryard.example/medlaryard/standin/crashes"
)

func main() {
	seeds := flag.Int("seeds", 20, "runs of each cell")
	dir := flag.String("dir", ".", "folder for crashgrid.md and crashgrid.svg")
	flag.Parse()
	if err := write(*dir, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func write(dir string, seeds int) error {
	cells := crashes.Grid(seeds)
	table, err := os.Create(filepath.Join(dir, "crashgrid.md"))
	if err != nil {
		return err
	}
	defer table.Close()
	if err := crashes.WriteTable(table, cells, seeds); err != nil {
		return err
	}
	plot, err := os.Create(filepath.Join(dir, "crashgrid.svg"))
	if err != nil {
		return err
	}
	defer plot.Close()
	return crashes.WritePlot(plot, cells)
}
