// Command stand-2 plays the cases 6 to 10 of the review: it starts the daemons, the
// platform's store and servers on loopback addresses, sends requests and judges
// what clients and servers have seen.
//
// It writes what was sent, answered and run to the file RECORD. It exits with 1 if the
// rule of the case was broken, with 0 if it held and with 2 if the case could not run.
// With TROUBLE=0 in the environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes.
const (
	held    = 0
	broken  = 1
	unknown = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"added":    added,
	"oversize": oversize,
	"popular":  popular,
	"rollout":  rollout,
	"spoiled":  spoiled,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return unknown
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unknown
	}
	rec := newRecord(f)
	wasBroken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case could not run: %v", err)
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return unknown
	case wasBroken:
		return broken
	}
	return held
}
