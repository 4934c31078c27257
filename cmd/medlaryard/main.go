// Command medlaryard runs a daemon of the query tier and the operators' commands.
package main

import (
	"context"
	"os"

	"medlaryard.example/medlaryard/clock"
	"medlaryard.example/medlaryard/command"
	"medlaryard.example/medlaryard/daemon"
	"medlaryard.example/medlaryard/store"
)

func main() {
	env := &command.Env{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		Clock:     clock.System{},
		OpenStore: func(address string) store.Store { return store.NewHTTP("http://" + address) },
		Serve:     daemon.Run,
	}
	os.Exit(int(command.Main(context.Background(), os.Args[1:], env)))
}
