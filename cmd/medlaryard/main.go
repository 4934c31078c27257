// Command medlaryard is the query tier's daemon and its operators' tools.
package main

import (
	"context"
	"os"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/command"
)

func main() {
	env := &command.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Clock:  clock.System{},
	}
	os.Exit(int(command.Main(context.Background(), os.Args[1:], env)))
}
