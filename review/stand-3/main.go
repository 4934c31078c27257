//go:build review

// Command stand-3 plays the script cases of the third review. Each case starts the
// daemons of the deploy file as processes of their own and gives them small stand-ins of
// the platform's store, the searchers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*lab) error{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD (in the repository's root; TROUBLE=0 leaves the disruption out)")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays one case and writes its record. It returns the exit code.
func play(name, record string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	l, err := newLab(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer l.close()
	err = run(l)
	switch {
	case err == nil:
		l.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		l.note("result: %v", err)
		return exitBroken
	}
	l.note("result: the case could not run: %v", err)
	return exitNotRun
}
