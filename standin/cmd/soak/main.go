// Command soak runs daemons as processes under random faults and reports the
// guarantees that they violate. It exits 1 if there is a violation or a run fails.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"medlaryard.example/medlaryard/standin/soak"
)

type cli struct {
	Binary  string        `arg:"" type:"existingfile" help:"The medlaryard binary."`
	From    int64         `default:"1" help:"First seed."`
	Seeds   int           `default:"1" help:"Number of seeds."`
	Daemons int           `default:"5" help:"Number of daemons."`
	Length  time.Duration `default:"15s" help:"How long faults are injected."`
	Apply   time.Duration `default:"3s" help:"Time within which a configuration is in force when all is calm."`
	Only    string        `help:"Inject only the kind of fault with this name."`
	Logs    string        `default:"soak-logs" help:"Directory for settings and logs; those of seeds without a violation are removed."`
	Verbose bool          `help:"Print the faults of all seeds."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("Runs daemons under random faults and checks what callers and targets see."))
	failed := 0
	for seed := c.From; seed < c.From+int64(c.Seeds); seed++ {
		violations, err := c.runSeed(seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "seed %d: %v\n", seed, err)
			os.Exit(1)
		}
		fmt.Printf("seed %d: %d violations\n", seed, len(violations))
		for _, v := range violations {
			fmt.Println("  " + v)
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d of %d seeds with a violation\n", failed, c.Seeds)
	if failed > 0 {
		os.Exit(1)
	}
}

func (c cli) runSeed(seed int64) ([]string, error) {
	dir := filepath.Join(c.Logs, fmt.Sprint(seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := os.Create(filepath.Join(dir, "faults.log"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out io.Writer = f
	if c.Verbose {
		out = io.MultiWriter(f, os.Stdout)
	}
	violations, err := soak.Run(soak.NewConfig(c.Binary, dir, c.Daemons, c.Length, c.Apply).Only(c.Only), seed, out)
	if err == nil && len(violations) == 0 {
		return nil, os.RemoveAll(dir)
	}
	return violations, err
}
